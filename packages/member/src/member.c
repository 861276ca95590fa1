// Public functions of the membership: creation, seeds, values, time.
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state.h"

enum {
	STARTUP_MS = 5000, ///< startup phase, with more frequent probes
	STARTUP_PROBE_MS = 100,
	/// Minimum interval between updates of the own reports.
	REPORT_INTERVAL_MS = 2000,
	STARTUP_PROBES = 8, ///< nodes per probe at first
};

struct member *member_new(const struct member_opts *opts, int64_t now_ms)
{
	struct member *m = calloc(1, sizeof(*m));
	struct rec *self;

	if (!m)
		return NULL;
	m->opts = *opts;
	m->tail = &m->head;
	m->rng.state = opts->seed;
	m->now_ms = now_ms;
	m->start_ms = now_ms;
	m->next_heartbeat_ms = now_ms;
	m->next_probe_ms = now_ms;
	m->dirty = true;
	snprintf(m->id, sizeof(m->id), "%s", opts->id);
	snprintf(m->domain, sizeof(m->domain), "%s", opts->domain);
	snprintf(m->addr, sizeof(m->addr), "%s", opts->addr);
	if (rec_add(&m->t, m->id, now_ms) != SELF) {
		free(m);
		return NULL;
	}
	self = m->t.recs[SELF];
	snprintf(self->addr, sizeof(self->addr), "%s", opts->addr);
	self->inc = opts->incarnation;
	self->seq[PART_LINKS] = 1;
	self->seq[PART_VALUES] = 1;
	self->state = MEMBER_ALIVE;
	self->seed = true;
	return m;
}

void member_free(struct member *m)
{
	struct member_action a;

	if (!m)
		return;
	while (member_next_action(m, &a))
		;
	rec_table_clear(&m->t);
	free(m->views);
	free(m);
}

static struct remote *remote_find(struct member *m, const char *domain)
{
	for (int i = 0; i < m->n_remotes; i++) {
		if (strcmp(m->remotes[i].name, domain) == 0)
			return &m->remotes[i];
	}
	return NULL;
}

struct remote *remote_of(struct member *m, const char *domain)
{
	struct remote *r = remote_find(m, domain);

	if (r || m->n_remotes == MEMBER_DOMAINS)
		return r;
	r = &m->remotes[m->n_remotes++];
	memset(r, 0, sizeof(*r));
	snprintf(r->name, sizeof(r->name), "%s", domain);
	r->known_ms = m->now_ms;
	m->dirty = true;
	return r;
}

static enum err seed_remote(struct member *m, const char *id,
			    const char *domain, const char *addr,
			    bool addr_fixed)
{
	struct remote *r = remote_of(m, domain);
	struct remote_cand *c = r ? remote_cand_add(r, id, addr) : NULL;

	if (!c)
		return ERR_FULL;
	c->seed = true;
	c->addr_fixed = addr_fixed;
	return ERR_OK;
}

static bool text_ok(const char *s)
{
	return *s && strlen(s) < MEMBER_ID_MAX;
}

enum err member_add_seed(struct member *m, const char *id, const char *domain,
			 const char *addr, bool addr_fixed)
{
	struct rec *r;
	int i;

	if (!text_ok(id) || !text_ok(domain) || !text_ok(addr))
		return ERR_INVALID;
	if (strcmp(id, m->id) == 0)
		return ERR_OK;
	if (strcmp(domain, m->domain) != 0)
		return seed_remote(m, id, domain, addr, addr_fixed);
	i = rec_find(&m->t, id);
	if (i == REC_NONE)
		i = rec_add(&m->t, id, m->now_ms);
	if (i == REC_NONE)
		return ERR_FULL;
	r = m->t.recs[i];
	r->seed = true;
	if (addr_fixed || (r->inc == 0 && !r->addr_fixed))
		snprintf(r->dial_addr, sizeof(r->dial_addr), "%s", addr);
	r->addr_fixed |= addr_fixed;
	m->dirty = true;
	return ERR_OK;
}

void member_clear_seeds(struct member *m)
{
	for (int i = 1; i < m->t.n; i++)
		m->t.recs[i]->seed = m->t.recs[i]->addr_fixed;
	for (int i = 0; i < m->n_remotes; i++) {
		struct remote *r = &m->remotes[i];

		for (int k = 0; k < r->n_cands; k++)
			r->cands[k].seed = r->cands[k].addr_fixed;
	}
}

enum err member_on_msg(struct member *m, int64_t now_ms, const char *from,
		       enum member_msg type, const void *buf, size_t len)
{
	m->now_ms = now_ms;
	if (strcmp(from, m->id) == 0 || !text_ok(from))
		return ERR_INVALID;
	switch (type) {
	case MEMBER_HEARTBEAT:
		return heartbeat_receive(m, from, buf, len);
	case MEMBER_VERSIONS:
		return versions_receive(m, from, buf, len);
	case MEMBER_SUMMARY:
		return summary_receive(m, from, buf, len);
	}
	return ERR_INVALID;
}

static void heartbeat(struct member *m)
{
	if (m->values_changed)
		own_part_changed(m, PART_VALUES);
	m->values_changed = false;
	if (m->now_ms >= m->next_report_ms) {
		summary_update_reports(m);
		m->next_report_ms = m->now_ms + REPORT_INTERVAL_MS;
	}
	heartbeat_neighbours(m, true);
	summary_query(m);
	m->next_heartbeat_ms = m->now_ms + m->opts.heartbeat_ms;
}

static void probe(struct member *m)
{
	bool starting = m->now_ms - m->start_ms < STARTUP_MS;

	heartbeat_probe(m, starting ? STARTUP_PROBES : 1);
	m->next_probe_ms = m->now_ms +
			   (starting ? STARTUP_PROBE_MS : m->opts.heartbeat_ms);
}

void member_tick(struct member *m, int64_t now_ms)
{
	m->now_ms = now_ms;
	if (reach_update_links(m))
		own_part_changed(m, PART_LINKS);
	reach_expire(m);
	summary_expire(m);
	if (m->dirty)
		reach_update(m);
	if (now_ms >= m->next_heartbeat_ms)
		heartbeat(m);
	else
		heartbeat_neighbours(m, false);
	if (now_ms >= m->next_probe_ms)
		probe(m);
}

void member_drain(struct member *m)
{
	m->t.recs[SELF]->draining = true;
	own_part_changed(m, PART_LINKS);
}

void member_leave(struct member *m, int64_t now_ms)
{
	m->now_ms = now_ms;
	m->t.recs[SELF]->left = true;
	own_part_changed(m, PART_LINKS);
	heartbeat_neighbours(m, false);
}

void member_set(struct member *m, enum member_key key, int64_t value)
{
	struct rec *self = m->t.recs[SELF];

	if (self->keys[key] == value)
		return;
	self->keys[key] = value;
	m->values_changed = true;
}

bool member_get(const struct member *m, const char *id, enum member_key key,
		int64_t *value)
{
	int i = rec_find(&m->t, id);

	if (i == REC_NONE || m->t.recs[i]->state != MEMBER_ALIVE)
		return false;
	*value = m->t.recs[i]->keys[key];
	return true;
}

const struct member_view *member_views(const struct member *m, size_t *n)
{
	*n = m->n_views;
	return m->views;
}

const struct member_domain *member_domains(const struct member *m, size_t *n)
{
	*n = m->n_domains;
	return m->domains;
}

uint64_t member_gen(const struct member *m)
{
	return m->gen;
}
