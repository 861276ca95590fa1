// Rules on the last outcomes.
#include "site/health.h"

enum {
	LEFT_MS = 1000, ///< until the first probe; doubles each time
	LEFT_DOUBLINGS = 2,
	/// Share of the last outcomes that may be bad: one in so many.
	BAD_SHARE = 3,
	BAD_LEAST = 3, ///< bad outcomes that a share is taken from
	/// A probe whose outcome nobody told is not waited for any longer.
	PROBE_MAX_MS = 5000,
};

static int bad_outcomes(const struct site_health *h)
{
	return __builtin_popcount(h->bad);
}

static void note(struct site_health *h, bool bad)
{
	const uint32_t mask = (1u << SITE_HEALTH_LAST) - 1;

	h->bad = ((h->bad << 1) | bad) & mask;
	if (h->n < SITE_HEALTH_LAST)
		h->n++;
	h->row = bad ? h->row + 1 : 0;
}

static void leave(struct site_health *h, int64_t now)
{
	int shift = h->times < LEFT_DOUBLINGS ? h->times : LEFT_DOUBLINGS;

	h->left_until_ms = now + ((int64_t)LEFT_MS << shift);
	h->times++;
}

/* What it did before still counts after a good one: a server that fails every second
 * request is left at its next failure. */
static void end_probe(struct site_health *h, int64_t now, enum site_outcome how)
{
	h->probe_ms = 0;
	if (how == SITE_CALL_UNKNOWN)
		return;
	note(h, how != SITE_CALL_GOOD);
	if (how == SITE_CALL_GOOD)
		h->left_until_ms = 0;
	else
		leave(h, now);
}

bool site_health_end(struct site_health *h, int64_t now, enum site_outcome how,
		     int row, bool probe)
{
	int bad;

	if (probe && h->left_until_ms) {
		end_probe(h, now, how);
		return false;
	}
	if (how == SITE_CALL_UNKNOWN)
		return false;
	note(h, how != SITE_CALL_GOOD);
	if (how == SITE_CALL_GOOD) {
		h->times -= h->times > 0;
		return false;
	}
	bad = bad_outcomes(h);
	if (h->left_until_ms ||
	    (h->row < row && (bad < BAD_LEAST || bad * BAD_SHARE <= h->n)))
		return false;
	leave(h, now);
	return true;
}

static bool probing(const struct site_health *h, int64_t now)
{
	return h->probe_ms && now - h->probe_ms < PROBE_MAX_MS;
}

bool site_health_left(const struct site_health *h, int64_t now)
{
	return h->left_until_ms && (probing(h, now) || now < h->left_until_ms);
}

bool site_health_begin(struct site_health *h, int64_t now)
{
	if (!h->left_until_ms || probing(h, now) || now < h->left_until_ms)
		return false;
	h->probe_ms = now;
	return true;
}
