// Work that the nodes of a failure domain see, told by membership.
#pragma once

#include "daemon/fleet_mod.h"

/// Work of one kind, in servers.
struct fleet_need {
	double steady; ///< running and queued, must not be cut off
	double interruptible; ///< running and queued, may be
};

/// Tell the other nodes how much work this one has.
void fleet_need_tell(struct core *c);

/// Sum of what the alive nodes of the own failure domain told.
struct fleet_need fleet_need_sum(struct core *c, enum vm_kind kind);
