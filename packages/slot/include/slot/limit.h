// Concurrency limit of one backend server (AIMD): additive increase on success,
// multiplicative decrease on errors and rising latency, from few slots.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// Results of a node's requests since its last sample.
struct slot_sample {
	uint32_t ok_count; ///< successful requests
	uint32_t errors; ///< refused, reset, timed out, overloaded
	uint32_t ok_sum_ms; ///< total duration of successes, 0 for streams
};

/// Load report of the server, some time old.
struct slot_report {
	int slots; ///< concurrent streams, 0 if not reported
	int running;
	uint64_t version; ///< weight version, 0 if it has none
	int64_t as_of_ms; ///< clock_now_ms() time of the load
};

struct slot_limit_opts {
	int start; ///< slots of a new server
	int max;
};

struct slot_limit {
	struct slot_limit_opts o;
	int adaptive_slots; ///< limit from samples
	uint32_t ok_count; ///< since the last increase
	int64_t decreased_ms;
	double baseline_ms; ///< long-term latency, 0 before the first
	double recent_ms; ///< latency over the last few samples
	int reported_slots; ///< by the server, 0 if none
	uint64_t version;
};

void slot_limit_init(struct slot_limit *l, const struct slot_limit_opts *opts);

/// Change the initial slots; no effect once there are samples.
void slot_limit_set_start(struct slot_limit *l, int start);

/// Adjusts the limit; decreases it at most once in a permit lifetime.
///
/// @param used  slots committed over all nodes
void slot_limit_sample(struct slot_limit *l, int64_t now,
		       const struct slot_sample *s, int used);

/// Applies the server's report. A new weight version empties its cache: the
/// limit returns to the start.
void slot_limit_report(struct slot_limit *l, const struct slot_report *r);

/// Slots that may be granted.
int slot_limit_get(const struct slot_limit *l);
