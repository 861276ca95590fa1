// When a request that may run more than once gets a second attempt at another server
// while the first one is still out, and how many a node may add. Pure.
//
// Load pattern: short calls to servers of which a few are slow, cut off or lose
// answers. Where all are slow the usual time grows and the budget ends the rest, so
// that an overload is not made worse.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	HEDGE_BUCKETS = 10, ///< of a second each
};

/// What an added attempt is for.
enum hedge_why {
	HEDGE_EARLY, ///< the answer is late; the caller has time
	HEDGE_LAST, ///< the attempt failed, or half of the caller's time is over
};

/// Requests of the last seconds, and the attempts that were added to them.
struct hedge_budget {
	int64_t second[HEDGE_BUCKETS]; ///< of which a bucket is
	int32_t requests[HEDGE_BUCKETS];
	int32_t added[HEDGE_BUCKETS];
};

/// Count a request.
void hedge_budget_request(struct hedge_budget *b, int64_t now);

/// Whether an attempt may be added now.
///
/// @param percent  of the requests of the last 10 s. A few are granted in them however
///                 few requests there were: more of those without which a request fails
bool hedge_budget_open(struct hedge_budget *b, int64_t now, int percent,
		       enum hedge_why why);

/// Take one more attempt of a request whose earlier one may run.
///
/// @return false when they are used up
bool hedge_budget_take(struct hedge_budget *b, int64_t now, int percent,
		       enum hedge_why why);

/// A request and its attempts.
struct hedge_ask {
	bool idempotent;
	int64_t missed_ms; ///< when the last attempt is missed, by hedge_after_ms()
	int64_t usual_ms; ///< median of the service's last answers, 0 if not known
	int64_t came_ms; ///< begin of the request
	int64_t until_ms; ///< end of the caller's time
	int running; ///< attempts
	int tried; ///< servers
	int max_servers;
};

/// Time without an answer after which one is missed.
///
/// @param usual_ms   median of the service's last answers, 0 if not known
/// @param target_ms  time within which an answer is on time
int64_t hedge_after_ms(int64_t usual_ms, int64_t target_ms);

/// Why a second attempt may be made beside one that is not answered.
enum hedge_why hedge_why_of(const struct hedge_ask *req, int64_t now);

/// Whether a second attempt may help the request now.
bool hedge_due(const struct hedge_ask *req, int64_t now);
