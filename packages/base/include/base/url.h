// Text that goes into a URL.
#pragma once

#include "base/arena.h"

/// Escape what a path or query value can't hold; slashes stay.
///
/// @return copy in the arena, NULL past its limit
char *url_escape(struct arena *a, const char *text);
