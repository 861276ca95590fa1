// Module work: takes requests to backend servers and brings back answers.
#include "daemon/work_mod.h"

#include <jansson.h>
#include <stdlib.h>

#include "daemon/mods.h"
#include "work_mod_int.h"

static enum err work_new(struct core *c, struct work_state **out)
{
	struct work_state *s = calloc(1, sizeof(*s));

	if (!s)
		return ERR_NOMEM;
	s->works = htab_new(WORK_CAP, sizeof(struct work));
	s->servers = calloc(WORK_SERVERS, sizeof(*s->servers));
	s->node_hash = strtoull(core_incarnation(c), NULL, 16) | 1;
	s->rng.state = s->node_hash;
	attempt_budget_init(&s->budget, WORK_RETRY_CAP);
	*out = s;
	return s->works && s->servers ? ERR_OK : ERR_NOMEM;
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

	while ((w = htab_next(s->works, &iter, NULL))) {
		if (w->failed != ERR_OK)
			work_give_up(c, w, w->failed);
		else if (now >= w->o.deadline_ms)
			work_give_up(c, w, ERR_WORK_DEADLINE);
	}
}

static void work_tick(struct core *c, void *state, int64_t now_ms)
{
	work_server_sync(c);
	work_expire(c, state, now_ms);
	work_slot_tick(c, now_ms);
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

	return htab_count(s->works) == 0 && htab_count(s->ins) == 0 &&
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

static json_t *work_status_servers(const struct work_state *s)
{
	json_t *all = json_array();

	for (size_t i = 0; i < s->n_servers; i++) {
		const struct work_server *v = &s->servers[i];
		int limit = v->steward ? slot_limit_get(&v->steward->limit)
				       : v->holder.known;

		if (!v->hash)
			continue;
		json_array_append_new(
			all, json_pack("{s:s, s:b, s:i, s:i, s:i, s:b}",
				       "server", v->id, "live", v->live,
				       "in_use", v->holder.in_use, "slots",
				       v->holder.slots, "limit", limit,
				       "steward", v->steward != NULL));
	}
	return all;
}

static void work_status(struct core *c, void *state, struct json_t *obj)
{
	struct work_state *s = state;

	json_object_set_new(obj, "running",
			    json_integer((json_int_t)htab_count(s->works)));
	json_object_set_new(obj, "for_other_domains",
			    json_integer((json_int_t)htab_count(s->ins)));
	json_object_set_new(obj, "pools", work_status_pools(s));
	json_object_set_new(obj, "servers", work_status_servers(s));
}

static void work_stop(struct core *c, void *state)
{
	struct work_state *s = state;
	size_t iter = 0;
	htab_handle h;

	while (htab_next(s->works, &iter, &h))
		work_cancel(c, h);
	work_peer_in_stop(s);
	work_claim_stop(s);
	work_pool_stop(s);
	htab_free(s->works);
	htab_free(s->calls);
	free(s);
}

const struct core_mod_ops work_mod_ops = {
	.name = "work",
	.start = work_start,
	.tick = work_tick,
	.idle = work_idle,
	.status = work_status,
	.stop = work_stop,
};
