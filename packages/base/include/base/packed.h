// Validates received msgpack before decoding, as the library allocates memory for a
// header's element count before it checks that so many elements follow.
#pragma once

#include <stdbool.h>
#include <stddef.h>

enum {
	PACKED_DEPTH = 16, ///< deepest nesting of arrays and maps
};

/// Whether bytes are exactly one complete msgpack object, nested at most
/// PACKED_DEPTH deep.
///
/// @param buf  bytes, may be NULL when len is 0
/// @param len  bytes
bool packed_ok(const void *buf, size_t len);
