// How long to wait for an answer, by how long the last ones took. Pure.
//
// Load pattern: a service of which a third turns slow. A bound from its own recent
// times grows with it, so that calls are not sent again while they are being worked
// on, and a silent server is still left early.
#pragma once

#include <stdint.h>

enum {
	RESPONSE_TIMES_MAX = 64, ///< answers that are remembered
};

struct patience {
	int32_t recent_ms
		[RESPONSE_TIMES_MAX]; ///< the last answers took so long
	uint32_t n; ///< answers so far
};

/// An answer came.
void patience_add(struct patience *p, int64_t ms);

/// Median of the last answers: it holds while less than half of the servers are slow.
///
/// @return milliseconds, 0 while too few are known
int64_t patience_usual_ms(const struct patience *p);

/// Longest wait for the next one. Some calls take long wherever they go: the wait
/// doubles with each one that went unanswered.
///
/// @param unanswered  calls of the same request that got no answer
/// @param target_ms  time within which the service is to answer
/// @param most_ms    longest that anyone may wait
/// @return milliseconds, from target_ms to most_ms
int64_t patience_ms(const struct patience *p, int unanswered, int64_t target_ms,
		    int64_t max_ms);
