// State of the suspect module.
#pragma once

#include "core/core.h"
#include "suspect/suspect.h"

struct trials;

struct suspect_state {
	struct suspects *table;
	struct trials *trials;
};

/// Record and tell other nodes that a server ended under a barred request once more.
///
/// @param from  node that says so, "store" for the record of a trial
void suspect_confirm(struct core *c, struct suspect_id id, int last_trial,
		     const char *from);
