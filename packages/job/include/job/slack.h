// Scheduling slack of a sample: how long its start may be delayed without its batch
// missing the due time. Pure.
//
// Load pattern: two steps of a trainer are open, and the first still has many short
// samples waiting when the second begins. Freed slots go to the second one's long
// samples: a step can't complete before them, while short samples have seconds of slack.
#pragma once

#include <stdint.h>

/// Time that samples took in relation to their expected length.
struct job_pace {
	double total_ms; ///< of past samples, with decaying weight
	double total_length; ///< their expected tokens, with the same weights
};

/// Add a sample that was generated from its first to its last event.
///
/// @param length  tokens that were expected
/// @param ms      time that its server took
void job_pace_add(struct job_pace *p, int64_t length, int64_t ms);

/// Slack of a sample in milliseconds, negative when it is late.
///
/// @param due_ms  clock_now_ms() time at which its batch is due
/// @param length  expected tokens
int64_t job_slack_ms(const struct job_pace *p, int64_t now, int64_t due_ms,
		     int64_t length);

/// A batch that shares its model's servers with a newer batch.
struct job_newer {
	uint64_t
		min_version; ///< oldest weights that the newer one allows, 0 for none
	int servers; ///< that this batch can use
	int newer_servers; ///< that the newer one can use
};

/// Weights whose servers a sample leaves to a newer batch.
///
/// Load pattern: a trainer that fell behind asks for two steps within a second. The
/// second one can use the few servers only that have just loaded new weights, the first
/// one all of them. If the first one's samples take the new servers too, those of the
/// second start a second late. Hints don't tell which of them are long. Once half of the
/// servers are new, the second one finds enough, and the first one would lose too many.
///
/// @param slack_ms  of the sample
/// @return version, 0 if it leaves none
uint64_t job_version_to_leave(const struct job_newer *n, int64_t slack_ms);

/// A sample that runs at a slow server, and a faster server with a free slot.
struct job_move {
	int64_t length; ///< expected tokens of the sample
	int64_t elapsed_ms; ///< since it started
	double from_pace_ms; ///< milliseconds an event at its server
	double to_pace_ms; ///< milliseconds an event at the other one
};

/// Time that a sample is expected to save by moving to the faster server.
///
/// Load pattern: lengths are heavy-tailed and hints inaccurate, so a sample that exceeds
/// its hint is likely one of the longest, and the step waits for it.
///
/// @return milliseconds, 0 if it saves nothing
int64_t job_move_gain_ms(const struct job_pace *p, const struct job_move *m);
