// Simulation: entry VMs share one cold engine while coordinators change.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// Parts that are broken on purpose; the test must detect each.
enum sim_variant {
	SIM_REAL,
	SIM_NO_COORDINATOR, ///< each node uses the whole reported limit
	SIM_NO_STARTUP_WAIT, ///< grants and changes of coordinator are immediate
	SIM_NO_EXPIRY, ///< permits never expire
	SIM_NO_DRAIN, ///< requests that outlive their permit aren't counted
	SIM_NO_QUORUM, ///< an isolated node grants all slots to itself
	SIM_VARIANTS
};

struct sim_totals {
	int starts; ///< requests sent to the engine
	int overloads; ///< requests beyond the engine's capacity
	int late_starts; ///< 3 s after the engine began to drain
	int coordinator_changes;
	double utilization; ///< running requests / capacity, summed over seeds
};

/// Runs one seed and adds to the totals.
void sim_run(enum sim_variant variant, uint64_t seed, struct sim_totals *out);
