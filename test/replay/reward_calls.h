// A step's reward calls in virtual time: servers with slots, which also serve
// latency-sensitive lookups, and a node that collects the scores of one batch.
#pragma once

#include <stdint.h>

struct reward_load {
	uint64_t seed;
	int items;
	int group;
	int texts_ms; ///< texts complete at random times up to this
	int servers;
	int slots; ///< of a server
	int call_ms; ///< mean service time
	int n_slow; ///< servers
	int slow_factor; ///< factor on their service times
	int outage_start_ms, outage_end_ms; ///< no server responds meanwhile
	int failing_percent; ///< of the items: their calls always fail
	double lookups_per_s;
	int lookup_ms; ///< mean service time
};

struct reward_stats {
	int n_scored; ///< items with a score
	int n_abandoned; ///< items without a score
	int n_calls; ///< sent
	int max_failed_calls; ///< most failed calls of one item
	int last_finished_ms; ///< when the last item was finished
	int target_reached_ms; ///< when nine of ten groups were finished
	int lookup_p99_ms;
};

/// Simulate at least 4 s, the period of steps, and until every item is finished or
/// 60 s have passed.
struct reward_stats reward_simulate(const struct reward_load *load);
