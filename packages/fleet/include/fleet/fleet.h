// Decides how many backend servers a failure domain should have of one kind.
// Pure: demand and servers in, the change that is wanted out.
//
// Demand is counted in servers: 1.0 is what one warm server does in full use.
// Steady work must not be cut off and runs on regular servers only. Work that
// may be cut also runs on cheap ones, which can vanish a whole failure domain at
// a time; so the regular ones, with what other failure domains can spare, always
// suffice for everything.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	FLEET_BUCKETS = 16, ///< parts of the window that is remembered
};

struct fleet_opts {
	double target; ///< share of a server that is used at the wanted size
	int64_t lead_ms; ///< from an order to a warm server
	int64_t hold_ms; ///< no server is stopped that was needed within this
	int64_t penalty_ms; ///< no cheap server is started for this after a loss
	int min; ///< least servers
	int max; ///< most servers
};

/// What is asked of the failure domain, and what it has.
struct fleet_input {
	double steady; ///< demand that must not be cut off, in servers
	double cuttable; ///< demand that may be, in servers
	int regular; ///< regular servers, those being started included
	int cheap; ///< cheap servers, those being started included
	int starting; ///< of both, those that don't serve yet
	double others_spare; ///< what other failure domains could take over, in
		///< servers; 0 when they are not heard
	double cheap_price; ///< of a cheap server, a regular one is 1.0; 0: none
		///< to be had
};

/// Change wanted: above zero to start, below to stop. Nothing is stopped while
/// servers are being started, which may be there to take its place, and nothing
/// within hold_ms of the first step, when past demand isn't known.
struct fleet_plan {
	int regular;
	int cheap;
};

struct fleet_demand {
	double level; ///< smoothed
	double slope; ///< servers a millisecond, smoothed
	double bucket[FLEET_BUCKETS]; ///< greatest in each part of the window
};

/// Demand seen so far. The members are the package's own.
struct fleet {
	struct fleet_opts opts;
	struct fleet_demand steady;
	struct fleet_demand cuttable;
	int64_t first_ms; ///< first step, 0 before it
	int64_t last_ms; ///< last step
	int64_t newest_bucket; ///< of the newest bucket
	int64_t cheap_blocked_until_ms;
};

/// Start without demand.
void fleet_init(struct fleet *f, const struct fleet_opts *opts);

/// Take in what is, say what should change. Call about once a second.
struct fleet_plan fleet_step(struct fleet *f, int64_t now_ms,
			     const struct fleet_input *in);

/// Cheap servers were reclaimed.
void fleet_cheap_lost(struct fleet *f, int64_t now_ms);
