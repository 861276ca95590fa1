// Sends heartbeats, with the parts of records that changed.
#include <string.h>

#include "state.h"

enum {
	BEAT_ITEMS = 128, ///< parts per message
};

void own_changed(struct member *m, enum rec_part part)
{
	struct rec *self = m->t.recs[SELF];

	self->seq[part]++;
	self->changed[part] = true;
	self->told_by[part] = 0;
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

void need_connection(struct member *m, struct rec *r)
{
	if (r->connected)
		return;
	r->connected = true;
	r->reset_ms = m->now_ms;
	act_connect(m, r->id, r->dial);
}

void beat_send(struct member *m, struct rec *to, const struct wire_item *items,
	       int n)
{
	msgpack_sbuffer buf;

	need_connection(m, to);
	msgpack_sbuffer_init(&buf);
	wire_put_beat(&buf, m->domain, reach_heard(m, to), m->digest, items, n);
	act_send(m, to->id, MEMBER_BEAT, buf.data, buf.size);
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
	act_reset(m, r->id, r->dial);
}

/// Whether to send a part now; only links are sent between heartbeats.
static bool due(const struct rec *r, int part, bool beat)
{
	return r->changed[part] && (beat || part == PART_LINKS);
}

static void beat_one(struct member *m, struct rec *to, bool beat)
{
	struct wire_item items[BEAT_ITEMS];
	int n = 0;

	for (int i = 0; i < m->t.n; i++) {
		struct rec *r = m->t.recs[i];

		for (int k = 0; k < REC_PARTS; k++) {
			if (!due(r, k, beat) || (r->told_by[k] >> to->at & 1))
				continue;
			items[n++] = (struct wire_item){(enum rec_part)k,
							r->seq[k], r};
			if (n < BEAT_ITEMS)
				continue;
			beat_send(m, to, items, n);
			n = 0;
		}
	}
	if (n || beat)
		beat_send(m, to, items, n);
}

static void told(struct member *m, bool beat)
{
	for (int i = 0; i < m->t.n; i++) {
		for (int k = 0; k < REC_PARTS; k++) {
			if (due(m->t.recs[i], k, beat))
				m->t.recs[i]->changed[k] = false;
		}
	}
}

static bool any_due(const struct member *m)
{
	for (int i = 0; i < m->t.n; i++) {
		if (m->t.recs[i]->changed[PART_LINKS])
			return true;
	}
	return false;
}

void beat_neighbours(struct member *m, bool beat)
{
	if (!beat && !any_due(m))
		return;
	for (int i = 1; i < m->t.n; i++) {
		struct rec *r = m->t.recs[i];

		if (!r->neighbour || r->left)
			continue;
		if (beat)
			reset_if_silent(m, r);
		beat_one(m, r, beat);
	}
	told(m, beat);
}

static bool probed(const struct rec *r)
{
	return r->state != MEMBER_ALIVE && !r->left && r->dial[0];
}

void beat_probe(struct member *m, int count)
{
	struct wire_item own[REC_PARTS];
	int n = own_items(m, own);
	int first = (int)rng_below(&m->rng, (uint64_t)m->t.n);

	for (int k = 0; k < m->t.n && count > 0; k++) {
		int i = (first + k) % m->t.n;
		struct rec *r = m->t.recs[i];

		if (i == SELF || !probed(r))
			continue;
		reset_if_silent(m, r);
		beat_send(m, r, own, n);
		count--;
	}
}
