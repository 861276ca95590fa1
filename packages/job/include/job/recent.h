// Items of recent batches, used to recognize those that a trainer carried over.
//
// Load pattern: a trainer submits groups that did not become complete again in a later
// batch, with the same item ids. They have delayed one step already.
#pragma once

#include "base/err.h"
#include "job/job_defs.h"

enum {
	RECENT_BATCHES_MAX = 16, ///< the oldest is replaced
	RECENT_ITEMS_MAX = 8192, ///< remembered of each batch
};

/// Hashes of a batch. Hashes suffice: a collision only changes the order of a start.
struct job_recent_batch {
	uint64_t trainer; ///< of team and model
	uint64_t id;
	uint64_t *items; ///< sorted
	size_t n;
};

struct job_recent {
	struct job_recent_batch batches[RECENT_BATCHES_MAX];
	size_t next; ///< row that the next batch replaces
};

/// Mark the items that an earlier batch of the same team and model had, and remember
/// this batch.
///
/// @param[in,out] spec  its items' `carried` is set
/// @return items that were carried over
size_t job_recent_mark_carried(struct job_recent *s, struct job_spec *spec);

/// Free and clear all remembered batches.
void job_recent_free(struct job_recent *s);
