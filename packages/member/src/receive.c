// Processes received heartbeats: parts of records, links, digests.
#include <string.h>

#include "state.h"

enum {
	/// Minimum interval of replies to one node outside the heartbeats.
	REPLY_INTERVAL_MS = 100,
	/// Consecutive heartbeats with another digest before versions are sent.
	DIGEST_MISMATCHES = 2,
};

bool reply_allowed(struct member *m, struct rec *r)
{
	if (!r->dial_addr[0] ||
	    m->now_ms - r->last_reply_ms < REPLY_INTERVAL_MS)
		return false;
	r->last_reply_ms = m->now_ms;
	return true;
}

/// Another node has a newer version of the own record: exceed it.
static void supersede_own(struct member *m, const struct wire_item *it)
{
	struct rec *self = m->t.recs[SELF];

	if (it->rec->inc == self->inc && it->seq > self->seq[it->part]) {
		self->seq[it->part] = it->seq;
		own_part_changed(m, it->part);
	}
	if (it->rec->inc <= self->inc)
		return;
	self->inc = it->rec->inc + 1;
	for (int k = 0; k < REC_PARTS; k++) {
		if (self->seq[k])
			own_part_changed(m, (enum rec_part)k);
	}
}

/// Record that an item belongs to; an item with links may add it.
static struct rec *item_rec(struct member *m, const struct wire_item *it)
{
	int i = rec_find_hash(&m->t, it->rec->hash);

	if (i == REC_NONE && it->part == PART_LINKS)
		i = rec_add(&m->t, it->rec->id, m->now_ms);
	if (i == REC_NONE || (it->part == PART_LINKS &&
			      strcmp(m->t.recs[i]->id, it->rec->id) != 0))
		return NULL;
	return m->t.recs[i];
}

static void receive_item(struct member *m, struct wire_item *it,
			 uint32_t sender_bit)
{
	struct rec *dst;

	if (it->rec->hash == m->t.recs[SELF]->hash) {
		supersede_own(m, it);
		return;
	}
	dst = item_rec(m, it);
	if (!dst)
		return;
	if (rec_merge(dst, it->rec, it->part, it->seq)) {
		dst->changed[it->part] = true;
		dst->known_to[it->part] = sender_bit;
		m->dirty = true;
	} else if (dst->inc == it->rec->inc && dst->seq[it->part] == it->seq) {
		dst->known_to[it->part] |= sender_bit;
	}
}

static void compare_digest(struct member *m, struct rec *r, uint64_t digest)
{
	bool single = m->n_domains == 0 || m->domains[0].alive <= 1;

	if (digest == m->digest) {
		r->mismatches = 0;
		return;
	}
	r->mismatches++;
	if ((single || r->mismatches >= DIGEST_MISMATCHES) &&
	    reply_allowed(m, r)) {
		r->mismatches = 0;
		versions_send(m, r);
	}
}

static void mark_heard(struct member *m, struct rec *r, bool hears_us)
{
	bool was = reach_heard(m, r);

	r->heard_ms = m->now_ms;
	if (hears_us)
		r->heard_us_ms = m->now_ms;
	if (!was && reach_update_links(m))
		own_part_changed(m, PART_LINKS);
}

static void receive_sender(struct member *m, struct rec *r,
			   const struct wire_heartbeat *b)
{
	struct wire_item own[REC_PARTS];

	mark_heard(m, r, b->hears_you);
	compare_digest(m, r, b->digest);
	if (r->state != MEMBER_ALIVE && reply_allowed(m, r))
		heartbeat_send(m, r, own, own_items(m, own));
}

enum err heartbeat_receive(struct member *m, const char *from, const void *buf,
			   size_t len)
{
	struct wire_heartbeat b;
	enum err e = wire_get_heartbeat(buf, len, &b);
	uint32_t sender_bit = 0;
	int i;

	if (e != ERR_OK)
		return e;
	if (strcmp(b.domain, m->domain) != 0) {
		wire_heartbeat_clear(&b);
		return ERR_INVALID;
	}
	i = rec_find(&m->t, from);
	if (i != REC_NONE && m->t.recs[i]->neighbour)
		sender_bit = 1u << m->t.recs[i]->neighbour_bit;
	for (int k = 0; k < b.n_items; k++)
		receive_item(m, &b.items[k], sender_bit);
	i = rec_find(&m->t, from);
	if (i != REC_NONE && !m->t.recs[i]->left)
		receive_sender(m, m->t.recs[i], &b);
	wire_heartbeat_clear(&b);
	return ERR_OK;
}
