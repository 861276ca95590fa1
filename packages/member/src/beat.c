// Heartbeats, and records that spread with them.
#include <stdlib.h>
#include <string.h>

#include "state.h"

enum {
	BEAT_RECS = 32, ///< records of one message
	REPLY_MS = 100, ///< between answers to one node outside heartbeats
	MISMATCHES =
		2, ///< heartbeats with another digest before versions go out
};

void own_changed(struct member *m)
{
	struct rec *self = m->t.recs[SELF];

	self->seq++;
	self->changed = true;
	m->dirty = true;
}

static void need_connection(struct member *m, struct rec *r)
{
	if (r->connected)
		return;
	r->connected = true;
	r->reset_ms = m->now_ms;
	act_connect(m, r->id, r->dial);
}

void beat_send(struct member *m, struct rec *to, const struct rec *const *recs,
	       int n)
{
	msgpack_sbuffer buf;

	need_connection(m, to);
	msgpack_sbuffer_init(&buf);
	wire_put_beat(&buf, m->domain, reach_heard(m, to), m->digest, recs, n);
	act_send(m, to->id, MEMBER_BEAT, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/// A connection over which nothing comes back may be dead at one end.
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

static int collect_changed(struct member *m, const struct rec **out, int from)
{
	int n = 0;
	int i;

	for (i = from; i < m->t.n && n < BEAT_RECS; i++) {
		if (m->t.recs[i]->changed)
			out[n++] = m->t.recs[i];
	}
	out[n] = NULL;
	return i;
}

static void beat_all(struct member *m, const struct rec *const *recs, int n)
{
	for (int i = 1; i < m->t.n; i++) {
		struct rec *r = m->t.recs[i];

		if (!r->neighbour || r->left)
			continue;
		reset_if_silent(m, r);
		beat_send(m, r, recs, n);
	}
}

void beat_neighbours(struct member *m, bool beat)
{
	const struct rec *recs[BEAT_RECS + 1];
	int at = 0;

	do {
		int n = 0;

		at = collect_changed(m, recs, at);
		while (recs[n])
			n++;
		if (n || beat)
			beat_all(m, recs, n);
		beat = false;
	} while (at < m->t.n);
	for (int i = 0; i < m->t.n; i++)
		m->t.recs[i]->changed = false;
}

static bool probed(const struct rec *r)
{
	return r->state != MEMBER_ALIVE && !r->left && r->dial[0];
}

void beat_probe(struct member *m, int count)
{
	const struct rec *own[] = {m->t.recs[SELF]};
	int total = 0;
	int first;

	for (int i = 1; i < m->t.n; i++)
		total += probed(m->t.recs[i]);
	if (total == 0)
		return;
	first = (int)rng_below(&m->rng, (uint64_t)m->t.n);
	for (int k = 0; k < m->t.n && count > 0; k++) {
		int i = (first + k) % m->t.n;
		struct rec *r = m->t.recs[i];

		if (i == SELF || !probed(r))
			continue;
		reset_if_silent(m, r);
		beat_send(m, r, own, 1);
		count--;
	}
}

/// Another node told of a later version of this one: be later still.
static void outdo(struct member *m, const struct rec *r)
{
	struct rec *self = m->t.recs[SELF];

	if (!rec_newer(r, self))
		return;
	if (r->inc > self->inc)
		self->inc = r->inc + 1;
	else
		self->seq = r->seq;
	own_changed(m);
}

static void take_rec(struct member *m, struct rec *src)
{
	struct rec *dst;
	int i;

	if (strcmp(src->id, m->id) == 0) {
		outdo(m, src);
		return;
	}
	i = rec_find(&m->t, src->id);
	if (i == REC_NONE)
		i = rec_add(&m->t, src->id, m->now_ms);
	if (i == REC_NONE)
		return;
	dst = m->t.recs[i];
	if (!rec_newer(src, dst))
		return;
	rec_take(dst, src);
	dst->changed = true;
	m->dirty = true;
}

static void send_versions(struct member *m, struct rec *to)
{
	struct wire_version v[REC_MAX];
	msgpack_sbuffer buf;
	int n = 0;

	for (int i = 0; i < m->t.n; i++) {
		const struct rec *r = m->t.recs[i];

		if (r->state == MEMBER_ALIVE)
			v[n++] = (struct wire_version){r->hash, r->inc, r->seq};
	}
	need_connection(m, to);
	msgpack_sbuffer_init(&buf);
	wire_put_versions(&buf, m->domain, v, n);
	act_send(m, to->id, MEMBER_VERSIONS, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

static bool may_reply(struct member *m, struct rec *r)
{
	if (!r->dial[0] || m->now_ms - r->reply_ms < REPLY_MS)
		return false;
	r->reply_ms = m->now_ms;
	return true;
}

static void compare_digest(struct member *m, struct rec *r, uint64_t digest)
{
	bool alone = m->n_views == 0 || m->domains[0].alive <= 1;

	if (digest == m->digest) {
		r->mismatches = 0;
		return;
	}
	r->mismatches++;
	if ((alone || r->mismatches >= MISMATCHES) && may_reply(m, r)) {
		r->mismatches = 0;
		send_versions(m, r);
	}
}

static void heard(struct member *m, struct rec *r, bool hears_us)
{
	bool was = reach_heard(m, r);

	r->heard_ms = m->now_ms;
	r->hears_us = hears_us;
	if (hears_us)
		r->heard_us_ms = m->now_ms;
	if (!was && reach_own_links(m))
		own_changed(m);
}

enum err beat_take(struct member *m, const char *from, const void *buf,
		   size_t len)
{
	const struct rec *own[] = {m->t.recs[SELF]};
	struct wire_beat b;
	enum err e = wire_get_beat(buf, len, &b);
	int i;

	if (e != ERR_OK)
		return e;
	if (strcmp(b.domain, m->domain) != 0) {
		wire_beat_clear(&b);
		return ERR_INVALID;
	}
	for (int k = 0; k < b.n_recs; k++)
		take_rec(m, &b.recs[k]);
	i = rec_find(&m->t, from);
	if (i != REC_NONE && !m->t.recs[i]->left) {
		struct rec *r = m->t.recs[i];

		heard(m, r, b.hears_you);
		compare_digest(m, r, b.digest);
		if (r->state != MEMBER_ALIVE && may_reply(m, r))
			beat_send(m, r, own, 1);
	}
	wire_beat_clear(&b);
	return ERR_OK;
}

static const struct wire_version *version_of(const struct wire_versions *v,
					     uint32_t hash)
{
	for (int i = 0; i < v->n; i++) {
		if (v->v[i].hash == hash)
			return &v->v[i];
	}
	return NULL;
}

static bool version_older(const struct wire_version *v, const struct rec *r)
{
	if (!v || v->inc != r->inc)
		return !v || v->inc < r->inc;
	return v->seq < r->seq;
}

/// Whether the list names a record that this node lacks.
static bool lacks(const struct member *m, const struct wire_versions *v)
{
	for (int i = 0; i < v->n; i++) {
		int at = rec_find_hash(&m->t, v->v[i].hash);
		struct rec r = {.inc = v->v[i].inc, .seq = v->v[i].seq};

		if (at == REC_NONE || rec_newer(&r, m->t.recs[at]))
			return true;
	}
	return false;
}

static void send_newer(struct member *m, struct rec *to,
		       const struct wire_versions *v)
{
	const struct rec *recs[BEAT_RECS];
	int n = 0;

	for (int i = 0; i < m->t.n; i++) {
		const struct rec *r = m->t.recs[i];

		if (r->state != MEMBER_ALIVE ||
		    !version_older(version_of(v, r->hash), r))
			continue;
		recs[n++] = r;
		if (n == BEAT_RECS) {
			beat_send(m, to, recs, n);
			n = 0;
		}
	}
	if (n)
		beat_send(m, to, recs, n);
}

enum err versions_take(struct member *m, const char *from, const void *buf,
		       size_t len)
{
	struct wire_versions v;
	enum err e = wire_get_versions(buf, len, &v);
	int i;

	if (e != ERR_OK)
		return e;
	i = rec_find(&m->t, from);
	if (i != REC_NONE && strcmp(v.domain, m->domain) == 0) {
		struct rec *r = m->t.recs[i];

		send_newer(m, r, &v);
		if (lacks(m, &v) && may_reply(m, r))
			send_versions(m, r);
	}
	free(v.v);
	return ERR_OK;
}
