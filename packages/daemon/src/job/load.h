// Loads batches that this node takes over, and starts them.
#pragma once

#include "job/job.h"

struct job_load_opts {
	/// Owner key as read; node and incarnation are replaced.
	const struct job_owner *owner;
	uint64_t rev; ///< revision of that key
	int64_t loss_known_ms; ///< detection of the loss, for the metric
};

/// Start taking over a batch, unless it is being loaded.
void job_load_begin(struct core *c, const char *id,
		    const struct job_load_opts *opts);

/// Poll the owner key after a write of it got no answer; run the batch if it names
/// this node. Joins a load that is under way.
///
/// @param spec  ownership passes to this call
void job_load_recheck_owner(struct core *c, struct job_spec *spec);

/// Load and run a batch whose owner key was read and names this node. Joins a load that
/// is under way.
///
/// @param spec  ownership passes to this call
/// @param rev   revision of the owner key
void job_load_owned(struct core *c, struct job_spec *spec,
		    const struct job_owner *owner, uint64_t rev);

/// A list of a batch's records ended: go on with the load that waits for it.
void job_load_listed(struct core *c, const struct job *j, enum err e);

/// Make store calls of loads that are due.
void job_load_step(struct core *c);

/// Whether a batch is being loaded.
bool job_loading(const struct jobs *jobs, const char *id);

/// Takeovers in progress, without those that only wait for a late write.
int job_loads_active(const struct jobs *jobs);

void job_loads_free(struct jobs *jobs);
