// Admission queue of one pool of backend servers.
#include "admit/admit.h"

#include <stdlib.h>

#include "heap.h"

enum {
	INDEX_BITS = 20,
	INDEX_MASK = (1 << INDEX_BITS) - 1,
	RETRY_MIN_MS = 100,
	RETRY_MAX_MS = 10000,
	RATE_WINDOW_MS = 2000,
};

/// Virtual time of one unit of cost at weight 1 (cost / weight in fixed point).
static const uint64_t VTIME_SCALE = 1024;

struct admit_team {
	uint64_t name; ///< hash, 0: unused
	uint32_t roots[ADMIT_LEVELS];
	uint32_t n; ///< queued
	uint64_t vtime; ///< virtual time: sum of charges
};

struct admit {
	struct admit_item *items; ///< 0 is none
	size_t cap;
	uint32_t free_head;
	size_t n;
	size_t n_queued[ADMIT_LEVELS];
	struct admit_team teams[ADMIT_MAX_TEAMS];
	uint64_t vclock; ///< virtual time of the team served last
	int64_t progress_ms; ///< last progress, or push to an empty queue
	int64_t rate_start_ms;
	uint64_t rate_cost; ///< served in the window
	double cost_per_ms; ///< 0 before the first window
	uint64_t queued_cost;
};

struct admit *admit_new(size_t cap)
{
	struct admit *a;

	if (cap == 0 || cap >= INDEX_MASK)
		return NULL;
	a = calloc(1, sizeof(*a));
	if (!a)
		return NULL;
	a->items = calloc(cap + 1, sizeof(*a->items));
	if (!a->items) {
		free(a);
		return NULL;
	}
	a->cap = cap;
	for (size_t i = 1; i < cap; i++)
		a->items[i].next_free = (uint32_t)i + 1;
	a->free_head = 1;
	return a;
}

void admit_free(struct admit *a)
{
	if (!a)
		return;
	free(a->items);
	free(a);
}

size_t admit_count(const struct admit *a)
{
	return a->n;
}

/* Finds or creates a team's entry; a new one replaces the team without queued
 * requests that has the lowest virtual time. */
static struct admit_team *admit_get_team(struct admit *a, uint64_t name)
{
	struct admit_team *idle = NULL;

	for (size_t i = 0; i < ADMIT_MAX_TEAMS; i++) {
		struct admit_team *t = &a->teams[i];

		if (t->name == name)
			return t;
		if (t->n == 0 && (!idle || t->vtime < idle->vtime))
			idle = t;
	}
	if (idle)
		*idle = (struct admit_team){.name = name};
	return idle;
}

static admit_handle admit_handle_of(const struct admit *a, uint32_t i)
{
	return (uint32_t)a->items[i].gen << INDEX_BITS | i;
}

static void item_free(struct admit *a, uint32_t i)
{
	struct admit_item *it = &a->items[i];

	a->n--;
	a->n_queued[it->level]--;
	a->queued_cost -= it->cost;
	it->gen = (it->gen + 1) & 0xfff;
	it->level = ADMIT_LEVELS; /* not queued */
	it->next_free = a->free_head;
	a->free_head = i;
}

static void item_remove(struct admit *a, uint32_t i)
{
	struct admit_item *it = &a->items[i];
	struct admit_team *t = &a->teams[it->team];
	uint32_t *root = &t->roots[it->level];

	*root = heap_remove(a->items, *root, i);
	t->n--;
	item_free(a, i);
}

