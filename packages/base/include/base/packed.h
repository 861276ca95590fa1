// Guard before decoding msgpack from outside: the library allocates what a
// count names before it looks whether so many objects follow.
#pragma once

#include <stdbool.h>
#include <stddef.h>

enum {
	PACKED_DEPTH = 16, ///< most arrays and maps within each other
};

/// Whether bytes are exactly one msgpack object, whole and not too deep.
///
/// @param buf  bytes, may be NULL when len is 0
/// @param len  bytes
bool packed_ok(const void *buf, size_t len);
