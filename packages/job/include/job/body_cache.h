// Bodies of batches that run elsewhere, kept while they are asked for. Pure.
//
// Load pattern: a node that ran batches is lost or restarts, and within a second callers
// ask its successors for bodies of the same few batches. A batch of half a megabyte keeps
// the loop of a small VM for a tenth of a second each time it is parsed, just when the
// batches are to go on. So reads of one batch share a store call, and what was parsed
// answers those that follow. A batch that was accepted never changes.
#pragma once

#include "job/job_defs.h"

enum {
	BODY_CACHE_BATCHES = 4, ///< read or kept at a time
	BODY_CACHE_MAX_BYTES = 4194304, ///< of kept batches, as in the store
	BODY_CACHE_KEEP_MS = 5000, ///< after the last use
};

enum body_cache_state {
	BODY_CACHE_FREE,
	BODY_CACHE_READING,
	BODY_CACHE_KEPT,
};

struct body_cache_row {
	enum body_cache_state state;
	char id[JOB_ID_BYTES];
	struct job_spec *spec; ///< with BODY_CACHE_KEPT, owned
	size_t bytes;
	int64_t used_ms;
};

struct body_cache {
	struct body_cache_row rows[BODY_CACHE_BATCHES];
};

/// Find a kept batch and mark it as used.
///
/// @return batch, valid until the next call; NULL if it is not kept
const struct job_spec *body_cache_find(struct body_cache *c, const char *id,
				       int64_t now);

/// Begin to read a batch that is not kept. Takes the row that was unused for longest.
///
/// @return row, to be passed to body_cache_end(); -1 if the batch is being read, or if
///         all rows are: try again when a read has ended
int body_cache_begin(struct body_cache *c, const char *id, int64_t now);

/// End a read. The batch is kept unless it is too large.
///
/// @param row    from body_cache_begin()
/// @param spec   batch, NULL if the read failed; owned by the cache if it is kept
/// @param bytes  its size in the store
/// @return whether it is kept
bool body_cache_end(struct body_cache *c, int row, struct job_spec *spec,
		    size_t bytes, int64_t now);

/// Free batches that were not used for BODY_CACHE_KEEP_MS.
void body_cache_expire(struct body_cache *c, int64_t now);

/// Free all kept batches.
void body_cache_free(struct body_cache *c);
