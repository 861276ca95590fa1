// Validates received msgpack before decoding, as the library allocates memory for a
// header's element count before it checks that so many elements follow.
#pragma once

#include <stdbool.h>
#include <stddef.h>

enum {
	MSGPACK_DEPTH_MAX = 16, ///< deepest nesting of arrays and maps
};

/// Whether bytes are exactly one complete msgpack object, nested at most
/// MSGPACK_DEPTH_MAX deep.
///
/// @param buf  bytes, may be NULL when len is 0
/// @param len  bytes
bool msgpack_is_valid(const void *buf, size_t len);