/* Time to serve the backlog, within limits. */
static int64_t admit_retry_after_ms(const struct admit *a)
{
	double ms = a->cost_per_ms > 0 ? (double)a->queued_cost / a->cost_per_ms
				       : RETRY_MAX_MS;

	if (ms < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (int64_t)ms;
}

/* Evicts a request of the team with the most queued ones. */
static bool admit_evict(struct admit *a, const struct admit_team *pushing,
			uint32_t *user)
{
	struct admit_team *largest = NULL;
	uint32_t i;

	for (size_t k = 0; k < ADMIT_MAX_TEAMS; k++) {
		struct admit_team *t = &a->teams[k];

		if (t->roots[ADMIT_FAIR_SHARE] &&
		    (!largest || t->n > largest->n))
			largest = t;
	}
	if (!largest || largest == pushing || largest->n <= pushing->n + 1)
		return false;
	i = heap_last(a->items, largest->roots[ADMIT_FAIR_SHARE]);
	*user = a->items[i].user;
	item_remove(a, i);
	return true;
}

bool admit_stalled(const struct admit *a, int64_t now)
{
	return a->n > 0 && now - a->progress_ms >= ADMIT_STALL_MS;
}

static void admit_insert(struct admit *a, struct admit_team *t,
			 const struct admit_request *r, uint32_t i)
{
	struct admit_item *it = &a->items[i];

	a->free_head = it->next_free;
	*it = (struct admit_item){
		.npl = 1,
		.gen = it->gen,
		.team = (uint16_t)(t - a->teams),
		.level = (uint8_t)r->level,
		.rank = r->rank,
		.deadline_ms = r->deadline_ms,
		.cost = r->cost,
		.charge = r->cost * VTIME_SCALE / r->weight,
		.user = r->user,
	};
	/* An idle team accumulates no credit. */
	if (t->n == 0 && t->vtime < a->vclock)
		t->vtime = a->vclock;
	t->roots[r->level] = heap_merge(a->items, t->roots[r->level], i);
	t->n++;
	a->n++;
	a->n_queued[r->level]++;
	a->queued_cost += r->cost;
}

struct admit_result admit_push(struct admit *a, int64_t now,
			       const struct admit_request *r,
			       const struct admit_bounds *bounds)
{
	struct admit_result res = {.err = ERR_OK};
	struct admit_team *t = admit_get_team(a, r->team);
	size_t total = bounds->total < a->cap ? bounds->total : a->cap - 1;

	if (a->n == 0)
		a->progress_ms = now;
	if (!t)
		res.err = ERR_ADMIT_FULL;
	else if (admit_stalled(a, now))
		res.err = ERR_ADMIT_STALLED;
	else if (t->n >= bounds->team)
		res.err = ERR_ADMIT_TEAM_FULL;
	else if (a->n >= total &&
		 !(res.evicted = admit_evict(a, t, &res.evicted_user)))
		res.err = ERR_ADMIT_FULL;
	if (res.err != ERR_OK) {
		res.retry_after_ms = admit_retry_after_ms(a);
		return res;
	}
	if (res.evicted)
		res.retry_after_ms = admit_retry_after_ms(a);
	res.h = admit_handle_of(a, a->free_head);
	admit_insert(a, t, r, a->free_head);
	return res;
}

/* Team with the lowest virtual time among those with requests on a level. */
static struct admit_team *admit_next_team(struct admit *a, int level)
{
	struct admit_team *best = NULL;

	for (size_t i = 0; i < ADMIT_MAX_TEAMS; i++) {
		struct admit_team *t = &a->teams[i];

		if (t->roots[level] && (!best || t->vtime < best->vtime))
			best = t;
	}
	return best;
}

/* Index of the request that runs next, 0 if the queue is empty. */
static uint32_t admit_next(struct admit *a)
{
	int level =
		a->n_queued[ADMIT_PRIORITY] ? ADMIT_PRIORITY : ADMIT_FAIR_SHARE;
	const struct admit_team *t = admit_next_team(a, level);

	return t ? t->roots[level] : 0;
}

bool admit_peek(struct admit *a, uint32_t *user)
{
	uint32_t i = admit_next(a);

	*user = a->items[i].user;
	return i != 0;
}

bool admit_pop(struct admit *a, uint32_t *user)
{
	uint32_t i = admit_next(a);
	struct admit_team *t = &a->teams[a->items[i].team];

	if (!i)
		return false;
	*user = a->items[i].user;
	if (t->vtime > a->vclock)
		a->vclock = t->vtime;
	t->vtime += a->items[i].charge;
	item_remove(a, i);
	return true;
}

bool admit_cancel(struct admit *a, admit_handle h)
{
	uint32_t i = h & INDEX_MASK;

	if (i == 0 || i > a->cap || admit_handle_of(a, i) != h ||
	    a->items[i].level >= ADMIT_LEVELS)
		return false;
	item_remove(a, i);
	return true;
}

void admit_settle(struct admit *a, uint64_t team, uint32_t weight,
		  uint64_t expected, uint64_t served)
{
	struct admit_team *t = admit_get_team(a, team);

	if (!t)
		return;
	expected = expected * VTIME_SCALE / weight;
	served = served * VTIME_SCALE / weight;
	if (served >= expected)
		t->vtime += served - expected;
	else
		t->vtime -= expected - served < t->vtime ? expected - served
							 : t->vtime;
}

void admit_progress(struct admit *a, int64_t now, uint64_t cost)
{
	int64_t span = now - a->rate_start_ms;

	a->progress_ms = now;
	a->rate_cost += cost;
	if (span < RATE_WINDOW_MS)
		return;
	a->cost_per_ms = (double)a->rate_cost / (double)span;
	a->rate_start_ms = now;
	a->rate_cost = 0;
}
