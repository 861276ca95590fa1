// Concurrency limit of one backend server (AIMD): additive increase on success,
// multiplicative decrease on errors and rising latency, from few slots.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// Results of one node's requests since its last sample.
struct slot_sample {
	uint32_t oks; ///< successful requests
	uint32_t errors; ///< refused, reset, timed out, overloaded
	uint32_t ok_ms; ///< sum of the durations of `oks`; 0 for streams, whose
		///< duration tells nothing about the load
};

/// Load report of the server; arrives with a delay.
struct slot_report {
	int slots; ///< streams that it can run at once, 0 if not reported
	int running; ///< requests running on it
	uint64_t version; ///< weight version, 0 if it has none
	int64_t as_of_ms; ///< clock_now_ms() time that the report describes
};

struct slot_limit_opts {
	int start; ///< initial slots of a new server
	int max; ///< upper bound of the limit, in slots
};

struct slot_limit {
	struct slot_limit_opts o;
	int adaptive_slots; ///< adaptive limit, not bounded by the report
	uint32_t oks; ///< successes since the last increase
	int64_t decreased_ms; ///< time of the last decrease
	double baseline_ms; ///< long-term average latency, 0 before the first
	double recent_ms; ///< average latency over the last few samples
	int reported_slots; ///< limit that the server reports, 0 if none
	uint64_t version; ///< weight version of the last report
};

void slot_limit_init(struct slot_limit *l, const struct slot_limit_opts *opts);

/// Adjusts the limit by a node's sample; decreases it at most once in a permit
/// lifetime.
///
/// @param used  slots committed over all nodes
void slot_limit_sample(struct slot_limit *l, int64_t now,
		       const struct slot_sample *s, int used);

/// Records the server's report. A new weight version empties its cache, so the
/// limit is reduced to the initial one.
void slot_limit_report(struct slot_limit *l, const struct slot_report *r);

/// Current limit in slots: the lower of the adaptive and the reported one.
int slot_limit_get(const struct slot_limit *l);
