// Outlier ejection: after a streak, or by the share of bad outcomes; then probes.
#include "site/health.h"

enum {
	EJECT_MS = 1000, ///< until the first probe; doubles with each ejection
	EJECT_DOUBLINGS = 2,
	/// At most one in this many of the last outcomes may be bad.
	BAD_SHARE = 3,
	BAD_MIN = 3, ///< bad outcomes before the share applies
	/// A probe without an outcome expires after this time.
	PROBE_MAX_MS = 5000,
};

static int count_bad(const struct site_health *h)
{
	return __builtin_popcount(h->bad_bits);
}

static void record_outcome(struct site_health *h, bool bad)
{
	const uint32_t mask = (1u << SITE_HEALTH_WINDOW) - 1;

	h->bad_bits = ((h->bad_bits << 1) | bad) & mask;
	if (h->n_outcomes < SITE_HEALTH_WINDOW)
		h->n_outcomes++;
	h->bad_streak = bad ? h->bad_streak + 1 : 0;
}

static void eject(struct site_health *h, int64_t now)
{
	int shift =
		h->ejections < EJECT_DOUBLINGS ? h->ejections : EJECT_DOUBLINGS;

	h->ejected_until_ms = now + ((int64_t)EJECT_MS << shift);
	h->ejections++;
}

/* A good probe does not clear the record: a server that fails every second request is
 * ejected again at its next failure. */
static void end_probe(struct site_health *h, int64_t now,
		      enum site_outcome outcome)
{
	h->probe_begin_ms = 0;
	if (outcome == SITE_CALL_UNKNOWN)
		return;
	record_outcome(h, outcome != SITE_CALL_GOOD);
	if (outcome == SITE_CALL_GOOD)
		h->ejected_until_ms = 0;
	else
		eject(h, now);
}

bool site_health_end(struct site_health *h, int64_t now,
		     enum site_outcome outcome, int eject_streak, bool probe)
{
	int bad;

	if (probe && h->ejected_until_ms) {
		end_probe(h, now, outcome);
		return false;
	}
	if (outcome == SITE_CALL_UNKNOWN)
		return false;
	record_outcome(h, outcome != SITE_CALL_GOOD);
	if (outcome == SITE_CALL_GOOD) {
		h->ejections -= h->ejections > 0;
		return false;
	}
	bad = count_bad(h);
	if (h->ejected_until_ms ||
	    (h->bad_streak < eject_streak &&
	     (bad < BAD_MIN || bad * BAD_SHARE <= h->n_outcomes)))
		return false;
	eject(h, now);
	return true;
}

static bool probing(const struct site_health *h, int64_t now)
{
	return h->probe_begin_ms && now - h->probe_begin_ms < PROBE_MAX_MS;
}

bool site_health_ejected(const struct site_health *h, int64_t now)
{
	return h->ejected_until_ms &&
	       (probing(h, now) || now < h->ejected_until_ms);
}

bool site_health_begin(struct site_health *h, int64_t now)
{
	if (!h->ejected_until_ms || probing(h, now) ||
	    now < h->ejected_until_ms)
		return false;
	h->probe_begin_ms = now;
	return true;
}
