// Demand of a failure domain, exchanged between its nodes through membership.
#pragma once

#include "daemon/fleet_mod.h"

/// Running and queued work for one VM kind, in servers.
struct fleet_domain_demand {
	double non_preemptible; ///< must not be cut off
	double preemptible; ///< may be cut off
};

/// Publish this node's demand to the other nodes.
void fleet_demand_publish(struct core *c);

/// Sum over the alive nodes of this node's failure domain.
struct fleet_domain_demand fleet_demand_sum(struct core *c, enum vm_kind kind);
