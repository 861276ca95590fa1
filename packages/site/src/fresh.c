// Limits on data age as percentages of a bound; the remainder is for the transit of work.
#include "site/fresh.h"

enum {
	PERCENT = 100,
	REFRESH_PERCENT = 35, ///< every refresh costs a store call per relay
	HOLD_PERCENT = 12, ///< every poll costs a message per follower
	RELAY_AGE_PERCENT = 50, ///< a refresh plus a slow store response
	OVERDUE_PERCENT = 60, ///< a refresh, a hold and their transit
	/// A direct call is answered or has timed out by then.
	LIMIT_PERCENT = 80,
	SEND_PERCENT = 50, ///< longer than any wait for a connection
	REFRESH_MIN_MS = 100,
	/// The age of the same data decides whether callers' keys are accepted, and one
	/// failed refresh must not stop that.
	REFRESH_MAX_MS = 1000,
	HOLD_MAX_MS = 400, ///< a lost poll is noticed soon after
};

static int64_t percent_of(int64_t bound_ms, int percent)
{
	return bound_ms * percent / PERCENT;
}

static int64_t clamp(int64_t v, int64_t min, int64_t max)
{
	if (v < min)
		return min;
	return v > max ? max : v;
}

struct site_freshness site_fresh_from_bound(int64_t bound_ms)
{
	return (struct site_freshness){
		.refresh_ms = clamp(percent_of(bound_ms, REFRESH_PERCENT),
				    REFRESH_MIN_MS, REFRESH_MAX_MS),
		.hold_ms = clamp(percent_of(bound_ms, HOLD_PERCENT), 0,
				 HOLD_MAX_MS),
		.told_ms = percent_of(bound_ms, RELAY_AGE_PERCENT),
		.overdue_ms = percent_of(bound_ms, OVERDUE_PERCENT),
		.limit_ms = percent_of(bound_ms, LIMIT_PERCENT),
		.send_ms = percent_of(bound_ms, SEND_PERCENT),
	};
}

int64_t site_fresh_valid_until(const struct site_freshness *f,
			       int64_t confirmed_ms, int64_t failed_call_ms)
{
	return failed_call_ms > confirmed_ms ? INT64_MAX
					     : confirmed_ms + f->limit_ms;
}

int64_t site_store_up_since(int64_t direct_since_ms, int64_t relay_since_ms)
{
	if (!direct_since_ms || !relay_since_ms)
		return direct_since_ms ? direct_since_ms : relay_since_ms;
	return direct_since_ms < relay_since_ms ? direct_since_ms
						: relay_since_ms;
}
