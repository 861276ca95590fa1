// Timeout of a call, derived from the latest response times of its service. Pure.
//
// Load pattern: a third of a service's servers turns slow. The timeout grows with the
// response times, so calls in progress are not retried, and a silent server is still
// abandoned early.
#pragma once

#include <stdint.h>

enum {
	RESPONSE_TIMES_MAX = 64, ///< latest answers that are remembered
};

struct response_times {
	int32_t recent_ms[RESPONSE_TIMES_MAX]; ///< ring of response times
	uint32_t n; ///< answers so far
};

/// Add the response time of a call that was answered.
void response_times_add(struct response_times *p, int64_t ms);

/// Median of recent response times, valid while less than half of the servers are slow.
///
/// @return milliseconds, 0 while too few are known
int64_t response_times_median_ms(const struct response_times *p);

/// Timeout of the next call. Some requests take long at any server: it doubles with
/// each unanswered call.
///
/// @param unanswered  earlier calls of the same request that got no answer
/// @param target_ms   time within which the service should answer
/// @param max_ms      longest timeout that is allowed
/// @return milliseconds, from target_ms to max_ms
int64_t response_timeout_ms(const struct response_times *p, int unanswered,
			    int64_t target_ms, int64_t max_ms);
