// Copy of a trainer's state that another node owns.
#pragma once

#include "rollout/home.h"

struct replica {
	char team[BATCH_NAME_SIZE];
	char trainer[BATCH_NAME_SIZE];
	char owner[BATCH_NAME_SIZE];
	uint64_t epoch;
	uint64_t stream;
	uint64_t acked; ///< newest chunk applied
	bool complete; ///< the snapshot is complete
	bool fenced; ///< this node takes over: no further chunk is acknowledged
	bool broken; ///< an operation could not be applied
	struct home *home;
	char *partial_op; ///< chunks of an incomplete operation
	size_t partial_len; ///< bytes
};

struct replica *replica_new(const char *team, const char *trainer,
			    const char *owner);
void replica_free(struct replica *r);

/// Start a new stream of operations; discards the previous state.
void replica_restart(struct replica *r, uint64_t epoch, uint64_t stream);

/// Apply the next chunk.
///
/// @return ERR_OK; on any error the copy is broken
enum err replica_apply_chunk(struct replica *r, const void *buf, size_t len,
			     bool last);
