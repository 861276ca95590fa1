// Builds the lists of members and failure domains for callers.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "state.h"

static struct member_view *view_add(struct member *m)
{
	size_t cap = m->views_cap ? 2 * m->views_cap : 16;
	struct member_view *v;

	if (m->n_views == m->views_cap) {
		v = realloc(m->views, cap * sizeof(*v));
		if (!v)
			return NULL;
		m->views = v;
		m->views_cap = cap;
	}
	v = &m->views[m->n_views++];
	memset(v, 0, sizeof(*v));
	return v;
}

static void view_own_domain(struct member *m)
{
	for (int i = 1; i < m->t.n; i++) {
		struct rec *r = m->t.recs[i];
		struct member_view *v = r->left ? NULL : view_add(m);

		if (!v)
			continue;
		memcpy(v->id, r->id, sizeof(v->id));
		memcpy(v->domain, m->domain, sizeof(v->domain));
		v->state = r->state;
		v->draining = r->draining;
		v->last_alive_ms = r->alive_ms;
		if (r->state == MEMBER_ALIVE && !r->connected) {
			r->connected = true;
			r->reset_ms = m->now_ms;
			action_connect(m, r->id, r->dial_addr);
		}
	}
}

/// Live member that hears another domain, preferably with a report of it.
static const struct rec *find_reporter(const struct member *m,
				       const char *domain)
{
	const struct rec *best = NULL;

	for (int i = 1; i < m->t.n; i++) {
		const struct rec *r = m->t.recs[i];

		if (r->state != MEMBER_ALIVE || !rec_hears_domain(r, domain))
			continue;
		if (!best ||
		    (rec_report(r, domain) &&
		     (!rec_report(best, domain) || r->hash < best->hash)))
			best = r;
	}
	return best;
}

static void merge_domain(const struct member *m, struct remote *r,
			 struct member_domain *out)
{
	const struct rec *w = find_reporter(m, r->name);
	const struct member_domain *d = w ? rec_report(w, r->name) : NULL;

	r->heard = summary_heard(m, r);
	if (!r->heard && d) {
		remote_add_contacts(r, d);
		*out = *d;
	} else {
		*out = r->summary;
	}
	memcpy(out->name, r->name, sizeof(out->name));
	out->heard = r->heard || w;
	if (r->known || out->heard)
		r->known_ms = m->now_ms;
	r->known = out->heard;
}

static uint64_t cand_rank(const struct member *m, const struct remote_cand *c)
{
	uint64_t own = XXH64(m->id, strlen(m->id), 0);

	return XXH64(c->id, strlen(c->id), own);
}

/// Choose contacts that differ for each node, to spread load.
static void choose_contacts(const struct member *m, struct remote *r)
{
	for (int i = 0; i < r->n_cands; i++)
		r->cands[i].chosen = false;
	for (int k = 0; k < REMOTE_LINKS; k++) {
		struct remote_cand *best = NULL;

		for (int i = 0; i < r->n_cands; i++) {
			struct remote_cand *c = &r->cands[i];

			if (c->chosen || !c->contact)
				continue;
			if (!best || cand_rank(m, c) < cand_rank(m, best))
				best = c;
		}
		if (best)
			best->chosen = true;
	}
}

static void view_contacts(struct member *m, struct remote *r,
			  const struct member_domain *d)
{
	choose_contacts(m, r);
	for (int i = 0; i < r->n_cands; i++) {
		struct remote_cand *c = &r->cands[i];
		struct member_view *v;

		if (c->connected && !c->chosen && i != r->target) {
			c->connected = false;
			action_disconnect(m, c->id);
		}
		if (!c->chosen)
			continue;
		if (!c->connected) {
			c->connected = true;
			c->reset_ms = m->now_ms;
			action_connect(m, c->id, c->addr);
		}
		v = view_add(m);
		if (!v)
			return;
		memcpy(v->id, c->id, sizeof(v->id));
		memcpy(v->domain, r->name, sizeof(v->domain));
		v->state = d->heard ? MEMBER_ALIVE : MEMBER_DEAD;
		v->last_alive_ms = d->heard ? m->now_ms : c->heard_ms;
	}
}

/// Add domains that are known only from reports.
static void add_reported_domains(struct member *m)
{
	for (int i = 1; i < m->t.n; i++) {
		const struct rec *r = m->t.recs[i];

		for (int k = 0; k < r->n_reports; k++) {
			if (strcmp(r->reports[k].name, m->domain) != 0)
				remote_of(m, r->reports[k].name);
		}
	}
}

void view_update(struct member *m)
{
	m->n_views = 0;
	m->n_domains = 0;
	add_reported_domains(m);
	m->dirty = false;
	summary_own(m, NULL, &m->domains[m->n_domains++]);
	view_own_domain(m);
	for (int i = 0; i < m->n_remotes; i++) {
		struct member_domain *d = &m->domains[m->n_domains++];

		merge_domain(m, &m->remotes[i], d);
		view_contacts(m, &m->remotes[i], d);
	}
	m->gen++;
}
