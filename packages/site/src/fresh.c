// Shares of the bound; what is left of it is for the flight of the work.
#include "site/fresh.h"

enum {
	PERCENT = 100,
	/* Percent of the bound. */
	REFRESH_SHARE = 35, ///< each one costs a call of every relay
	HOLD_SHARE = 12, ///< each one costs a message of every follower
	TOLD_SHARE = 50, ///< a refresh, and a slow answer of the store
	OVERDUE_SHARE = 60, ///< a refresh, a hold, and their flight
	LIMIT_SHARE = 80, ///< an own call was answered or is lost by then
	SEND_SHARE = 50, ///< longer than any wait for a connection
	REFRESH_MIN_MS = 100,
	/// Keys are trusted by the age of the same knowledge, and a failed call
	/// must not end that.
	REFRESH_MAX_MS = 1000,
	HOLD_MAX_MS = 400, ///< a lost question is noticed soon after
};

static int64_t share(int64_t bound_ms, int percent)
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
		.refresh_ms = clamp(share(bound_ms, REFRESH_SHARE),
				    REFRESH_MIN_MS, REFRESH_MAX_MS),
		.hold_ms = clamp(share(bound_ms, HOLD_SHARE), 0, HOLD_MAX_MS),
		.told_ms = share(bound_ms, TOLD_SHARE),
		.overdue_ms = share(bound_ms, OVERDUE_SHARE),
		.limit_ms = share(bound_ms, LIMIT_SHARE),
		.send_ms = share(bound_ms, SEND_SHARE),
	};
}

int64_t site_fresh_until(const struct site_fresh *f, int64_t confirmed_ms,
			 int64_t vain_ms)
{
	return vain_ms > confirmed_ms ? INT64_MAX : confirmed_ms + f->limit_ms;
}

int64_t site_store_back(int64_t own_ms, int64_t relay_ms)
{
	if (!own_ms || !relay_ms)
		return own_ms ? own_ms : relay_ms;
	return own_ms < relay_ms ? own_ms : relay_ms;
}
