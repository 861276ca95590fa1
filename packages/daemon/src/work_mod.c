// Module work: lifecycle, readiness and status of request forwarding.
#include "daemon/work_mod.h"

#include <jansson.h>
#include <stdlib.h>

#include "daemon/mods.h"
#include "work_mod_int.h"

enum {
	WORK_READY_MIN_MS = 1500, ///< members and servers are known by then
	WORK_READY_MAX_MS = 15000, ///< then ready in any case
};

static enum err work_new(struct core *c, struct work_state **out)
{
	struct work_state *s = calloc(1, sizeof(*s));

	if (!s)
		return ERR_NOMEM;
	s->requests = htab_new(WORK_REQUESTS_MAX, sizeof(struct work));
	s->servers = calloc(WORK_SERVERS_MAX, sizeof(*s->servers));
	s->incarnation_hash = strtoull(core_incarnation(c), NULL, 16) | 1;
	s->rng.state = s->incarnation_hash;
	s->started_ms = core_now(c);
	attempt_budget_init(&s->retry_budget, WORK_RETRY_BUDGET);
	*out = s;
	return s->requests && s->servers ? ERR_OK : ERR_NOMEM;
}

static enum err work_start(struct core *c, void **state)
{
	struct work_state *s = NULL;
	enum err e = work_new(c, &s);

	*state = s;
	if (e == ERR_OK)
		e = work_peer_out_start(c);
	if (e == ERR_OK)
		e = work_slot_start(c);
	if (e == ERR_OK)
		e = work_peer_in_start(c, s);
	if (e == ERR_OK)
		e = work_claim_start(c, s);
	if (e == ERR_OK)
		e = work_call_start(c, s);
	return e;
}

static void work_expire(struct core *c, struct work_state *s, int64_t now)
{
	struct work *w;
	size_t iter = 0;

	while ((w = htab_next(s->requests, &iter, NULL))) {
		if (w->pending_err != ERR_OK)
			work_give_up(c, w, w->pending_err);
		else if (now >= w->opts.deadline_ms)
			work_give_up(c, w, ERR_WORK_DEADLINE);
	}
}

static bool work_coordinator_ready(const struct work_server *srv, int64_t now)
{
	return srv->coordinator &&
	       slot_coordinator_ready(srv->coordinator, now);
}

/* Whether a server's coordinator on this node may not grant slots yet. */
static bool work_grants_pending(const struct work_state *s, int64_t now)
{
	for (size_t i = 0; i < s->n_servers; i++) {
		const struct work_server *srv = &s->servers[i];

		if (srv->live && srv->coordinator &&
		    !work_coordinator_ready(srv, now))
			return true;
	}
	return false;
}

/* A new node is ready once it can send requests, not only queue them. Later
 * waits, as coordinators change, don't matter: other nodes would wait as well. */
static void work_ready_tick(struct work_state *s, int64_t now)
{
	int64_t up = now - s->started_ms;

	if (s->ready || up < WORK_READY_MIN_MS)
		return;
	s->ready = up >= WORK_READY_MAX_MS || !work_grants_pending(s, now);
}

static bool work_ready(struct core *c, void *state)
{
	const struct work_state *s = state;

	return s->ready;
}

static void work_tick(struct core *c, void *state, int64_t now_ms)
{
	work_server_sync(c);
	work_expire(c, state, now_ms);
	work_slot_tick(c, now_ms);
	work_ready_tick(state, now_ms);
	work_load_tick(c, now_ms);
	work_pool_tick(c, now_ms);
	work_peer_tick(c, now_ms);
	work_peer_in_tick(c, now_ms);
	work_claim_tick(c, now_ms);
	work_keyed_tick(c, now_ms);
}

static bool work_idle(struct core *c, void *state)
{
	struct work_state *s = state;

	return htab_count(s->requests) == 0 &&
	       htab_count(s->inbound_requests) == 0 &&
	       htab_count(s->calls) == 0;
}

static json_t *work_status_pools(const struct work_state *s)
{
	json_t *all = json_array();

	for (size_t i = 0; i < s->n_pools; i++) {
		const struct work_pool *p = &s->pools[i];

		json_array_append_new(
			all,
			json_pack("{s:s, s:i, s:I}", "pool",
				  p->kind == VM_ENGINE ? "engines" : p->service,
				  "live", p->n_live, "waiting",
				  (json_int_t)admit_count(p->queue)));
	}
	return all;
}

static json_t *work_status_servers(const struct work_state *s, int64_t now)
{
	json_t *all = json_array();

	for (size_t i = 0; i < s->n_servers; i++) {
		const struct work_server *srv = &s->servers[i];
		int limit = srv->coordinator
				    ? slot_limit_get(&srv->coordinator->limit)
				    : srv->holder.known;

		if (!srv->hash)
			continue;
		json_array_append_new(
			all,
			json_pack("{s:s, s:b, s:i, s:i, s:i, s:b, s:b}",
				  "server", srv->id, "live", srv->live,
				  "in_use", srv->holder.in_use, "slots",
				  srv->holder.slots, "limit", limit, "steward",
				  srv->coordinator != NULL, "grants",
				  work_coordinator_ready(srv, now)));
	}
	return all;
}

static void work_status(struct core *c, void *state, struct json_t *obj)
{
	struct work_state *s = state;

	json_object_set_new(obj, "running",
			    json_integer((json_int_t)htab_count(s->requests)));
	json_object_set_new(
		obj, "for_other_domains",
		json_integer((json_int_t)htab_count(s->inbound_requests)));
	json_object_set_new(obj, "pools", work_status_pools(s));
	json_object_set_new(obj, "servers",
			    work_status_servers(s, core_now(c)));
}

static void work_stop(struct core *c, void *state)
{
	struct work_state *s = state;
	size_t iter = 0;
	htab_handle h;

	while (htab_next(s->requests, &iter, &h))
		work_cancel(c, h);
	work_peer_in_stop(s);
	work_claim_stop(s);
	work_pool_stop(s);
	htab_free(s->requests);
	htab_free(s->calls);
	free(s);
}

const struct core_mod_ops work_mod_ops = {
	.name = "work",
	.start = work_start,
	.tick = work_tick,
	.idle = work_idle,
	.ready = work_ready,
	.status = work_status,
	.stop = work_stop,
};
