// Table of backend servers: adds, updates and removes entries; keeps them in outages.
#include "site/server.h"

#include <stdlib.h>
#include <string.h>

#include "server_index.h"
#include "server_table.h"

enum {
	/// An entry may be older than a response by a heartbeat and its way here, 2 s; an
	/// engine may also return to older weights, by an order that was carried out late.
	OBSERVED_TTL_MS = 3000,
};

struct site_servers *site_servers_new(void)
{
	struct site_servers *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->tab = htab_new(SITE_SERVERS_MAX, sizeof(struct site_server));
	if (t->tab)
		return t;
	free(t);
	return NULL;
}

void site_servers_free(struct site_servers *t)
{
	if (!t)
		return;
	server_index_free(&t->index);
	htab_free(t->tab);
	free(t->domains_out);
	free(t);
}

struct site_server *site_servers_get(const struct site_servers *t,
				     htab_handle h)
{
	return htab_get(t->tab, h);
}

struct site_server *site_servers_next(const struct site_servers *t,
				      size_t *iter)
{
	return htab_next(t->tab, iter, NULL);
}

struct site_server *site_servers_find(const struct site_servers *t,
				      const char *id)
{
	return server_index_find(&t->index, t->tab, id);
}

htab_handle site_servers_lookup(const struct site_servers *t, const char *id,
				size_t len)
{
	const struct site_server *s;
	char name[SITE_NAME_SIZE];

	if (len >= sizeof(name))
		return 0;
	memcpy(name, id, len);
	name[len] = '\0';
	s = site_servers_find(t, name);
	return s ? s->self : 0;
}

/* A server is remembered only if a response said that it is leaving, or a response in
 * flight may still say so. */
static void remove_server(struct site_servers *t, struct site_server *s)
{
	if (s->leaving || s->running) {
		struct removed *g = &t->removed[t->n_removed++ % REMOVED_MAX];

		*g = (struct removed){
			.self = s->self,
			.started_ms = s->entry.started_ms,
			.outage = s->missing_since_ms != 0,
			.leaving = s->leaving,
		};
		memcpy(g->id, s->entry.id, sizeof(g->id));
	}
	server_index_del(&t->index, t->tab, s);
	htab_del(t->tab, s->self);
}

/* Whether a new entry changes the index. */
static bool index_differs(const struct site_server_entry *a,
			  const struct site_server_entry *b)
{
	if (strcmp(a->service, b->service) != 0 ||
	    strcmp(a->domain, b->domain) != 0 || a->n_models != b->n_models)
		return true;
	for (int i = 0; i < a->n_models; i++) {
		if (a->models[i].version != b->models[i].version ||
		    strcmp(a->models[i].name, b->models[i].name) != 0)
			return true;
	}
	return false;
}

/* Without a start time, entries can be distinguished by id only. */
static bool same_incarnation(const struct removed *g,
			     const struct site_server_entry *e)
{
	return (e->started_ms || g->outage) && g->started_ms == e->started_ms &&
	       strcmp(g->id, e->id) == 0;
}

static bool was_leaving(const struct site_servers *t,
			const struct site_server_entry *e)
{
	for (int i = 0; i < REMOVED_MAX; i++) {
		if (t->removed[i].leaving &&
		    same_incarnation(&t->removed[i], e))
			return true;
	}
	return false;
}

static enum err add_server(struct site_servers *t,
			   const struct site_server_entry *e,
			   struct site_server **out)
{
	htab_handle h;
	struct site_server *s = htab_add(t->tab, &h);
	enum err err;

	if (!s)
		return ERR_FULL;
	s->self = h;
	s->entry = *e;
	s->leaving = was_leaving(t, e);
	err = server_index_add(&t->index, s, site_server_usable(t, s));
	if (err != ERR_OK)
		htab_del(t->tab, h);
	*out = s;
	return err;
}

static enum err update_server(struct site_servers *t, struct site_server *s,
			      const struct site_server_entry *e)
{
	bool index = index_differs(&s->entry, e);
	enum err err = ERR_OK;

	if (index)
		server_index_del(&t->index, t->tab, s);
	s->entry = *e;
	if (index)
		err = server_index_add(&t->index, s, site_server_usable(t, s));
	if (err != ERR_OK) {
		htab_del(t->tab, s->self);
		return err;
	}
	server_index_update_load(s);
	server_index_set_usable(s, site_server_usable(t, s));
	return ERR_OK;
}

static struct removed *find_removed(struct site_servers *t, htab_handle h)
{
	for (int i = 0; i < REMOVED_MAX; i++) {
		if (t->removed[i].self == h)
			return &t->removed[i];
	}
	return NULL;
}

static void set_leaving(struct site_server *s)
{
	s->leaving = true;
	server_index_set_usable(s, false);
}

const char *site_servers_mark_leaving(struct site_servers *t, htab_handle h)
{
	struct site_server *s = site_servers_get(t, h);
	struct removed *g = s ? NULL : find_removed(t, h);

	if (g && !g->leaving) {
		g->leaving = true;
		s = site_servers_find(t, g->id);
		if (s && same_incarnation(g, &s->entry))
			set_leaving(s);
		return g->id;
	}
	if (!s || s->leaving)
		return NULL;
	set_leaving(s);
	return s->entry.id;
}

static struct site_model *entry_model(struct site_server_entry *e,
				      const char *model)
{
	for (int i = 0; i < e->n_models; i++) {
		if (strcmp(e->models[i].name, model) == 0)
			return &e->models[i];
	}
	return NULL;
}

