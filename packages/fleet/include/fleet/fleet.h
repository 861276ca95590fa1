// Autoscaling decision: how many backend servers of one kind a failure domain
// should have. Pure: takes demand and current servers, returns the change.
//
// Demand is counted in servers: 1.0 is the work of one warm server in full use.
// Steady work must not be interrupted and runs on regular servers only.
// Interruptible work also runs on cheap (spot) servers, which can be reclaimed a
// whole failure domain at a time. Regular servers plus the spare capacity of other
// failure domains therefore always suffice for all work.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	FLEET_BUCKETS = 16, ///< parts of the window of past demand
};

struct fleet_opts {
	double target; ///< utilization of a server at the wanted size, 0 to 1
	int64_t lead_ms; ///< from an order to a warm server
	int64_t hold_ms; ///< servers needed within this time are not stopped
	int64_t penalty_ms; ///< no cheap server is started this long after a loss
	int min; ///< fewest servers
	int max; ///< most servers
};

/// Demand on the failure domain and its current servers.
struct fleet_input {
	double steady; ///< demand that must not be interrupted, in servers
	double preemptible; ///< demand that may be interrupted, in servers
	int regular; ///< regular servers, including starting ones
	int cheap; ///< cheap servers, including starting ones
	int starting; ///< servers of both kinds that don't serve yet
	double other_domains_spare; ///< spare capacity of other failure domains, in
		///< servers; 0 when nothing is received from them
	double cheap_price; ///< of a cheap server, relative to a regular one;
		///< 0: none available
};

/// Change wanted: positive to start servers, negative to stop them. Nothing is
/// stopped while servers are starting, as these may be replacements, or within
/// hold_ms of the first step, when past demand is unknown.
struct fleet_plan {
	int regular;
	int cheap;
};

struct fleet_demand {
	double level; ///< smoothed demand, in servers
	double slope; ///< smoothed, in servers per millisecond
	double bucket[FLEET_BUCKETS]; ///< maximum in each part of the window
};

/// Demand seen so far. The members are private to the package.
struct fleet {
	struct fleet_opts opts;
	struct fleet_demand steady;
	struct fleet_demand preemptible;
	int64_t first_step_ms; ///< 0 before it
	int64_t last_step_ms;
	int64_t newest_bucket; ///< its number
	int64_t cheap_blocked_until_ms;
};

/// Initialize without demand.
void fleet_init(struct fleet *f, const struct fleet_opts *opts);

/// Record demand and return the change wanted. Call about once a second.
struct fleet_plan fleet_step(struct fleet *f, int64_t now_ms,
			     const struct fleet_input *in);

/// Cheap servers were reclaimed: none is started for penalty_ms.
void fleet_cheap_lost(struct fleet *f, int64_t now_ms);
