// Sends heartbeats, with the parts of records that changed.
#include <string.h>

#include "state.h"

enum {
	ITEMS_MAX = 128, ///< parts per message
};

void own_part_changed(struct member *m, enum rec_part part)
{
	struct rec *self = m->t.recs[SELF];

	self->seq[part]++;
	self->changed[part] = true;
	self->known_to[part] = 0;
	m->dirty = true;
}

int own_items(const struct member *m, struct wire_item *out)
{
	struct rec *self = m->t.recs[SELF];
	int n = 0;

	for (int k = 0; k < REC_PARTS; k++) {
		if (self->seq[k])
			out[n++] = (struct wire_item){(enum rec_part)k,
						      self->seq[k], self};
	}
	return n;
}

void ensure_connection(struct member *m, struct rec *r)
{
	if (r->connected)
		return;
	r->connected = true;
	r->reset_ms = m->now_ms;
	action_connect(m, r->id, r->dial_addr);
}

void heartbeat_send(struct member *m, struct rec *to,
		    const struct wire_item *items, int n)
{
	msgpack_sbuffer buf;

	ensure_connection(m, to);
	msgpack_sbuffer_init(&buf);
	wire_put_heartbeat(&buf, m->domain, reach_heard(m, to), m->digest,
			   items, n);
	action_send(m, to->id, MEMBER_HEARTBEAT, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/// Replace a silent connection: it may be dead at one end.
static void reset_if_silent(struct member *m, struct rec *r)
{
	int64_t heard =
		r->heard_ms < r->heard_us_ms ? r->heard_ms : r->heard_us_ms;
	int64_t since = heard > r->reset_ms ? heard : r->reset_ms;

	if (!r->connected || m->now_ms - since <= m->opts.silence_ms)
		return;
	r->reset_ms = m->now_ms;
	action_reset(m, r->id, r->dial_addr);
}

/// Whether to send a part now; only links are sent between heartbeats.
static bool should_send(const struct rec *r, int part, bool heartbeat)
{
	return r->changed[part] && (heartbeat || part == PART_LINKS);
}

static void heartbeat_one(struct member *m, struct rec *to, bool heartbeat)
{
	struct wire_item items[ITEMS_MAX];
	int n = 0;

	for (int i = 0; i < m->t.n; i++) {
		struct rec *r = m->t.recs[i];

		for (int k = 0; k < REC_PARTS; k++) {
			if (!should_send(r, k, heartbeat) ||
			    (r->known_to[k] >> to->neighbour_bit & 1))
				continue;
			items[n++] = (struct wire_item){(enum rec_part)k,
							r->seq[k], r};
			if (n < ITEMS_MAX)
				continue;
			heartbeat_send(m, to, items, n);
			n = 0;
		}
	}
	if (n || heartbeat)
		heartbeat_send(m, to, items, n);
}

static void clear_changed(struct member *m, bool heartbeat)
{
	for (int i = 0; i < m->t.n; i++) {
		for (int k = 0; k < REC_PARTS; k++) {
			if (should_send(m->t.recs[i], k, heartbeat))
				m->t.recs[i]->changed[k] = false;
		}
	}
}

static bool links_changed(const struct member *m)
{
	for (int i = 0; i < m->t.n; i++) {
		if (m->t.recs[i]->changed[PART_LINKS])
			return true;
	}
	return false;
}

void heartbeat_neighbours(struct member *m, bool heartbeat)
{
	if (!heartbeat && !links_changed(m))
		return;
	for (int i = 1; i < m->t.n; i++) {
		struct rec *r = m->t.recs[i];

		if (!r->neighbour || r->left)
			continue;
		if (heartbeat)
			reset_if_silent(m, r);
		heartbeat_one(m, r, heartbeat);
	}
	clear_changed(m, heartbeat);
}

static bool needs_probe(const struct rec *r)
{
	return r->state != MEMBER_ALIVE && !r->left && r->dial_addr[0];
}

void heartbeat_probe(struct member *m, int count)
{
	struct wire_item own[REC_PARTS];
	int n = own_items(m, own);
	int first = (int)rng_below(&m->rng, (uint64_t)m->t.n);

	for (int k = 0; k < m->t.n && count > 0; k++) {
		int i = (first + k) % m->t.n;
		struct rec *r = m->t.recs[i];

		if (i == SELF || !needs_probe(r))
			continue;
		reset_if_silent(m, r);
		heartbeat_send(m, r, own, n);
		count--;
	}
}
