// Shares of the bound; what is left of it is for the flight of the work.
#include "site/fresh.h"

enum {
	PERCENT = 100,
	/* Percent of the bound. */
	REFRESH_PERCENT = 35, ///< each one costs a call of every relay
	HOLD_PERCENT = 12, ///< each one costs a message of every follower
	RELAY_AGE_PERCENT = 50, ///< a refresh, and a slow answer of the store
	OVERDUE_PERCENT = 60, ///< a refresh, a hold, and their flight
	LIMIT_PERCENT = 80, ///< an own call was answered or is lost by then
	SEND_PERCENT = 50, ///< longer than any wait for a connection
	REFRESH_MIN_MS = 100,
	/// Keys are trusted by the age of the same knowledge, and a failed call
	/// must not end that.
	REFRESH_MAX_MS = 1000,
	HOLD_MAX_MS = 400, ///< a lost question is noticed soon after
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

struct site_fresh site_fresh_of(int64_t bound_ms)
{
	return (struct site_fresh){
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

int64_t site_fresh_until(const struct site_fresh *f, int64_t confirmed_ms,
			 int64_t failed_call_ms)
{
	return failed_call_ms > confirmed_ms ? INT64_MAX
					     : confirmed_ms + f->limit_ms;
}

int64_t site_store_back(int64_t direct_since_ms, int64_t relay_since_ms)
{
	if (!direct_since_ms || !relay_since_ms)
		return direct_since_ms ? direct_since_ms : relay_since_ms;
	return direct_since_ms < relay_since_ms ? direct_since_ms
						: relay_since_ms;
}
