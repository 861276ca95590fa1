// Who is alive: nodes with a path of links from this node and back.
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "state.h"

struct graph {
	int n;
	int out[REC_MAX][REC_HEARD]; ///< nodes that a node hears
	int n_out[REC_MAX];
};

bool reach_heard(const struct member *m, const struct rec *r)
{
	return r->heard_ms && m->now_ms - r->heard_ms <= m->opts.silence_ms;
}

static int add_links(const struct member *m, bool neighbours, uint32_t *out,
		     int n)
{
	for (int i = 1; i < m->t.n && n < REC_HEARD; i++) {
		const struct rec *r = m->t.recs[i];

		if (r->neighbour == neighbours && !r->left && r->inc &&
		    reach_heard(m, r))
			out[n++] = r->hash;
	}
	return n;
}

static int by_hash(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/// Sort a list and store it.
///
/// @return true if it changed
static bool list_update(uint32_t *to, int *n_to, uint32_t *from, int n)
{
	size_t size = (size_t)n * sizeof(*from);

	qsort(from, (size_t)n, sizeof(*from), by_hash);
	if (n == *n_to && memcmp(from, to, size) == 0)
		return false;
	memcpy(to, from, size);
	*n_to = n;
	return true;
}

bool reach_update_links(struct member *m)
{
	struct rec *self = m->t.recs[SELF];
	uint32_t heard[REC_HEARD];
	uint32_t domains[MEMBER_DOMAINS];
	int n = add_links(m, true, heard, 0);
	bool changed;

	n = add_links(m, false, heard, n);
	changed = list_update(self->heard, &self->n_heard, heard, n);
	n = summary_heard_domains(m, domains);
	changed |= list_update(self->domains, &self->n_domains, domains, n);
	return changed;
}

static void graph_build(const struct member *m, struct graph *g)
{
	g->n = m->t.n;
	for (int i = 0; i < g->n; i++) {
		const struct rec *r = m->t.recs[i];

		g->n_out[i] = 0;
		if (r->inc == 0 || r->left)
			continue;
		for (int k = 0; k < r->n_heard; k++) {
			int to = rec_find_hash(&m->t, r->heard[k]);

			if (to != REC_NONE && m->t.recs[to]->inc &&
			    !m->t.recs[to]->left)
				g->out[i][g->n_out[i]++] = to;
		}
	}
}

/// Nodes with a path of links from this one: it receives from them.
static void find_reachable(const struct graph *g, bool *seen)
{
	int queue[REC_MAX];
	int head = 0, tail = 0;

	memset(seen, 0, REC_MAX * sizeof(*seen));
	seen[SELF] = true;
	queue[tail++] = SELF;
	while (head < tail) {
		int u = queue[head++];

		for (int k = 0; k < g->n_out[u]; k++) {
			int v = g->out[u][k];

			if (!seen[v])
				queue[tail++] = v;
			seen[v] = true;
		}
	}
}

static bool hears_any(const struct graph *g, int u, const bool *seen)
{
	for (int k = 0; k < g->n_out[u]; k++) {
		if (seen[g->out[u][k]])
			return true;
	}
	return false;
}

/// Nodes with a path of links to this one: they receive from it.
static void find_reaching(const struct graph *g, bool *seen)
{
	bool more = true;

	memset(seen, 0, REC_MAX * sizeof(*seen));
	seen[SELF] = true;
	while (more) {
		more = false;
		for (int u = 0; u < g->n; u++) {
			if (seen[u] || !hears_any(g, u, seen))
				continue;
			seen[u] = true;
			more = true;
		}
	}
}

static void set_state(struct member *m, struct rec *r, bool reachable,
		      bool reaching)
{
	r->reachable = reachable;
	if (reachable && reaching) {
		r->state = MEMBER_ALIVE;
		r->alive_ms = m->now_ms;
		return;
	}
	if (r->state == MEMBER_ALIVE) {
		r->lost_ms = m->now_ms;
		r->state = MEMBER_SUSPECT;
	}
	if (r->left)
		r->state = MEMBER_DEAD;
}

static uint64_t digest(const struct member *m)
{
	uint64_t sum = 0;

	for (int i = 0; i < m->t.n; i++) {
		const struct rec *r = m->t.recs[i];
		uint64_t v[2 + REC_PARTS] = {r->hash, r->inc};

		for (int k = 0; k < REC_PARTS; k++)
			v[2 + k] = r->seq[k];
		if (r->state == MEMBER_ALIVE)
			sum ^= XXH64(v, sizeof(v), 0);
	}
	return sum;
}

void reach_update(struct member *m)
{
	static _Thread_local struct graph g;
	bool reachable[REC_MAX], reaching[REC_MAX];

	m->dirty = false;
	graph_build(m, &g);
	find_reachable(&g, reachable);
	find_reaching(&g, reaching);
	for (int i = 1; i < m->t.n; i++)
		set_state(m, m->t.recs[i], reachable[i], reaching[i]);
	ring_update(m);
	m->digest = digest(m);
	view_update(m);
}

void reach_expire(struct member *m)
{
	for (int i = m->t.n - 1; i > SELF; i--) {
		struct rec *r = m->t.recs[i];
		int64_t lost_for_ms = m->now_ms - r->lost_ms;

		if (r->state == MEMBER_SUSPECT && !r->reachable &&
		    lost_for_ms >= m->opts.suspect_ms) {
			r->state = MEMBER_DEAD;
			m->dirty = true;
		}
		if (r->state != MEMBER_DEAD ||
		    lost_for_ms < m->opts.forget_ms || r->seed)
			continue;
		if (r->connected)
			action_disconnect(m, r->id);
		rec_del(&m->t, i);
		m->dirty = true;
	}
}
