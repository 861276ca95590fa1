// Detects text that looks like a caller's API key.
#pragma once

#include <stdbool.h>
#include <stddef.h>

/// Whether a text contains a key: `ck_` at the start of a word, then at least
/// 8 letters, digits, `_`, `-` or `.`.
///
/// @param text  bytes, may contain NULs
/// @param len   bytes
bool keyscan_contains_key(const char *text, size_t len);
