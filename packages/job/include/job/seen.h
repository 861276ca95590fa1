// Items of recent batches, by which those that a trainer carried over are known.
//
// Load pattern: a trainer submits groups that did not become complete again, under the
// same item ids, in a later batch. They held up one step already.
#pragma once

#include "base/err.h"
#include "job/job_defs.h"

enum {
	RECENT_BATCHES_MAX = 16, ///< remembered; the oldest gives way
	RECENT_ITEMS_MAX = 8192, ///< remembered of a batch
};

/// A batch. Hashes will do: a clash changes the order of a start, nothing else.
struct job_recent_batch {
	uint64_t trainer; ///< team and model
	uint64_t id;
	uint64_t *items; ///< sorted
	size_t n;
};

struct job_seen {
	struct job_recent_batch batches[RECENT_BATCHES_MAX];
	size_t next; ///< row of the next batch
};

/// Mark the items that an earlier batch of the same team and model had, and remember
/// this batch.
///
/// @param[in,out] spec  its items' `carried` is set
/// @return items that were carried over
size_t job_seen_take(struct job_seen *s, struct job_spec *spec);

/// Forget all.
void job_seen_free(struct job_seen *s);
