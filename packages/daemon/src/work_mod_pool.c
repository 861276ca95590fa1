// Pools of backend servers and their queues.
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "conf/conf.h"
#include "daemon/conf_mod.h"
#include "work_mod_int.h"

enum {
	POOL_QUEUE_CAP = WORK_CAP,
	POOL_FAULT_MS = 1000, ///< without work, after its slots contradict
	POOL_DEFAULT_MAX = 10000, ///< waiting, without a configuration
};

struct work_pool *work_pool_get(struct work_state *s, enum vm_kind kind,
				const char *service)
{
	struct work_pool *p;

	for (size_t i = 0; i < s->n_pools; i++) {
		p = &s->pools[i];
		if (p->kind == kind && strcmp(p->service, service) == 0)
			return p;
	}
	if (s->n_pools == WORK_POOLS || strlen(service) >= sizeof(p->service))
		return NULL;
	p = &s->pools[s->n_pools];
	*p = (struct work_pool){.kind = kind};
	strcpy(p->service, service);
	p->queue = admit_new(POOL_QUEUE_CAP);
	p->route = route_new();
	if (!p->queue || !p->route) {
		admit_free(p->queue);
		route_free(p->route);
		return NULL;
	}
	s->n_pools++;
	return p;
}

void work_pool_stop(struct work_state *s)
{
	for (size_t i = 0; i < s->n_pools; i++) {
		admit_free(s->pools[i].queue);
		route_free(s->pools[i].route);
	}
	for (size_t i = 0; s->servers && i < s->n_servers; i++)
		free(s->servers[i].steward);
	free(s->servers);
}

static void pool_request(struct core *c, const struct work *w,
			 struct admit_request *r, struct admit_bounds *b)
{
	const struct conf *conf = conf_mod_current(c);
	struct conf_scope scope = {
		.team = w->o.team,
		.domain = core_domain(c),
	};
	bool booking = w->o.cls == WORK_BOOKING;

	*r = (struct admit_request){
		.level = booking ? ADMIT_FIRST : ADMIT_SHARED,
		.rank = (uint8_t)w->o.cls,
		.team = XXH64(w->o.team, strlen(w->o.team), 1),
		.weight = 1,
		.cost = w->o.cost,
		.deadline_ms = w->o.deadline_ms,
		.user = w->h,
	};
	*b = (struct admit_bounds){POOL_DEFAULT_MAX, POOL_DEFAULT_MAX};
	if (!conf)
		return;
	r->weight = (uint32_t)conf_int(conf, CF_TEAM_WEIGHT, &scope);
	b->total = (size_t)conf_int(conf, CF_QUEUE_MAX, &scope);
	b->team = (size_t)conf_int(conf, CF_TEAM_MAX_QUEUED, &scope);
}

static void pool_evict(struct core *c, uint32_t handle)
{
	struct work *w = htab_get(work_state(c)->works, handle);

	w->queued = 0;
	work_give_up(c, w, ERR_ADMIT_EVICTED);
}

static enum err pool_enqueue(struct core *c, struct work *w,
			     int64_t *retry_after_ms)
{
	htab_handle h = w->h;
	struct admit_request r;
	struct admit_bounds b;
	struct admit_result res;

	pool_request(c, w, &r, &b);
	res = admit_push(w->pool->queue, core_now(c), &r, &b);
	if (res.err != ERR_OK) {
		*retry_after_ms = res.retry_after_ms;
		return res.err;
	}
	w->queued = res.h;
	w->queued_ms = core_now(c);
	w->pool->active_ms = core_now(c);
	if (res.evicted)
		pool_evict(c, res.evicted_user);
	/* Ending the evicted one may have ended this one, too. */
	w = htab_get(work_state(c)->works, h);
	if (w && w->pool)
		work_pump(c, w->pool);
	return ERR_OK;
}

enum err work_place(struct core *c, struct work *w, int64_t *retry_after_ms)
{
	work_server_sync(c);
	w->pool = work_pool_get(work_state(c), w->o.kind, w->o.service);
	if (!w->pool)
		return ERR_ADMIT_FULL;
	if (w->pool->n_live > 0)
		return pool_enqueue(c, w, retry_after_ms);
	*retry_after_ms = WORK_NO_SERVER_RETRY_MS;
	return work_attempt_forward(c, w);
}

void work_pool_settle(struct core *c, const struct work *w, uint64_t served)
{
	struct admit_request r;
	struct admit_bounds b;

	pool_request(c, w, &r, &b);
	admit_settle(w->pool->queue, r.team, r.weight, r.cost, served);
}

void work_unqueue(struct work *w)
{
	if (!w->queued)
		return;
	admit_cancel(w->pool->queue, w->queued);
	w->queued = 0;
}

struct work *work_pool_head(struct core *c, const struct work_pool *p)
{
	uint32_t user;

	if (!admit_peek(p->queue, &user))
		return NULL;
	return htab_get(work_state(c)->works, user);
}

struct work *work_pool_take(struct core *c, struct work_pool *p)
{
	uint32_t user;
	struct work *w;

	if (!admit_pop(p->queue, &user))
		return NULL;
	w = htab_get(work_state(c)->works, user);
	w->queued = 0;
	return w;
}

static void pool_send(struct core *c, struct work *w, struct work_server *v)
{
	enum err e;

	work_pool_take(c, w->pool);
	if (!slot_holder_take(&v->holder, core_now(c))) {
		log_event(EV_WORK_FAULT,
			  "what=picked-without-slot request=%llu server=%s",
			  (unsigned long long)w->id, v->id);
		w->failed = ERR_FULL;
		/* Those behind it in the queue go to other servers. */
		v->down_until_ms = core_now(c) + POOL_FAULT_MS;
		return;
	}
	e = work_attempt_fetch(c, w, v);
	if (e != ERR_OK) {
		slot_holder_put(&v->holder, SLOT_CANCELLED, 0);
		w->failed = e;
	}
	route_cached(v->pool->route, w->o.prefix,
		     (int)(v - work_state(c)->servers), core_now(c));
	work_server_changed(c, v);
}

void work_pump(struct core *c, struct work_pool *p)
{
	struct work *w = work_pool_head(c, p);

	while (w) {
		struct work_server *v = work_pick_server(c, w);

		if (!v) {
			work_slot_ask(c);
			v = work_pick_server(c, w);
		}
		if (!v)
			return;
		pool_send(c, w, v);
		w = work_pool_head(c, p);
	}
}

/* The failure domain lost its last server: what waits goes elsewhere. */
static void pool_move(struct core *c, struct work_pool *p)
{
	struct work *w;

	while ((w = work_pool_take(c, p))) {
		enum err e = work_attempt_forward(c, w);

		if (e != ERR_OK)
			w->failed = e;
	}
}

/* Nothing moves: what waits is told so now, not at its deadline. */
static void pool_shed(struct core *c, struct work_pool *p)
{
	/* Those told may submit anew: only what waits now is shed. */
	for (size_t n = admit_count(p->queue); n > 0; n--) {
		struct work *w = work_pool_take(c, p);

		if (w)
			work_give_up(c, w, ERR_ADMIT_STALLED);
	}
}

void work_pool_tick(struct core *c, int64_t now)
{
	struct work_state *s = work_state(c);

	for (size_t i = 0; i < s->n_pools; i++) {
		struct work_pool *p = &s->pools[i];

		if (p->n_live == 0)
			pool_move(c, p);
		else if (admit_stalled(p->queue, now))
			pool_shed(c, p);
		else
			work_pump(c, p);
		work_spill_tick(c, p);
	}
}
