// Syntax of what a request takes from outside: whatever fails here could end its line, its
// field or its head, and be read as something else by a server (RFC 9110, RFC 9112).
#pragma once

#include <stdbool.h>

/// Whether text is a field name: a token.
bool http_name_valid(const char *text);

/// Whether text can be a field value: no control characters other than tabs.
bool http_value_valid(const char *text);

/// Whether text is visible ASCII and not empty.
bool http_word_valid(const char *text);

/// Whether text is a host, with a port or without.
bool http_host_valid(const char *text);

/// Whether text is an absolute path, with a query or without: visible ASCII without a fragment,
/// and no "." or ".." segment, percent-encoded or not, that a server might resolve.
bool http_target_valid(const char *text);

/// Whether text is such a path without a query.
bool http_path_valid(const char *text);

/// Whether a path's first segment is the given one: in any letter case, percent-encoded or
/// not, after any number of slashes.
bool http_path_is_below(const char *path, const char *segment);
