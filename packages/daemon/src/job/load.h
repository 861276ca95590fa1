// Batches on their way to this node.
#pragma once

#include "job/job.h"

struct job_load_opts {
	/// Its owner key as it was read; this node writes itself into it.
	const struct job_owner *owner;
	uint64_t rev; ///< of that key
	int64_t loss_known_ms; ///< since when the loss is known, for the metric
};

/// Take a batch over.
void job_load_begin(struct core *c, const char *id,
		    const struct job_load_opts *opts);

/// Run a batch if its owner key turns out to name this node: a write of the key
/// got no answer.
///
/// @param spec  taken over
void job_load_recheck_owner(struct core *c, struct job_spec *spec);

/// Look at owner keys again that are due.
void job_load_step(struct core *c);

/// Whether a batch is on its way.
bool job_loading(const struct jobs *jobs, const char *id);

/// Takeovers in progress, but those that only wait for a late write.
int job_loads_active(const struct jobs *jobs);

void job_loads_free(struct jobs *jobs);
