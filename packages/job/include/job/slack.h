// Slack of a sample: how long its start may wait without its batch being late. Pure.
//
// Load pattern: two steps of a trainer are open, and the first one still has many
// short samples waiting when the second one begins. Slots that become free belong to
// the second one's long samples: a step can't be whole before they are, while short
// samples have seconds to spare.
#pragma once

#include <stdint.h>

/// Time that samples take for their expected length.
struct job_pace {
	double total_ms; ///< of the samples seen, recent ones counting most
	double total_length; ///< expected of them
};

/// A sample was generated from its first event to its last one.
///
/// @param length  that was expected of it
/// @param ms      that it took at its server
void job_pace_note(struct job_pace *p, int64_t length, int64_t ms);

/// Milliseconds by which the start of a sample may wait; negative when it is late.
///
/// @param due_ms  when its batch is due
/// @param length  expected of it
int64_t job_slack(const struct job_pace *p, int64_t now, int64_t due_ms,
		  int64_t length);

/// A sample that runs at a slow server, and a free slot at a faster one.
struct job_move {
	int64_t length; ///< expected of the sample
	int64_t elapsed_ms; ///< since it began
	double from_ms; ///< pace of its server
	double to_ms; ///< pace of the other one
};

/// Time that a sample is expected to save by going on at the faster server.
///
/// Load pattern: lengths have heavy tails and hints are far off, so a sample that has
/// outlived its hint is likely to be one of the longest, and the step waits for it.
///
/// @return milliseconds, 0 if it saves nothing
int64_t job_move_gain(const struct job_pace *p, const struct job_move *m);
