// Selects the peers that watch the store, are queried or get a push.
#include "sync_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

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

static void domain_add_member(struct conf_sync *s, const char *name)
{
	struct sync_domain *d = sync_domain_find(s, name);

	if (!d && s->n_domains == CONF_SYNC_DOMAINS_MAX)
		return;
	if (!d) {
		d = &s->domains[s->n_domains++];
		memset(d, 0, sizeof(*d));
		snprintf(d->name, sizeof(d->name), "%s", name);
		d->answered_ms = SYNC_NEVER;
	}
	d->has_members = true;
}

static uint64_t watcher_rank(const char *id)
{
	return XXH64(id, strlen(id), 0);
}

/// Insert a node into the watchers if its rank is among the lowest.
static void watcher_insert(struct conf_sync *s, const char *id)
{
	size_t pos = s->n_watchers;

	while (pos > 0 && watcher_rank(id) < watcher_rank(s->watchers[pos - 1]))
		pos--;
	if (pos == CONF_SYNC_WATCHERS)
		return;
	if (s->n_watchers < CONF_SYNC_WATCHERS)
		s->n_watchers++;
	memmove(&s->watchers[pos + 1], &s->watchers[pos],
		(s->n_watchers - 1 - pos) * sizeof(s->watchers[0]));
	s->watchers[pos] = id;
}

void sync_select_watchers(struct conf_sync *s)
{
	s->n_watchers = 0;
	watcher_insert(s, s->node);
	for (size_t i = 0; i < s->n_peers; i++) {
		const struct conf_sync_member *m = &s->peers[i].m;

		if (m->alive && strcmp(m->domain, s->domain) == 0)
			watcher_insert(s, m->id);
	}
	s->is_watcher = false;
	for (size_t i = 0; i < s->n_watchers; i++)
		s->is_watcher |= s->watchers[i] == s->node;
}

bool conf_sync_is_watcher(const struct conf_sync *s)
{
	return s->is_watcher;
}

void conf_sync_set_members(struct conf_sync *s,
			   const struct conf_sync_member *m, size_t n)
{
	struct sync_peer *peers = calloc(n + 1, sizeof(*peers));

	if (!peers)
		return;
	for (size_t i = 0; i < s->n_domains; i++)
		s->domains[i].has_members = false;
	for (size_t i = 0; i < n; i++) {
		const struct sync_peer *old = sync_peer_find(s, m[i].id);

		peers[i].m = m[i];
		peers[i].rev = old ? old->rev : 0;
		domain_add_member(s, m[i].domain);
	}
	qsort(peers, n, sizeof(*peers), peer_cmp);
	free(s->peers);
	s->peers = peers;
	s->n_peers = n;
	sync_select_watchers(s);
}

static void send_doc(struct conf_sync *s, const char *to)
{
	struct conf_msg m = {
		.type = CONF_MSG_DOC,
		.rev = conf_rev(s->doc),
		.age_ms = -1,
	};

	m.text = conf_text(s->doc, &m.len);
	s->ops->send(s->ctx, to, &m);
}

/// Next alive node of the own failure domain in the ring of ids, or NULL.
static const char *ring_next(const struct conf_sync *s)
{
	const char *first = NULL;

	for (size_t i = 0; i < s->n_peers; i++) {
		const struct conf_sync_member *m = &s->peers[i].m;

		if (!m->alive || strcmp(m->domain, s->domain) != 0)
			continue;
		if (strcmp(m->id, s->node) > 0)
			return m->id;
		if (!first)
			first = m->id;
	}
	return first;
}

void sync_push(struct conf_sync *s)
{
	const char *next = ring_next(s);

	if (next)
		send_doc(s, next);
}

void sync_query(struct conf_sync *s, int64_t now, const char *to)
{
	struct sync_request *req =
		&s->requests[s->next_request++ % SYNC_REQUESTS_MAX];
	struct conf_msg m = {
		.type = CONF_MSG_QUERY,
		.nonce = rng_next(&s->rng) | 1,
		.rev = s->doc ? conf_rev(s->doc) : 0,
		.age_ms = conf_sync_age_ms(s, now),
	};

	req->nonce = m.nonce;
	req->sent_ms = now;
	s->ops->send(s->ctx, to, &m);
}

/// Random member of a failure domain, an alive one if there is any.
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

void sync_query_domains(struct conf_sync *s, int64_t now)
{
	for (size_t i = 0; i < s->n_domains; i++) {
		const char *id = pick_member(s, s->domains[i].name);

		if (id)
			sync_query(s, now, id);
	}
}

void sync_query_watcher(struct conf_sync *s, int64_t now)
{
	sync_query(s, now, s->watchers[s->next_watcher++ % s->n_watchers]);
}

uint64_t conf_sync_member_rev(const struct conf_sync *s, const char *id)
{
	const struct sync_peer *p = sync_peer_find(s, id);

	return p ? p->rev : 0;
}

void conf_sync_query_missing(struct conf_sync *s, int64_t now, uint64_t rev)
{
	for (size_t i = 0; i < s->n_peers; i++) {
		if (s->peers[i].rev < rev)
			sync_query(s, now, s->peers[i].m.id);
	}
}
