// Entry VMs, one cold engine, stewards that change, in virtual time.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// What is broken on purpose; each one must be found.
enum sim_variant {
	SIM_REAL,
	SIM_NO_COORDINATOR, ///< each node finds the limit for itself
	SIM_NO_STARTUP_WAIT, ///< a new steward grants at once, nodes change at once
	SIM_NO_EXPIRY, ///< a node keeps its permit without renewal
	SIM_NO_DRAIN, ///< requests that outlive their permit aren't counted
	SIM_NO_QUORUM, ///< a node that is cut off grants all slots to itself
	SIM_VARIANTS
};

struct sim_totals {
	int starts; ///< requests sent to the engine
	int overloads; ///< times that the engine got more than it bears
	int late_starts; ///< 3 s after the engine was told to leave
	int coordinator_changes;
	double utilization; ///< sum over seeds of (work time / slots borne)
};

/// Run one seed and add to the totals.
void sim_run(enum sim_variant variant, uint64_t seed, struct sim_totals *out);
