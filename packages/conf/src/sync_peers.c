// Peers of the configuration: who watches, who is asked, who is pushed to.
#include "sync_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
	TREE_FANOUT = 2,
};

static int peer_cmp(const void *a, const void *b)
{
	const struct sync_peer *x = a;
	const struct sync_peer *y = b;

	return strcmp(x->m.id, y->m.id);
}

struct sync_peer *sync_peer_find(const struct conf_sync *s, const char *id)
{
	struct sync_peer key;

	snprintf(key.m.id, sizeof(key.m.id), "%s", id);
	return s->n_peers ? bsearch(&key, s->peers, s->n_peers,
				    sizeof(*s->peers), peer_cmp)
			  : NULL;
}

struct sync_domain *sync_domain_find(struct conf_sync *s, const char *name)
{
	for (size_t i = 0; i < s->n_domains; i++) {
		if (strcmp(s->domains[i].name, name) == 0)
			return &s->domains[i];
	}
	return NULL;
}

static void domain_in_view(struct conf_sync *s, const char *name)
{
	struct sync_domain *d = sync_domain_find(s, name);

	if (!d && s->n_domains == CONF_SYNC_DOMAINS_MAX)
		return;
	if (!d) {
		d = &s->domains[s->n_domains++];
		memset(d, 0, sizeof(*d));
		snprintf(d->name, sizeof(d->name), "%s", name);
		d->heard_ms = SYNC_NEVER;
	}
	d->in_view = true;
}

void conf_sync_view(struct conf_sync *s, const struct conf_sync_member *m,
		    size_t n)
{
	struct sync_peer *peers = calloc(n + 1, sizeof(*peers));

	if (!peers)
		return;
	for (size_t i = 0; i < s->n_domains; i++)
		s->domains[i].in_view = false;
	for (size_t i = 0; i < n; i++) {
		const struct sync_peer *old = sync_peer_find(s, m[i].id);

		peers[i].m = m[i];
		peers[i].rev = old ? old->rev : 0;
		domain_in_view(s, m[i].domain);
	}
	qsort(peers, n, sizeof(*peers), peer_cmp);
	free(s->peers);
	s->peers = peers;
	s->n_peers = n;
}

static uint64_t watch_rank(const char *id)
{
	return XXH64(id, strlen(id), 0);
}

bool sync_is_watcher(const struct conf_sync *s, const char *id,
		     const char *domain)
{
	uint64_t rank = watch_rank(id);
	int before = 0;

	if (strcmp(domain, s->domain) == 0 && watch_rank(s->node) < rank)
		before++;
	for (size_t i = 0; i < s->n_peers; i++) {
		const struct conf_sync_member *m = &s->peers[i].m;

		if (m->alive && strcmp(m->domain, domain) == 0 &&
		    watch_rank(m->id) < rank)
			before++;
	}
	return before < CONF_SYNC_WATCHERS;
}

bool conf_sync_watcher(const struct conf_sync *s)
{
	return sync_is_watcher(s, s->node, s->domain);
}

static void push_to(struct conf_sync *s, const char *to)
{
	struct conf_msg m = {
		.type = CONF_MSG_DOC,
		.rev = conf_rev(s->doc),
		.age_ms = -1,
	};

	m.text = conf_text(s->doc, &m.len);
	s->ops->send(s->ctx, to, &m);
}

/// Alive nodes of the own failure domain with this node, in order of id.
///
/// @param[out] self  index of this node
static size_t tree_order(const struct conf_sync *s, const char **ids,
			 size_t *self)
{
	bool placed = false;
	size_t n = 0;

	for (size_t i = 0; i < s->n_peers; i++) {
		const struct conf_sync_member *m = &s->peers[i].m;

		if (!m->alive || strcmp(m->domain, s->domain) != 0)
			continue;
		if (!placed && strcmp(s->node, m->id) < 0) {
			placed = true;
			*self = n;
			ids[n++] = s->node;
		}
		ids[n++] = m->id;
	}
	if (!placed) {
		*self = n;
		ids[n++] = s->node;
	}
	return n;
}

void sync_push(struct conf_sync *s, bool from_kv)
{
	const char **ids = calloc(s->n_peers + 1, sizeof(*ids));
	size_t self = 0;
	size_t n;

	if (!ids)
		return;
	n = tree_order(s, ids, &self);
	if (from_kv && self != 0)
		push_to(s, ids[0]);
	for (size_t i = 1; i <= TREE_FANOUT; i++) {
		if (self * TREE_FANOUT + i < n)
			push_to(s, ids[self * TREE_FANOUT + i]);
	}
	free(ids);
}

void sync_ask(struct conf_sync *s, int64_t now, const char *to)
{
	struct sync_question *q = &s->sent[s->next_sent++ % SYNC_SENT];
	struct conf_msg m = {
		.type = CONF_MSG_ASK,
		.nonce = rng_next(&s->rng) | 1,
		.rev = s->doc ? conf_rev(s->doc) : 0,
		.age_ms = conf_sync_age(s, now),
	};

	q->nonce = m.nonce;
	q->asked_ms = now;
	s->ops->send(s->ctx, to, &m);
}

/// One of the members of a failure domain, alive ones first.
static const char *pick_member(struct conf_sync *s, const char *domain)
{
	const char *alive = NULL;
	const char *any = NULL;
	uint64_t n_alive = 0;
	uint64_t n_any = 0;

	for (size_t i = 0; i < s->n_peers; i++) {
		const struct conf_sync_member *m = &s->peers[i].m;

		if (strcmp(m->domain, domain) != 0)
			continue;
		if (rng_below(&s->rng, ++n_any) == 0)
			any = m->id;
		if (m->alive && rng_below(&s->rng, ++n_alive) == 0)
			alive = m->id;
	}
	return alive ? alive : any;
}

void sync_ask_domains(struct conf_sync *s, int64_t now)
{
	for (size_t i = 0; i < s->n_domains; i++) {
		const char *id = pick_member(s, s->domains[i].name);

		if (id)
			sync_ask(s, now, id);
	}
}

void sync_ask_watcher(struct conf_sync *s, int64_t now)
{
	const char *ids[CONF_SYNC_WATCHERS];
	size_t n = 0;

	for (size_t i = 0; i < s->n_peers && n < CONF_SYNC_WATCHERS; i++) {
		const struct conf_sync_member *m = &s->peers[i].m;

		if (m->alive && strcmp(m->domain, s->domain) == 0 &&
		    sync_is_watcher(s, m->id, m->domain))
			ids[n++] = m->id;
	}
	if (n > 0)
		sync_ask(s, now, ids[s->turn++ % n]);
}

uint64_t conf_sync_member_rev(const struct conf_sync *s, const char *id)
{
	const struct sync_peer *p = sync_peer_find(s, id);

	return p ? p->rev : 0;
}

void conf_sync_ask_missing(struct conf_sync *s, int64_t now, uint64_t rev)
{
	for (size_t i = 0; i < s->n_peers; i++) {
		if (s->peers[i].rev < rev)
			sync_ask(s, now, s->peers[i].m.id);
	}
}
