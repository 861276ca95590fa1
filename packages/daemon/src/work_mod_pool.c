// Pools of backend servers and their queues.
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "conf/conf.h"
#include "daemon/conf_mod.h"
#include "work_mod_int.h"

enum {
	POOL_QUEUE_CAP = WORK_REQUESTS_MAX,
	POOL_FAULT_BACKOFF_MS = 1000, ///< of a server with inconsistent slots
	POOL_DEFAULT_MAX_QUEUED = 10000, ///< without a configuration
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
	if (s->n_pools == WORK_POOLS_MAX ||
	    strlen(service) >= sizeof(p->service))
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
		free(s->servers[i].coordinator);
	free(s->servers);
}

static void pool_fill_request(struct core *c, const struct work *w,
			      struct admit_request *r, struct admit_bounds *b)
{
	const struct conf *conf = conf_mod_current(c);
	struct conf_scope scope = {
		.team = w->opts.team,
		.domain = core_domain(c),
	};
	bool booking = w->opts.cls == WORK_BOOKING;

	*r = (struct admit_request){
		.level = booking ? ADMIT_PRIORITY : ADMIT_FAIR_SHARE,
		.rank = (uint8_t)w->opts.cls,
		.team = XXH64(w->opts.team, strlen(w->opts.team), 1),
		.weight = 1,
		.cost = w->opts.cost,
		.deadline_ms = w->opts.deadline_ms,
		.user = w->h,
	};
	*b = (struct admit_bounds){POOL_DEFAULT_MAX_QUEUED,
				   POOL_DEFAULT_MAX_QUEUED};
	if (!conf)
		return;
	r->weight = (uint32_t)conf_get_int(conf, CF_TEAM_WEIGHT, &scope);
	b->total = (size_t)conf_get_int(conf, CF_QUEUE_MAX, &scope);
	b->team = (size_t)conf_get_int(conf, CF_TEAM_MAX_QUEUED, &scope);
}

static void pool_evict(struct core *c, uint32_t handle)
{
	struct work *w = htab_get(work_state(c)->requests, handle);

	w->queue_entry = 0;
	work_give_up(c, w, ERR_ADMIT_EVICTED);
}

static enum err pool_enqueue(struct core *c, struct work *w,
			     int64_t *retry_after_ms)
{
	htab_handle h = w->h;
	struct admit_request r;
	struct admit_bounds b;
	struct admit_result res;

	pool_fill_request(c, w, &r, &b);
	res = admit_push(w->pool->queue, core_now(c), &r, &b);
	if (res.err != ERR_OK) {
		*retry_after_ms = res.retry_after_ms;
		return res.err;
	}
	w->queue_entry = res.h;
	w->queued_ms = core_now(c);
	w->pool->last_request_ms = core_now(c);
	if (res.evicted)
		pool_evict(c, res.evicted_user);
	/* The evicted request's on_done may have ended this one, too. */
	w = htab_get(work_state(c)->requests, h);
	if (w && w->pool)
		work_pool_dispatch(c, w->pool);
	return ERR_OK;
}

enum err work_place(struct core *c, struct work *w, int64_t *retry_after_ms)
{
	work_server_sync(c);
	w->pool = work_pool_get(work_state(c), w->opts.kind, w->opts.service);
	if (!w->pool)
		return ERR_ADMIT_FULL;
	if (w->pool->n_live > 0)
		return pool_enqueue(c, w, retry_after_ms);
	*retry_after_ms = WORK_NO_SERVER_RETRY_AFTER_MS;
	return work_attempt_forward(c, w);
}

void work_pool_adjust_cost(struct core *c, const struct work *w,
			   uint64_t served)
{
	struct admit_request r;
	struct admit_bounds b;

	pool_fill_request(c, w, &r, &b);
	admit_settle(w->pool->queue, r.team, r.weight, r.cost, served);
}

void work_dequeue(struct work *w)
{
	if (!w->queue_entry)
		return;
	admit_cancel(w->pool->queue, w->queue_entry);
	w->queue_entry = 0;
}

struct work *work_pool_peek(struct core *c, const struct work_pool *p)
{
	uint32_t user;

	if (!admit_peek(p->queue, &user))
		return NULL;
	return htab_get(work_state(c)->requests, user);
}

struct work *work_pool_pop(struct core *c, struct work_pool *p)
{
	uint32_t user;
	struct work *w;

	if (!admit_pop(p->queue, &user))
		return NULL;
	w = htab_get(work_state(c)->requests, user);
	w->queue_entry = 0;
	return w;
}

static void pool_send(struct core *c, struct work *w, struct work_server *srv)
{
	enum err e;

	work_pool_pop(c, w->pool);
	if (!slot_holder_acquire(&srv->holder, core_now(c))) {
		log_event(
			EV_WORK_FAULT,
			"what=server-picked-without-slot request=%llu server=%s",
			(unsigned long long)w->id, srv->id);
		w->pending_err = ERR_FULL;
		/* The next queued requests go to other servers. */
		srv->backoff_until_ms = core_now(c) + POOL_FAULT_BACKOFF_MS;
		return;
	}
	e = work_attempt_send(c, w, srv);
	if (e != ERR_OK) {
		slot_holder_release(&srv->holder, SLOT_CANCELLED, 0);
		w->pending_err = e;
	}
	route_prefix_cached(srv->pool->route, w->opts.prefix,
			    (int)(srv - work_state(c)->servers), core_now(c));
	work_server_update_route(c, srv);
}

void work_pool_dispatch(struct core *c, struct work_pool *p)
{
	struct work *w = work_pool_peek(c, p);

	while (w) {
		struct work_server *srv = work_pick_server(c, w);

		if (!srv) {
			work_slot_request(c);
			srv = work_pick_server(c, w);
		}
		if (!srv)
			return;
		pool_send(c, w, srv);
		w = work_pool_peek(c, p);
	}
}

/* No usable server is left here: forward all queued requests. */
static void pool_forward_queued(struct core *c, struct work_pool *p)
{
	struct work *w;

	while ((w = work_pool_pop(c, p))) {
		enum err e = work_attempt_forward(c, w);

		if (e != ERR_OK)
			w->pending_err = e;
	}
}

/* No progress: fail queued requests now instead of at their deadlines. */
static void pool_shed(struct core *c, struct work_pool *p)
{
	/* on_done may submit again: shed only what is queued now. */
	for (size_t n = admit_count(p->queue); n > 0; n--) {
		struct work *w = work_pool_pop(c, p);

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
			pool_forward_queued(c, p);
		else if (admit_stalled(p->queue, now))
			pool_shed(c, p);
		else
			work_pool_dispatch(c, p);
		work_spill_tick(c, p);
	}
}
