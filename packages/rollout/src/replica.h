// A copy of another node's state of a trainer.
#pragma once

#include "rollout/home.h"

struct replica {
	char team[BATCH_NAME];
	char trainer[BATCH_NAME];
	char owner[BATCH_NAME];
	uint64_t epoch;
	uint64_t stream;
	uint64_t acked; ///< newest chunk taken
	bool whole; ///< the first whole copy ended
	bool fenced; ///< this node takes over: nothing more is acknowledged
	bool broken; ///< an operation did not fit
	struct home *home;
	char *part; ///< operation whose chunks have come so far
	size_t part_len; ///< bytes
};

struct replica *replica_new(const char *team, const char *trainer,
			    const char *owner);
void replica_free(struct replica *r);

/// Begin a new stream of operations; what was held is forgotten.
void replica_begin(struct replica *r, uint64_t epoch, uint64_t stream);

/// Take the next chunk.
///
/// @return ERR_OK; ERR_PARSE or ERR_INVALID: the copy is broken
enum err replica_take(struct replica *r, const void *buf, size_t len,
		      bool last);
