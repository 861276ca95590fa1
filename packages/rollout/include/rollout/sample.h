// A sample: its tokens, and the weight version that made each segment.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum {
	SAMPLE_SERVER = 64, ///< bytes of a server id
};

enum sample_finish {
	SAMPLE_OPEN, ///< no end came yet
	SAMPLE_STOP,
	SAMPLE_LENGTH,
};

struct sample_segment {
	uint64_t version; ///< as the engine reported it
	uint32_t n; ///< tokens
};

struct sample {
	uint32_t *tokens;
	size_t n;
	size_t cap;
	struct sample_segment *segments;
	size_t n_segments;
	size_t cap_segments;
	enum sample_finish finish;
	char server[SAMPLE_SERVER]; ///< engine of the last segment
};

/// Start an empty sample; allocates nothing yet.
void sample_init(struct sample *s);

/// Free what a sample holds and empty it.
void sample_clear(struct sample *s);

/// Add tokens that one weight version made.
///
/// @return ERR_OK or ERR_NOMEM
enum err sample_add(struct sample *s, uint64_t version, const uint32_t *tokens,
		    size_t n);

/// Copy a sample.
///
/// @param[out] dst  empty sample
/// @return ERR_OK or ERR_NOMEM
enum err sample_copy(struct sample *dst, const struct sample *src);

/// Oldest weight version among the segments.
///
/// @return version, UINT64_MAX for a sample without tokens
uint64_t sample_oldest(const struct sample *s);

/// Whether a sample may be delivered.
///
/// @param version        trainer's weight version now
/// @param max_staleness  versions that a segment may be behind
bool sample_fresh(const struct sample *s, uint64_t version,
		  uint64_t max_staleness);
