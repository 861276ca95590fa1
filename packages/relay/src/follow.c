// Selection of a relay by rendezvous hash; a failed one is avoided for a while.
#include "relay/follow.h"

#include <string.h>

#include "base/rng.h"

enum {
	/// A relay holds a request for part of it; the remainder is the round trip.
	FOLLOW_LATE_MS = 600,
	FOLLOW_CONNECT_MS = 150, ///< some round trips between failure domains
	FOLLOW_STRIKES = 2, ///< then a relay is avoided
	FOLLOW_STALE_MS = 300, ///< for a relay whose data is too old
	FOLLOW_AVOID_MS = 2500, ///< for a relay that failed
};

static struct follow_relay *find(struct follow *f, const char *node)
{
	for (int i = 0; i < f->n; i++) {
		if (strcmp(f->relays[i].node, node) == 0)
			return &f->relays[i];
	}
	return NULL;
}

void follow_add(struct follow *f, int64_t now, const char *node,
		const char *addr, bool near)
{
	struct follow_relay *r = find(f, node);

	if (!r && f->n < FOLLOW_RELAYS) {
		r = &f->relays[f->n++];
		memset(r, 0, sizeof(*r));
		strncpy(r->node, node, FOLLOW_NODE - 1);
	}
	if (!r)
		return;
	if (strcmp(r->addr, addr) != 0)
		r->avoid_until_ms = now + FOLLOW_CONNECT_MS;
	strncpy(r->addr, addr, FOLLOW_NODE - 1);
	r->near = near;
}

static void leave(struct follow *f)
{
	f->current[0] = '\0';
	f->strikes = 0;
	f->asked_ms = 0;
}

void follow_del(struct follow *f, const char *node)
{
	struct follow_relay *r = find(f, node);

	if (!r)
		return;
	if (strcmp(f->current, node) == 0)
		leave(f);
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
static bool better(const struct follow *f, const struct follow_relay *a,
		   const struct follow_relay *b)
{
	if (a->near != b->near)
		return a->near;
	return score(f, a) > score(f, b);
}

/* No other relay is selected while the current one is being reconnected. */
static bool reconnecting(const struct follow *f, const struct follow_relay *r,
			 int64_t now)
{
	return f->strikes && strcmp(r->node, f->current) == 0 &&
	       now < r->avoid_until_ms;
}

static struct follow_relay *best(struct follow *f, int64_t now)
{
	struct follow_relay *b = NULL;

	for (int i = 0; i < f->n; i++) {
		if (reconnecting(f, &f->relays[i], now))
			return NULL;
	}

	for (int i = 0; i < f->n; i++) {
		struct follow_relay *r = &f->relays[i];

		if (now >= r->avoid_until_ms && (!b || better(f, r, b)))
			b = r;
	}
	return b;
}

const struct follow_relay *follow_next(struct follow *f, int64_t now)
{
	struct follow_relay *r;

	if (f->asked_ms)
		return NULL;
	r = best(f, now);
	if (!r)
		return NULL;
	if (strcmp(f->current, r->node) != 0)
		f->strikes = 0;
	strcpy(f->current, r->node);
	return r;
}

void follow_asked(struct follow *f, int64_t now)
{
	f->asked_ms = now;
	f->seq++;
}

bool follow_answered(struct follow *f, uint64_t seq, int64_t *asked_ms)
{
	if (!f->asked_ms || seq != f->seq)
		return false;
	*asked_ms = f->asked_ms;
	f->asked_ms = 0;
	f->strikes = 0;
	return true;
}

void follow_lost(struct follow *f, int64_t now)
{
	struct follow_relay *r = find(f, f->current);

	f->asked_ms = 0;
	if (++f->strikes >= FOLLOW_STRIKES || !r)
		follow_failed(f, now);
	else
		r->avoid_until_ms = now + FOLLOW_CONNECT_MS;
}

static void avoid_current(struct follow *f, int64_t until_ms)
{
	struct follow_relay *r = find(f, f->current);

	if (r)
		r->avoid_until_ms = until_ms;
	leave(f);
}

void follow_failed(struct follow *f, int64_t now)
{
	avoid_current(f, now + FOLLOW_AVOID_MS);
}

void follow_stale(struct follow *f, int64_t now)
{
	avoid_current(f, now + FOLLOW_STALE_MS);
}

bool follow_late(const struct follow *f, int64_t now)
{
	return f->asked_ms && now - f->asked_ms >= FOLLOW_LATE_MS;
}

bool follow_possible(const struct follow *f, int64_t now)
{
	for (int i = 0; i < f->n; i++) {
		if (now >= f->relays[i].avoid_until_ms)
			return true;
	}
	return false;
}
