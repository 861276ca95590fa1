// Processes received heartbeats: parts of records, links, digests.
#include <string.h>

#include "state.h"

enum {
	REPLY_MS = 100, ///< minimum interval of replies between heartbeats
	/// Consecutive heartbeats with another digest before versions are sent.
	MISMATCHES = 2,
};

bool may_reply(struct member *m, struct rec *r)
{
	if (!r->dial[0] || m->now_ms - r->reply_ms < REPLY_MS)
		return false;
	r->reply_ms = m->now_ms;
	return true;
}

/// Another node has a newer version of the own record: exceed it.
static void outdo(struct member *m, const struct wire_item *it)
{
	struct rec *self = m->t.recs[SELF];

	if (it->rec->inc == self->inc && it->seq > self->seq[it->part]) {
		self->seq[it->part] = it->seq;
		own_changed(m, it->part);
	}
	if (it->rec->inc <= self->inc)
		return;
	self->inc = it->rec->inc + 1;
	for (int k = 0; k < REC_PARTS; k++) {
		if (self->seq[k])
			own_changed(m, (enum rec_part)k);
	}
}

/// Record that an item belongs to; an item with links may add it.
static struct rec *rec_of(struct member *m, const struct wire_item *it)
{
	int i = rec_find_hash(&m->t, it->rec->hash);

	if (i == REC_NONE && it->part == PART_LINKS)
		i = rec_add(&m->t, it->rec->id, m->now_ms);
	if (i == REC_NONE || (it->part == PART_LINKS &&
			      strcmp(m->t.recs[i]->id, it->rec->id) != 0))
		return NULL;
	return m->t.recs[i];
}

static void take_item(struct member *m, struct wire_item *it, uint32_t teller)
{
	struct rec *dst;

	if (it->rec->hash == m->t.recs[SELF]->hash) {
		outdo(m, it);
		return;
	}
	dst = rec_of(m, it);
	if (!dst)
		return;
	if (rec_take(dst, it->rec, it->part, it->seq)) {
		dst->changed[it->part] = true;
		dst->told_by[it->part] = teller;
		m->dirty = true;
	} else if (dst->inc == it->rec->inc && dst->seq[it->part] == it->seq) {
		dst->told_by[it->part] |= teller;
	}
}

static void compare_digest(struct member *m, struct rec *r, uint64_t digest)
{
	bool alone = m->n_domains == 0 || m->domains[0].alive <= 1;

	if (digest == m->digest) {
		r->mismatches = 0;
		return;
	}
	r->mismatches++;
	if ((alone || r->mismatches >= MISMATCHES) && may_reply(m, r)) {
		r->mismatches = 0;
		versions_send(m, r);
	}
}

static void heard(struct member *m, struct rec *r, bool hears_us)
{
	bool was = reach_heard(m, r);

	r->heard_ms = m->now_ms;
	if (hears_us)
		r->heard_us_ms = m->now_ms;
	if (!was && reach_own_links(m))
		own_changed(m, PART_LINKS);
}

static void take_sender(struct member *m, struct rec *r,
			const struct wire_beat *b)
{
	struct wire_item own[REC_PARTS];

	heard(m, r, b->hears_you);
	compare_digest(m, r, b->digest);
	if (r->state != MEMBER_ALIVE && may_reply(m, r))
		beat_send(m, r, own, own_items(m, own));
}

enum err beat_take(struct member *m, const char *from, const void *buf,
		   size_t len)
{
	struct wire_beat b;
	enum err e = wire_get_beat(buf, len, &b);
	uint32_t teller = 0;
	int i;

	if (e != ERR_OK)
		return e;
	if (strcmp(b.domain, m->domain) != 0) {
		wire_beat_clear(&b);
		return ERR_INVALID;
	}
	i = rec_find(&m->t, from);
	if (i != REC_NONE && m->t.recs[i]->neighbour)
		teller = 1u << m->t.recs[i]->at;
	for (int k = 0; k < b.n_items; k++)
		take_item(m, &b.items[k], teller);
	i = rec_find(&m->t, from);
	if (i != REC_NONE && !m->t.recs[i]->left)
		take_sender(m, m->t.recs[i], &b);
	wire_beat_clear(&b);
	return ERR_OK;
}
