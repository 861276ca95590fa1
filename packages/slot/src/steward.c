// Grants the slots of one backend server.
#include "slot/steward.h"

#include <string.h>

enum {
	STEWARD_TURN_MS = SLOT_REFRESH_MS,
	STEWARD_JOIN_MS = 2 * SLOT_LIFETIME_MS,
	STEWARD_PAUSE_MS = 500, ///< shorter than the time to be thought dead
};

static int max_int(int a, int b)
{
	return a > b ? a : b;
}

static int min_int(int a, int b)
{
	return a < b ? a : b;
}

void slot_steward_quorum(struct slot_steward *s, int64_t now, int heard,
			 int listed)
{
	s->listed = max_int(heard, listed);
	if (heard <= s->heard || s->heard == 0) {
		s->heard = heard;
		s->more = 0;
	} else if (s->more == 0) {
		s->more = heard;
		s->more_ms = now;
	} else {
		s->more = min_int(s->more, heard);
	}
	if (s->more > 0 && now - s->more_ms >= STEWARD_JOIN_MS) {
		s->heard = s->more;
		s->more = 0;
	}
}

void slot_steward_init(struct slot_steward *s,
		       const struct slot_steward_opts *opts, int64_t now)
{
	memset(s, 0, sizeof(*s));
	s->o = *opts;
	slot_limit_init(&s->limit, &opts->limit);
	s->since_ms = now;
	s->seen_ms = now;
	s->listed = 1;
}

void slot_steward_tick(struct slot_steward *s, int64_t now)
{
	int64_t granting = s->since_ms + SLOT_LIFETIME_MS;

	if (now - s->seen_ms > STEWARD_PAUSE_MS) {
		s->since_ms = now;
		s->settled = false;
	} else if (now >= granting + (s->o.reports ? s->o.drain_ms : 0)) {
		s->settled = true;
		s->foreign = 0;
	}
	s->seen_ms = now;
}

bool slot_steward_grants(const struct slot_steward *s, int64_t now)
{
	if (now < s->since_ms + SLOT_LIFETIME_MS)
		return false;
	return s->settled || !s->o.reports;
}

void slot_steward_close(struct slot_steward *s, bool closed)
{
	s->closed = closed;
}

/* Slots of the heard part of the failure domain: a majority rounds up, so
 * that parts that don't hear each other never sum to more than the limit. */
static int steward_total(const struct slot_steward *s)
{
	int limit = slot_limit_get(&s->limit);
	int share = limit * s->heard;

	if (2 * s->heard > s->listed)
		share += s->listed - 1;
	return share / s->listed - s->foreign;
}

/* What a node may have in use at a time. */
static int grant_charge(const struct slot_grant *g, int64_t now)
{
	int charge;

	if (g->node == 0)
		return 0;
	/* Until its next ask tells, a node may have used any of these. */
	charge = max_int(g->slots, g->older);
	/* Running requests outlive the permit under which they began. */
	if (now < g->drained_ms)
		charge = max_int(charge, g->in_use);
	return charge;
}

int slot_steward_charged(const struct slot_steward *s, int64_t now)
{
	int sum = 0;

	for (int i = 0; i < SLOT_NODES; i++)
		sum += grant_charge(&s->grants[i], now);
	return sum;
}

/* Once a grant that was not renewed ran out, the node may have had all of it
 * in use, and for as long as its requests take. */
static void grant_lapse(struct slot_grant *g, int64_t now)
{
	int most = max_int(g->slots, g->older);

	if (g->node == 0 || now < g->until_ms || now < g->older_until_ms)
		return;
	if (g->slots == 0 && g->older == 0) {
		if (now >= g->drained_ms)
			g->node = 0;
		return;
	}
	g->in_use = max_int(g->in_use, most);
	g->drained_ms = g->until_ms + g->drain_ms;
	g->slots = 0;
	g->older = 0;
}

/* What a node surely had running at a time between two of its asks. */
static int grant_ran(const struct slot_grant *g, int64_t at)
{
	if (g->node == 0 || g->asked_before_ms > at || g->asked_ms < at)
		return 0;
	return min_int(g->in_use_before, g->in_use);
}

/* While settling: what the server runs beyond what the askers told is due to
 * nodes that this steward doesn't know; it can only become less. */
static void steward_settle(struct slot_steward *s, const struct slot_report *r,
			   int known)
{
	int foreign = max_int(0, r->running - known);

	if (r->as_of_ms < s->since_ms + SLOT_LIFETIME_MS)
		return;
	if (!s->settled || foreign < s->foreign)
		s->foreign = foreign;
	s->settled = true;
}

