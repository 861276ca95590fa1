// Loads batches that this node takes over, and starts them.
#pragma once

#include "job/job.h"

struct job_load_opts {
	/// Owner key as read; node and incarnation are replaced.
	const struct job_owner *owner;
	uint64_t rev; ///< revision of that key
	int64_t loss_known_ms; ///< detection of the loss, for the metric
};

/// Start taking over a batch.
void job_load_begin(struct core *c, const char *id,
		    const struct job_load_opts *opts);

/// Poll the owner key after a write of it got no answer; run the batch if it names
/// this node.
///
/// @param spec  ownership passes to this call
void job_load_recheck_owner(struct core *c, struct job_spec *spec);

/// Make store calls of loads that are due.
void job_load_step(struct core *c);

/// Whether a batch is being loaded.
bool job_loading(const struct jobs *jobs, const char *id);

/// Takeovers in progress, without those that only wait for a late write.
int job_loads_active(const struct jobs *jobs);

void job_loads_free(struct jobs *jobs);
