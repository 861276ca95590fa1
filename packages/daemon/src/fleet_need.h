// Demand of a failure domain, exchanged between its nodes through membership.
#pragma once

#include "daemon/fleet_mod.h"

/// Demand for one VM kind, in servers: 1.0 fills one warm server.
struct fleet_need {
	double steady; ///< running and queued work that must not be preempted
	double cuttable; ///< running and queued work that may be
};

/// Publish this node's demand to the other nodes.
void fleet_need_tell(struct core *c);

/// Sum over the alive nodes of this node's failure domain, this node included.
struct fleet_need fleet_need_sum(struct core *c, enum vm_kind kind);
