// Selection of a relay by rendezvous hash; a failed one is avoided for a while.
#include "relay/follow.h"

#include <string.h>

#include "base/rng.h"

enum {
	/// A relay holds a request for part of it; the remainder is the round trip.
	FOLLOW_TIMEOUT_MS = 600,
	/// Some round trips between failure domains.
	FOLLOW_CONNECT_DELAY_MS = 150,
	FOLLOW_TIMEOUTS_MAX = 2, ///< then a relay is avoided
	FOLLOW_AVOID_STALE_MS = 300, ///< for a relay whose data is too old
	FOLLOW_AVOID_FAILED_MS = 2500, ///< for a relay that failed
};

static struct follow_relay *find(struct follow *f, const char *node)
{
	for (int i = 0; i < f->n; i++) {
		if (strcmp(f->relays[i].node, node) == 0)
			return &f->relays[i];
	}
	return NULL;
}

bool follow_add(struct follow *f, int64_t now, const char *node,
		const char *addr, bool same_domain)
{
	struct follow_relay *r = find(f, node);

	if (!r && f->n < FOLLOW_RELAYS_MAX) {
		r = &f->relays[f->n++];
		memset(r, 0, sizeof(*r));
		strncpy(r->node, node, FOLLOW_ID_MAX - 1);
	}
	if (!r)
		return false;
	if (strcmp(r->addr, addr) != 0)
		r->avoid_until_ms = now + FOLLOW_CONNECT_DELAY_MS;
	strncpy(r->addr, addr, FOLLOW_ID_MAX - 1);
	r->same_domain = same_domain;
	return true;
}

static void clear_current(struct follow *f)
{
	f->current[0] = '\0';
	f->timeouts = 0;
	f->sent_ms = 0;
}

void follow_del(struct follow *f, const char *node)
{
	struct follow_relay *r = find(f, node);

	if (!r)
		return;
	if (strcmp(f->current, node) == 0)
		clear_current(f);
	*r = f->relays[--f->n];
}

static uint64_t score(const struct follow *f, const struct follow_relay *r)
{
	struct rng rng = {f->salt};

	for (const char *p = r->node; *p; p++)
		rng.state = rng_next(&rng) ^ (uint64_t)*p;
	return rng_next(&rng);
}

/* Own failure domain first, then by hash. */
static bool is_better(const struct follow *f, const struct follow_relay *a,
		      const struct follow_relay *b)
{
	if (a->same_domain != b->same_domain)
		return a->same_domain;
	return score(f, a) > score(f, b);
}

/* No other relay is selected while the current one is being reconnected. */
static bool reconnecting(const struct follow *f, const struct follow_relay *r,
			 int64_t now)
{
	return f->timeouts && strcmp(r->node, f->current) == 0 &&
	       now < r->avoid_until_ms;
}

static struct follow_relay *best_relay(struct follow *f, int64_t now)
{
	struct follow_relay *b = NULL;

	for (int i = 0; i < f->n; i++) {
		if (reconnecting(f, &f->relays[i], now))
			return NULL;
	}

	for (int i = 0; i < f->n; i++) {
		struct follow_relay *r = &f->relays[i];

		if (now >= r->avoid_until_ms && (!b || is_better(f, r, b)))
			b = r;
	}
	return b;
}

const struct follow_relay *follow_select(struct follow *f, int64_t now)
{
	struct follow_relay *r;

	if (f->sent_ms)
		return NULL;
	r = best_relay(f, now);
	if (!r)
		return NULL;
	if (strcmp(f->current, r->node) != 0)
		f->timeouts = 0;
	strcpy(f->current, r->node);
	return r;
}

void follow_request_sent(struct follow *f, int64_t now)
{
	f->sent_ms = now;
	f->seq++;
}

bool follow_response(struct follow *f, uint64_t seq, int64_t *sent_ms)
{
	if (!f->sent_ms || seq != f->seq)
		return false;
	*sent_ms = f->sent_ms;
	f->sent_ms = 0;
	f->timeouts = 0;
	return true;
}

void follow_timed_out(struct follow *f, int64_t now)
{
	struct follow_relay *r = find(f, f->current);

	f->sent_ms = 0;
	if (++f->timeouts >= FOLLOW_TIMEOUTS_MAX || !r)
		follow_unreachable(f, now);
	else
		r->avoid_until_ms = now + FOLLOW_CONNECT_DELAY_MS;
}

static void avoid_current_relay(struct follow *f, int64_t until_ms)
{
	struct follow_relay *r = find(f, f->current);

	if (r)
		r->avoid_until_ms = until_ms;
	clear_current(f);
}

void follow_unreachable(struct follow *f, int64_t now)
{
	avoid_current_relay(f, now + FOLLOW_AVOID_FAILED_MS);
}

void follow_stale(struct follow *f, int64_t now)
{
	avoid_current_relay(f, now + FOLLOW_AVOID_STALE_MS);
}

bool follow_is_timed_out(const struct follow *f, int64_t now)
{
	return f->sent_ms && now - f->sent_ms >= FOLLOW_TIMEOUT_MS;
}

bool follow_available(const struct follow *f, int64_t now)
{
	for (int i = 0; i < f->n; i++) {
		if (now >= f->relays[i].avoid_until_ms)
			return true;
	}
	return false;
}
