// Coordinator of the slots of one backend server.
#include "slot/coordinator.h"

#include <string.h>

enum {
	REMAINDER_HOLD_MS = SLOT_RENEW_MS,
	REJOIN_DELAY_MS = 2 * SLOT_PERMIT_TTL_MS,
	PAUSE_MAX_MS = 500, ///< less than the time to be declared dead
};

static int max_int(int a, int b)
{
	return a > b ? a : b;
}

static int min_int(int a, int b)
{
	return a < b ? a : b;
}

void slot_coordinator_set_reachable(struct slot_coordinator *s, int64_t now,
				    int heard, int listed)
{
	s->listed = max_int(heard, listed);
	if (heard <= s->heard || s->heard == 0) {
		s->heard = heard;
		s->pending_heard = 0;
	} else if (s->pending_heard == 0) {
		s->pending_heard = heard;
		s->pending_since_ms = now;
	} else {
		s->pending_heard = min_int(s->pending_heard, heard);
	}
	if (s->pending_heard > 0 &&
	    now - s->pending_since_ms >= REJOIN_DELAY_MS) {
		s->heard = s->pending_heard;
		s->pending_heard = 0;
	}
}

void slot_coordinator_init(struct slot_coordinator *s,
			   const struct slot_coordinator_opts *opts,
			   int64_t now)
{
	memset(s, 0, sizeof(*s));
	s->o = *opts;
	slot_limit_init(&s->limit, &opts->limit);
	s->started_ms = now;
	s->last_tick_ms = now;
	s->listed = 1;
}

void slot_coordinator_tick(struct slot_coordinator *s, int64_t now)
{
	int64_t grants_from = s->started_ms + SLOT_PERMIT_TTL_MS;

	if (now - s->last_tick_ms > PAUSE_MAX_MS) {
		s->started_ms = now;
		s->prior_load_known = false;
	} else if (now >= grants_from + (s->o.reports ? s->o.drain_ms : 0)) {
		s->prior_load_known = true;
		s->prior_load = 0;
	}
	s->last_tick_ms = now;
}

bool slot_coordinator_ready(const struct slot_coordinator *s, int64_t now)
{
	if (now < s->started_ms + SLOT_PERMIT_TTL_MS)
		return false;
	return s->prior_load_known || !s->o.reports;
}

void slot_coordinator_close(struct slot_coordinator *s, bool closed)
{
	s->closed = closed;
}

/* Slots of the reachable part of the failure domain. Only a majority rounds up,
 * so that partitions never sum to more than the limit. */
static int domain_slots(const struct slot_coordinator *s)
{
	int limit = slot_limit_get(&s->limit);
	int share = limit * s->heard;

	if (2 * s->heard > s->listed)
		share += s->listed - 1;
	return share / s->listed - s->prior_load;
}

/* Slots that a node may have in use. */
static int grant_committed(const struct slot_grant *g, int64_t now)
{
	int committed;

	if (g->node == 0)
		return 0;
	/* Until its next request, the node may use any of these. */
	committed = max_int(g->slots, g->earlier_slots);
	/* Running requests outlive the permit under which they started. */
	if (now < g->drained_by_ms)
		committed = max_int(committed, g->in_use);
	return committed;
}

int slot_coordinator_committed(const struct slot_coordinator *s, int64_t now)
{
	int sum = 0;

	for (int i = 0; i < SLOT_MAX_NODES; i++)
		sum += grant_committed(&s->grants[i], now);
	return sum;
}

/* After expiry, requests on all of a grant's slots may run for drain_ms. */
static void grant_expire(struct slot_grant *g, int64_t now)
{
	int granted = max_int(g->slots, g->earlier_slots);

	if (g->node == 0 || now < g->expires_ms || now < g->earlier_expires_ms)
		return;
	if (g->slots == 0 && g->earlier_slots == 0) {
		if (now >= g->drained_by_ms)
			g->node = 0;
		return;
	}
	g->in_use = max_int(g->in_use, granted);
	g->drained_by_ms = g->expires_ms + g->drain_ms;
	g->slots = 0;
	g->earlier_slots = 0;
}

/* Requests that a node had running for certain at a time between its last two
 * messages. */
static int grant_running_at(const struct slot_grant *g, int64_t time_ms)
{
	if (g->node == 0 || g->prev_requested_ms > time_ms ||
	    g->requested_ms < time_ms)
		return 0;
	return min_int(g->prev_in_use, g->in_use);
}

/* Requests on the server beyond those of known nodes are from unknown nodes;
 * their number can only decrease. */
static void set_prior_load(struct slot_coordinator *s,
			   const struct slot_report *r, int known)
{
	int unknown = max_int(0, r->running - known);

	if (r->as_of_ms < s->started_ms + SLOT_PERMIT_TTL_MS)
		return;
	if (!s->prior_load_known || unknown < s->prior_load)
		s->prior_load = unknown;
	s->prior_load_known = true;
}

