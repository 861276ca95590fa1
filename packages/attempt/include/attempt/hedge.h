// Hedged requests: when an idempotent request gets a second attempt at another
// server while the first is in flight, and the node's budget. Pure functions.
//
// Load pattern: short calls to servers of which a few are slow, unreachable or
// lose responses. When all are slow, the median latency grows and the budget
// limits the other hedges, so that an overload is not made worse.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	HEDGE_BUCKETS = 10, ///< of 1 s each
};

/// Purpose of an added attempt.
enum hedge_reason {
	HEDGE_FOR_LATENCY, ///< lower latency: the response is overdue
	HEDGE_FOR_SUCCESS, ///< success: it failed, or half of the caller's time is over
};

/// Requests of the last 10 s and the attempts added to them.
struct hedge_budget {
	int64_t second[HEDGE_BUCKETS]; ///< of each bucket
	int32_t requests[HEDGE_BUCKETS];
	int32_t added[HEDGE_BUCKETS];
};

/// Counts a request.
void hedge_budget_request(struct hedge_budget *b, int64_t now);

/// Whether an attempt may be added now.
///
/// @param percent  of the requests of the last 10 s; a few are always allowed, more
///                 if the request would otherwise fail
bool hedge_budget_allows(struct hedge_budget *b, int64_t now, int percent,
			 enum hedge_reason why);

/// Takes from the budget an attempt of a request whose earlier one may run.
///
/// @return false when the budget is exhausted
bool hedge_budget_take(struct hedge_budget *b, int64_t now, int percent,
		       enum hedge_reason why);

/// State of a request and its attempts.
struct hedge_request {
	bool idempotent;
	int64_t overdue_at_ms; ///< when the last attempt is overdue
	int64_t usual_ms; ///< median latency of the service, 0 if not known
	int64_t came_ms; ///< arrival of the request
	int64_t until_ms; ///< the caller's deadline
	int running; ///< attempts in flight
	int tried; ///< servers tried
	int max_servers;
};

/// Time in ms without a response after which an attempt is overdue.
///
/// @param usual_ms   median latency of the service's last calls, 0 if not known
/// @param target_ms  latency target of the service
int64_t hedge_after_ms(int64_t usual_ms, int64_t target_ms);

/// Purpose of a second attempt while the first has no response.
enum hedge_reason hedge_reason_of(const struct hedge_request *req, int64_t now);

/// Whether to make a second attempt now: the only one in flight is overdue, a
/// server is left, and the time left exceeds the median latency.
bool hedge_due(const struct hedge_request *req, int64_t now);
