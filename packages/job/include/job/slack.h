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
	double ms; ///< of the samples seen, recent ones counting most
	double length; ///< expected of them
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
