// Strict check of the framing of a body by chunks, byte by byte.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum chunk_state {
	CHUNK_SIZE, ///< the first one
	CHUNK_EXTENSION,
	CHUNK_SIZE_LF,
	CHUNK_DATA,
	CHUNK_DATA_CR,
	CHUNK_DATA_LF,
	CHUNK_TRAILER_START,
	CHUNK_TRAILER,
	CHUNK_TRAILER_LF,
	CHUNK_END_LF,
	CHUNK_DONE,
};

struct chunk_check {
	enum chunk_state state;
	uint64_t left; ///< bytes of the chunk
	int digits; ///< of its size
};

/// Check the next bytes.
///
/// @param[out] used  bytes up to the body's end
/// @return false for what is no framing
bool chunk_check_feed(struct chunk_check *c, const char *data, size_t len,
		      size_t *used);
