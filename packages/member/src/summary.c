// Other failure domains: two nodes of this one watch each of them.
#include <string.h>
#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

#include "state.h"

enum {
	WATCHERS = 2, ///< nodes of a domain that watch another one
	WATCH_CANDS = 2, ///< nodes asked at once while none is heard
};

static uint64_t hash_rank(const char *id, const char *salt)
{
	return XXH64(id, strlen(id), XXH32(salt, strlen(salt), 0));
}

static void summary_keys(const struct member *m, struct member_domain *out)
{
	memcpy(out->min, m->t.recs[SELF]->keys, sizeof(out->min));
	memcpy(out->max, m->t.recs[SELF]->keys, sizeof(out->max));
	for (int i = 0; i < m->t.n; i++) {
		const struct rec *r = m->t.recs[i];

		if (r->state != MEMBER_ALIVE)
			continue;
		out->alive++;
		out->draining += r->draining;
		for (int k = 0; k < MEMBER_KEYS; k++) {
			if (r->keys[k] < out->min[k])
				out->min[k] = r->keys[k];
			if (r->keys[k] > out->max[k])
				out->max[k] = r->keys[k];
		}
	}
}

static void put_contact(struct member_domain *out, int pos, const struct rec *r)
{
	struct member_contact *c = &out->contacts[pos];

	memcpy(c->id, r->id, sizeof(c->id));
	memcpy(c->addr, r->addr, sizeof(c->addr));
}

/// Choose contacts that differ for each asking domain, to spread load.
static void summary_contacts(const struct member *m, const char *to,
			     struct member_domain *out)
{
	uint64_t ranks[MEMBER_CONTACTS];

	put_contact(out, 0, m->t.recs[SELF]);
	out->n_contacts = 1;
	for (int i = 1; i < m->t.n; i++) {
		const struct rec *r = m->t.recs[i];
		uint64_t v = hash_rank(r->id, to);
		int pos = out->n_contacts;

		if (r->state != MEMBER_ALIVE || r->draining)
			continue;
		if (pos == MEMBER_CONTACTS && ranks[--pos] <= v)
			continue;
		while (pos > 1 && ranks[pos - 1] > v) {
			out->contacts[pos] = out->contacts[pos - 1];
			ranks[pos] = ranks[pos - 1];
			pos--;
		}
		put_contact(out, pos, r);
		ranks[pos] = v;
		if (out->n_contacts < MEMBER_CONTACTS)
			out->n_contacts++;
	}
}

void summary_own(const struct member *m, const char *to,
		 struct member_domain *out)
{
	memset(out, 0, sizeof(*out));
	memcpy(out->name, m->domain, sizeof(out->name));
	out->heard = true;
	summary_keys(m, out);
	if (to)
		summary_contacts(m, to, out);
}

static bool should_watch(const struct member *m, const struct remote *d)
{
	uint64_t own = hash_rank(m->id, d->name);
	int lower_ranked = 0;

	for (int i = 1; i < m->t.n; i++) {
		const struct rec *r = m->t.recs[i];

		if (r->state == MEMBER_ALIVE && !r->draining &&
		    hash_rank(r->id, d->name) < own)
			lower_ranked++;
	}
	return lower_ranked < WATCHERS;
}

static bool heard_recently(const struct member *m, int64_t heard_ms)
{
	return heard_ms && m->now_ms - heard_ms <= m->opts.silence_ms;
}

bool summary_heard(const struct member *m, const struct remote *r)
{
	return heard_recently(m, r->heard_ms);
}

static bool remote_expired(const struct member *m, const struct remote *r)
{
	for (int i = 0; i < r->n_cands; i++) {
		if (r->cands[i].seed)
			return false;
	}
	return !r->known && m->now_ms - r->known_ms >= m->opts.forget_ms;
}

static void remote_remove(struct member *m, struct remote *r)
{
	for (int i = 0; i < r->n_cands; i++) {
		if (r->cands[i].connected)
			action_disconnect(m, r->cands[i].id);
	}
	*r = m->remotes[--m->n_remotes];
	m->dirty = true;
}

void summary_expire(struct member *m)
{
	for (int i = m->n_remotes - 1; i >= 0; i--) {
		struct remote *r = &m->remotes[i];

		if (r->heard != summary_heard(m, r))
			m->dirty = true;
		if (remote_expired(m, r))
			remote_remove(m, r);
	}
}

static void summary_send(struct member *m, struct remote *r,
			 struct remote_cand *c, bool reply)
{
	struct member_domain own;
	msgpack_sbuffer buf;