bool site_servers_observe_version(struct site_servers *t, htab_handle server,
				  int64_t now, const char *model,
				  uint64_t version)
{
	struct site_server *s = site_servers_get(t, server);
	struct site_server_entry e;
	struct site_model *m;

	if (!s || site_server_version(s, model) >= version)
		return false;
	e = s->entry;
	m = entry_model(&e, model);
	if (!m)
		return false;
	m->version = version;
	s->observed_ms = now;
	return update_server(t, s, &e) == ERR_OK;
}

/* Keep versions that responses showed after the entry was made. */
static void keep_observed(const struct site_server *s, int64_t now,
			  struct site_server_entry *e)
{
	if (!s->observed_ms || now - s->observed_ms >= OBSERVED_TTL_MS)
		return;
	for (int i = 0; i < e->n_models; i++) {
		uint64_t v = site_server_version(s, e->models[i].name);

		if (v > e->models[i].version)
			e->models[i].version = v;
	}
}

enum err site_servers_put(struct site_servers *t, uint64_t rev, int64_t now,
			  const struct site_server_entry *entry)
{
	struct site_server_entry merged = *entry;
	const struct site_server_entry *e = &merged;
	struct site_server *s = site_servers_find(t, e->id);
	enum err err;

	if (s)
		s->list_round = t->list_round;
	if (s && rev < s->rev)
		return ERR_OK;
	if (s && s->entry.started_ms != e->started_ms) {
		remove_server(t, s);
		s = NULL;
	}
	if (s)
		keep_observed(s, now, &merged);
	err = s ? update_server(t, s, e) : add_server(t, e, &s);
	if (err != ERR_OK)
		return err;
	s->rev = rev;
	s->list_round = t->list_round;
	s->missing_since_ms = 0;
	s->cold_until_ms = e->cold_left_ms > 0 ? now + e->cold_left_ms : 0;
	return ERR_OK;
}

void site_servers_remove(struct site_servers *t, const char *id, int64_t now,
			 bool outage)
{
	struct site_server *s = site_servers_find(t, id);

	if (!s)
		return;
	if (!outage)
		remove_server(t, s);
	else if (!s->missing_since_ms)
		s->missing_since_ms = now;
}

void site_servers_begin_list(struct site_servers *t)
{
	t->list_round++;
}

void site_servers_end_list(struct site_servers *t, int64_t now, bool outage)
{
	struct site_server *s;
	size_t iter = 0;

	while ((s = site_servers_next(t, &iter))) {
		if (s->list_round != t->list_round)
			site_servers_remove(t, s->entry.id, now, outage);
	}
}

void site_servers_expire(struct site_servers *t, int64_t now,
			 int64_t store_up_since_ms)
{
	struct site_server *s;
	size_t iter = 0;

	if (!store_up_since_ms || now - store_up_since_ms < SITE_REREGISTER_MS)
		return;
	while ((s = site_servers_next(t, &iter))) {
		if (s->missing_since_ms)
			remove_server(t, s);
	}
}

static int domain_out_index(const struct site_servers *t, const char *domain)
{
	for (int i = 0; i < t->n_domains_out; i++) {
		if (strcmp(t->domains_out[i].name, domain) == 0)
			return i;
	}
	return -1;
}

/* Domains were taken out or put back. */
static void reindex_usable(struct site_servers *t)
{
	struct site_server *s;
	size_t iter = 0;

	while ((s = site_servers_next(t, &iter)))
		server_index_set_usable(s, site_server_usable(t, s));
}

static void put_domain_back(struct site_servers *t, int pos)
{
	t->domains_out[pos] = t->domains_out[--t->n_domains_out];
	reindex_usable(t);
}

/* @return position, -1 when out of memory */
static int take_domain_out(struct site_servers *t, const char *domain)
{
	size_t size = (size_t)(t->n_domains_out + 1) * sizeof(*t->domains_out);
	struct domain_out *p = realloc(t->domains_out, size);

	if (!p)
		return -1;
	t->domains_out = p;
	p += t->n_domains_out++;
	memset(p, 0, sizeof(*p));
	strncpy(p->name, domain, SITE_NAME_SIZE - 1);
	reindex_usable(t);
	return t->n_domains_out - 1;
}

enum err site_servers_set_domain_out(struct site_servers *t, const char *domain,
				     bool out)
{
	int pos = domain_out_index(t, domain);

	if (out && pos < 0)
		pos = take_domain_out(t, domain);
	if (out && pos < 0)
		return ERR_NOMEM;
	if (out)
		t->domains_out[pos].list_round = t->domains_round;
	else if (pos >= 0)
		put_domain_back(t, pos);
	return ERR_OK;
}

void site_servers_begin_domains(struct site_servers *t)
{
	t->domains_round++;
}

void site_servers_end_domains(struct site_servers *t)
{
	for (int i = t->n_domains_out - 1; i >= 0; i--) {
		if (t->domains_out[i].list_round != t->domains_round)
			put_domain_back(t, i);
	}
}

bool site_server_usable(const struct site_servers *t,
			const struct site_server *s)
{
	return !s->entry.leaving && !s->leaving &&
	       domain_out_index(t, s->entry.domain) < 0;
}

int site_servers_count_usable(const struct site_servers *t, const char *service)
{
	const struct index_group *g = server_index_group(&t->index, service);

	return g ? g->n_usable : 0;
}

uint64_t site_server_version(const struct site_server *s, const char *model)
{
	for (int i = 0; i < s->entry.n_models; i++) {
		if (strcmp(s->entry.models[i].name, model) == 0)
			return s->entry.models[i].version;
	}
	return 0;
}
