// How much load one backend server bears: additive increase on success,
// multiplicative decrease on errors and rising latency, from few slots.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// What one node saw since its last sample.
struct slot_sample {
	uint32_t oks; ///< requests answered
	uint32_t errors; ///< refused, reset, timed out, overloaded
	uint32_t
		ok_ms; ///< sum of the answered requests' durations; 0 if they say
	///< nothing, as those of streams
};

/// What the server itself reports, some time late.
struct slot_report {
	int slots; ///< streams that it bears, 0 if it doesn't say
	int running;
	uint64_t version; ///< weight version, 0 if it has none
	int64_t as_of_ms; ///< clock_now_ms() time that the report speaks of
};

struct slot_limit_opts {
	int start; ///< slots of a fresh server
	int max;
};

struct slot_limit {
	struct slot_limit_opts o;
	int slots; ///< slots
	uint32_t oks; ///< since the last step up
	int64_t decreased_ms; ///< last step down
	double baseline_ms; ///< latency over a long time, 0 before the first
	double recent_ms; ///< over the last few samples
	int reported_slots; ///< slots that the server reports, 0 if none
	uint64_t version;
};

void slot_limit_init(struct slot_limit *l, const struct slot_limit_opts *opts);

/// Take a sample.
///
/// @param used  slots in use over all nodes
void slot_limit_sample(struct slot_limit *l, int64_t now,
		       const struct slot_sample *s, int used);

/// Take the server's report. A new version empties its cache: the limit falls
/// back to the start.
void slot_limit_report(struct slot_limit *l, const struct slot_report *r);

/// Slots that may be granted.
int slot_limit_get(const struct slot_limit *l);