void slot_steward_report(struct slot_steward *s, const struct slot_report *r)
{
	int known = 0;

	slot_limit_report(&s->limit, r);
	for (int i = 0; i < SLOT_NODES; i++) {
		struct slot_grant *g = &s->grants[i];

		/* Nothing began after a lapse: what runs then bounds it. */
		grant_lapse(g, r->as_of_ms);
		if (g->node && g->slots == 0 && g->older == 0 &&
		    g->until_ms < r->as_of_ms && g->asked_ms < r->as_of_ms)
			g->in_use = min_int(g->in_use, r->running);
		known += grant_ran(g, r->as_of_ms);
	}
	steward_settle(s, r, known);
}

static struct slot_grant *steward_grant(struct slot_steward *s, uint64_t node,
					int64_t now)
{
	struct slot_grant *unused = NULL;

	for (int i = 0; i < SLOT_NODES; i++) {
		grant_lapse(&s->grants[i], now);
		if (s->grants[i].node == node)
			return &s->grants[i];
		if (!unused && s->grants[i].node == 0)
			unused = &s->grants[i];
	}
	if (unused)
		*unused = (struct slot_grant){.node = node};
	return unused;
}

static bool grant_wants(const struct slot_grant *g, int64_t now)
{
	return g->node && g->want > 0 && now - g->asked_ms < SLOT_LIFETIME_MS;
}

/* Order in which nodes get what doesn't divide evenly: who holds some keeps it
 * for a turn, then whose last hold is the longest ago. */
static int64_t grant_order(const struct slot_grant *g, int64_t now)
{
	if (g->slots > 0 && now - g->held_ms < STEWARD_TURN_MS)
		return INT64_MIN;
	return g->held_ms;
}

static bool grant_before(const struct slot_grant *a, const struct slot_grant *b,
			 int64_t now)
{
	int64_t x = grant_order(a, now);
	int64_t y = grant_order(b, now);

	return x != y ? x < y : a < b;
}

/* A node's fair part of the slots: all that no one else wants, else an equal
 * part, what doesn't divide going round. */
static int steward_part(const struct slot_steward *s,
			const struct slot_grant *g, int total, int64_t now)
{
	int asking = 0;
	int place = 0;
	int others = 0;

	for (int i = 0; i < SLOT_NODES; i++) {
		const struct slot_grant *o = &s->grants[i];

		if (!grant_wants(o, now))
			continue;
		place += o != g && grant_before(o, g, now);
		asking++;
		others += o == g ? 0 : o->want;
	}
	if (others + g->want <= total || asking <= 1)
		return total;
	return total / asking + (place < total % asking);
}

static int steward_slots(struct slot_steward *s, struct slot_grant *g,
			 int64_t now)
{
	int total = steward_total(s);
	int others = slot_steward_charged(s, now) - grant_charge(g, now);
	int slots = min_int(g->want, total - others);

	if (s->closed || !s->settled || now - s->since_ms < SLOT_LIFETIME_MS)
		return 0;
	slots = min_int(slots, steward_part(s, g, total, now));
	return max_int(slots, 0);
}

/* The new answer may be lost: what the node goes by now may still be used, and
 * that is the last grant, or any before if it didn't get that. */
static void grant_set(struct slot_grant *g, int slots, bool got_last,
		      int64_t now)
{
	if (got_last || now >= g->older_until_ms)
		g->older = 0;
	if (now < g->until_ms) {
		g->older = max_int(g->older, g->slots);
		g->older_until_ms = g->until_ms;
	}
	if (slots > 0 && g->slots == 0)
		g->held_ms = now;
	g->slots = slots;
	g->until_ms = now + SLOT_LIFETIME_MS;
}

bool slot_steward_ask(struct slot_steward *s, int64_t now, uint64_t node,
		      const struct slot_ask *ask, struct slot_permit *permit)
{
	struct slot_grant *g;
	bool got_last;

	/* The ask may have waited while this process was paused. */
	slot_steward_tick(s, now);
	g = steward_grant(s, node, now);
	if (!g || (g->seq != 0 && ask->seq <= g->seq))
		return false;
	got_last = g->seq != 0 && ask->acked == g->seq;
	g->seq = ask->seq;
	g->in_use_before = g->in_use;
	g->asked_before_ms = g->asked_ms;
	g->in_use = ask->in_use;
	g->drain_ms = ask->drain_ms;
	g->drained_ms = now + ask->drain_ms;
	g->want = max_int(ask->want, ask->in_use);
	g->asked_ms = now;
	/* A new steward goes on from what the former one told. */
	if (ask->known > 0 && now - s->since_ms < SLOT_LIFETIME_MS &&
	    ask->known > s->limit.now)
		s->limit.now = min_int(ask->known, s->limit.o.max);
	slot_limit_sample(&s->limit, now, &ask->sample,
			  slot_steward_charged(s, now));
	grant_set(g, steward_slots(s, g, now), got_last, now);
	*permit = (struct slot_permit){
		.seq = ask->seq,
		.slots = (uint16_t)g->slots,
		.limit = (uint16_t)s->limit.now,
	};
	return true;
}
