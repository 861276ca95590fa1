// Percent-encoding of text for URLs.
#pragma once

#include "base/arena.h"

/// Percent-encode the bytes that are not allowed in a path or query value; slashes
/// are kept.
///
/// @return encoded copy in the arena, NULL past its limit
char *url_escape(struct arena *a, const char *text);