	if (!c->connected) {
		c->connected = true;
		c->reset_ms = m->now_ms;
		action_connect(m, c->id, c->addr);
	}
	summary_own(m, r->name, &own);
	msgpack_sbuffer_init(&buf);
	wire_put_summary(&buf, reply, &own);
	action_send(m, c->id, MEMBER_SUMMARY, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

static void query_cand(struct member *m, struct remote *r, int cand)
{
	struct remote_cand *c = &r->cands[cand];
	int64_t since = c->heard_ms > c->reset_ms ? c->heard_ms : c->reset_ms;

	if (c->connected && m->now_ms - since > m->opts.silence_ms) {
		c->reset_ms = m->now_ms;
		action_reset(m, c->id, c->addr);
	}
	summary_send(m, r, c, false);
}

static void watch_domain(struct member *m, struct remote *r)
{
	if (r->n_cands == 0)
		return;
	if (heard_recently(m, r->cands[r->target].heard_ms)) {
		query_cand(m, r, r->target);
		return;
	}
	for (int i = 0; i < WATCH_CANDS; i++) {
		r->target = (int)rng_below(&m->rng, (uint64_t)r->n_cands);
		query_cand(m, r, r->target);
	}
}

void summary_query(struct member *m)
{
	for (int i = 0; i < m->n_remotes; i++) {
		struct remote *r = &m->remotes[i];

		r->watching = should_watch(m, r);
		if (r->watching)
			watch_domain(m, r);
	}
}

int summary_heard_domains(const struct member *m, uint32_t *out)
{
	int n = 0;

	for (int i = 0; i < m->n_remotes; i++) {
		const struct remote *r = &m->remotes[i];

		if (r->watching && summary_heard(m, r))
			out[n++] = rec_hash(r->name);
	}
	return n;
}

static bool same_contacts(const struct member_domain *a,
			  const struct member_domain *b)
{
	if (a->n_contacts != b->n_contacts)
		return false;
	for (int i = 0; i < a->n_contacts; i++) {
		if (strcmp(a->contacts[i].id, b->contacts[i].id) != 0 ||
		    strcmp(a->contacts[i].addr, b->contacts[i].addr) != 0)
			return false;
	}
	return true;
}

static bool same_values(const struct member_domain *a,
			const struct member_domain *b)
{
	return a->alive == b->alive && a->draining == b->draining &&
	       memcmp(a->min, b->min, sizeof(a->min)) == 0 &&
	       memcmp(a->max, b->max, sizeof(a->max)) == 0;
}

static int own_reports(const struct member *m, struct member_domain *out)
{
	int n = 0;

	for (int i = 0; i < m->n_remotes; i++) {
		const struct remote *r = &m->remotes[i];

		if (r->watching && r->heard_ms)
			out[n++] = r->summary;
	}
	return n;
}

static void compare_reports(const struct rec *self,
			    const struct member_domain *now, int n,
			    bool *values, bool *contacts)
{
	*values = n != self->n_reports;
	*contacts = *values;
	for (int i = 0; i < n; i++) {
		const struct member_domain *old = rec_report(self, now[i].name);

		*values |= !old || !same_values(old, &now[i]);
		*contacts |= !old || !same_contacts(old, &now[i]);
	}
}

void summary_update_reports(struct member *m)
{
	struct rec *self = m->t.recs[SELF];
	struct member_domain now[MEMBER_DOMAINS];
	int n = own_reports(m, now);
	struct member_domain *copy;
	bool values, contacts;

	compare_reports(self, now, n, &values, &contacts);
	if (!values && !contacts)
		return;
	copy = calloc((size_t)n + 1, sizeof(*copy));
	if (!copy)
		return;
	memcpy(copy, now, (size_t)n * sizeof(*copy));
	free(self->reports);
	self->reports = copy;
	self->n_reports = n;
	if (values)
		own_part_changed(m, PART_REPORTS);
	if (contacts)
		own_part_changed(m, PART_CONTACTS);
}

static bool summary_ok(const struct member *m, const char *from,
		       const struct wire_summary *s)
{
	return strcmp(s->d.name, m->domain) != 0 && s->d.n_contacts > 0 &&
	       strcmp(s->d.contacts[0].id, from) == 0;
}

enum err summary_receive(struct member *m, const char *from, const void *buf,
			 size_t len)
{
	struct wire_summary s;
	enum err e = wire_get_summary(buf, len, &s);
	struct remote *r;
	struct remote_cand *c;

	if (e != ERR_OK)
		return e;
	if (!summary_ok(m, from, &s))
		return ERR_INVALID;
	r = remote_of(m, s.d.name);
	if (!r)
		return ERR_FULL;
	if (!r->heard || !same_values(&r->summary, &s.d) ||
	    !same_contacts(&r->summary, &s.d))
		m->dirty = true;
	r->heard_ms = m->now_ms;
	r->summary = s.d;
	remote_add_contacts(r, &s.d);
	c = remote_cand_find(r, from);
	if (!c)
		return ERR_FULL;
	c->heard_ms = m->now_ms;
	if (!s.reply)
		summary_send(m, r, c, true);
	return ERR_OK;
}