void slot_coordinator_report(struct slot_coordinator *s,
			     const struct slot_report *r)
{
	int known = 0;

	slot_limit_report(&s->limit, r);
	for (int i = 0; i < SLOT_MAX_NODES; i++) {
		struct slot_grant *g = &s->grants[i];

		/* Nothing starts after expiry: the report bounds it. */
		grant_expire(g, r->as_of_ms);
		if (g->node && g->slots == 0 && g->earlier_slots == 0 &&
		    g->expires_ms < r->as_of_ms &&
		    g->requested_ms < r->as_of_ms)
			g->in_use = min_int(g->in_use, r->running);
		known += grant_running_at(g, r->as_of_ms);
	}
	set_prior_load(s, r, known);
}

static struct slot_grant *find_grant(struct slot_coordinator *s, uint64_t node,
				     int64_t now)
{
	struct slot_grant *unused = NULL;

	for (int i = 0; i < SLOT_MAX_NODES; i++) {
		grant_expire(&s->grants[i], now);
		if (s->grants[i].node == node)
			return &s->grants[i];
		if (!unused && s->grants[i].node == 0)
			unused = &s->grants[i];
	}
	if (unused)
		*unused = (struct slot_grant){.node = node};
	return unused;
}

static bool grant_active(const struct slot_grant *g, int64_t now)
{
	return g->node && g->want > 0 &&
	       now - g->requested_ms < SLOT_PERMIT_TTL_MS;
}

/* Order in which nodes get the remainder of an even division: a node keeps slots
 * for REMAINDER_HOLD_MS; then the one that got slots longest ago is first. */
static int64_t grant_sort_key(const struct slot_grant *g, int64_t now)
{
	if (g->slots > 0 && now - g->holding_since_ms < REMAINDER_HOLD_MS)
		return INT64_MIN;
	return g->holding_since_ms;
}

static bool grant_before(const struct slot_grant *a, const struct slot_grant *b,
			 int64_t now)
{
	int64_t x = grant_sort_key(a, now);
	int64_t y = grant_sort_key(b, now);

	return x != y ? x < y : a < b;
}

/* A node's fair share: all slots if they cover all wants, else an equal share,
 * the remainder rotating. */
static int fair_share(const struct slot_coordinator *s,
		      const struct slot_grant *g, int total, int64_t now)
{
	int n_active = 0;
	int position = 0;
	int others = 0;

	for (int i = 0; i < SLOT_MAX_NODES; i++) {
		const struct slot_grant *o = &s->grants[i];

		if (!grant_active(o, now))
			continue;
		position += o != g && grant_before(o, g, now);
		n_active++;
		others += o == g ? 0 : o->want;
	}
	if (others + g->want <= total || n_active <= 1)
		return total;
	return total / n_active + (position < total % n_active);
}

static int grantable_slots(struct slot_coordinator *s, struct slot_grant *g,
			   int64_t now)
{
	int total = domain_slots(s);
	int others =
		slot_coordinator_committed(s, now) - grant_committed(g, now);
	int slots = min_int(g->want, total - others);

	if (s->closed || !s->prior_load_known ||
	    now - s->started_ms < SLOT_PERMIT_TTL_MS)
		return 0;
	slots = min_int(slots, fair_share(s, g, total, now));
	return max_int(slots, 0);
}

/* Renews a grant. The new permit may be lost: the node may still use the last
 * one, or any earlier one if it didn't receive that. */
static void grant_renew(struct slot_grant *g, int slots, bool got_last,
			int64_t now)
{
	if (got_last || now >= g->earlier_expires_ms)
		g->earlier_slots = 0;
	if (now < g->expires_ms) {
		g->earlier_slots = max_int(g->earlier_slots, g->slots);
		g->earlier_expires_ms = g->expires_ms;
	}
	if (slots > 0 && g->slots == 0)
		g->holding_since_ms = now;
	g->slots = slots;
	g->expires_ms = now + SLOT_PERMIT_TTL_MS;
}

bool slot_coordinator_request(struct slot_coordinator *s, int64_t now,
			      uint64_t node, const struct slot_request *req,
			      struct slot_permit *permit)
{
	struct slot_grant *g;
	bool got_last;

	/* The request may have waited while this process was paused. */
	slot_coordinator_tick(s, now);
	g = find_grant(s, node, now);
	if (!g || (g->seq != 0 && req->seq <= g->seq))
		return false;
	got_last = g->seq != 0 && req->acked == g->seq;
	g->seq = req->seq;
	g->prev_in_use = g->in_use;
	g->prev_requested_ms = g->requested_ms;
	g->in_use = req->in_use;
	g->drain_ms = req->drain_ms;
	g->drained_by_ms = now + req->drain_ms;
	g->want = max_int(req->want, req->in_use);
	g->requested_ms = now;
	/* A new coordinator continues with the former one's limit. */
	if (req->known > 0 && now - s->started_ms < SLOT_PERMIT_TTL_MS &&
	    req->known > s->limit.adaptive_slots)
		s->limit.adaptive_slots = min_int(req->known, s->limit.o.max);
	slot_limit_sample(&s->limit, now, &req->sample,
			  slot_coordinator_committed(s, now));
	grant_renew(g, grantable_slots(s, g, now), got_last, now);
	*permit = (struct slot_permit){
		.seq = req->seq,
		.slots = (uint16_t)g->slots,
		.limit = (uint16_t)s->limit.adaptive_slots,
	};
	return true;
}
