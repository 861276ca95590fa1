// Module rollout: carries out the decisions of packages/rollout.
#include "daemon/rollout_mod.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/metric.h"
#include "conf/conf.h"
#include "daemon/conf_mod.h"
#include "daemon/mods.h"
#include "daemon/usage_mod.h"
#include "rollout_mod_int.h"
#include "rollout_mod_weights.h"

enum {
	ROLLOUT_STALL_TIMEOUT_MS = 10000,
	ROLLOUT_HEDGE_DELAY_MS = 2000,
	ROLLOUT_HEDGE_PERCENT = 2,
	ROLLOUT_REQUEST_TIMEOUT_MS = 4000,
};

struct rollout_mod *rollout_mod_state(struct core *c)
{
	return core_mod_state(c, MOD_ROLLOUT);
}

static void rollout_mod_add_usage(struct core *c,
				  const struct rollout_action *a)
{
	usage_mod_add(c, a->team, USAGE_SAMPLES, a->samples);
	usage_mod_add(c, a->team, USAGE_TOKENS, a->tokens);
}

static void rollout_mod_apply_action(struct rollout_mod *m,
				     const struct rollout_action *a)
{
	switch (a->kind) {
	case ROLLOUT_SEND:
		rollout_mod_send_peer(m->c, a);
		break;
	case ROLLOUT_KV_GET:
	case ROLLOUT_KV_PUT:
		rollout_mod_start_kv(m, a);
		break;
	case ROLLOUT_ACCEPTED:
		rollout_mod_reply_accepted(m->c, a);
		break;
	case ROLLOUT_PULL_REPLY:
		rollout_mod_reply_pull(m->c, a);
		break;
	case ROLLOUT_REFUSED:
		rollout_mod_reply_refused(m->c, a);
		break;
	case ROLLOUT_START_RUN:
		rollout_mod_start_run(m, a);
		break;
	case ROLLOUT_CANCEL_RUN:
		rollout_mod_cancel_run(m, a);
		break;
	case ROLLOUT_ADD_USAGE:
		rollout_mod_add_usage(m->c, a);
		break;
	}
}

void rollout_mod_apply_actions(struct rollout_mod *m)
{
	struct rollout_action *a;

	while ((a = rollout_next(m->r))) {
		rollout_mod_apply_action(m, a);
		rollout_action_free(a);
	}
}

static struct rollout *rollout_mod_new(struct core *c)
{
	struct rollout_opts opts = {
		.rng = {(uint64_t)core_now(c)},
		.request_timeout_ms = ROLLOUT_REQUEST_TIMEOUT_MS,
		.sched =
			{
				.order = SCHED_LONGEST,
				.max_runs = ROLLOUT_MAX_RUNS,
				.max_queued = ROLLOUT_MAX_QUEUED,
				.stall_ms = ROLLOUT_STALL_TIMEOUT_MS,
				.hedge_ms = ROLLOUT_HEDGE_DELAY_MS,
				.hedge_percent = ROLLOUT_HEDGE_PERCENT,
			},
	};

	snprintf(opts.node, sizeof(opts.node), "%s", core_node(c));
	snprintf(opts.domain, sizeof(opts.domain), "%s", core_domain(c));
	snprintf(opts.inc, sizeof(opts.inc), "%s", core_incarnation(c));
	return rollout_new(&opts);
}

static void rollout_mod_stop(struct core *c, void *state)
{
	struct rollout_mod *m = state;

	if (!m)
		return;
	rollout_free(m->r);
	weights_mod_stop(m);
	free(m);
}

static enum err rollout_mod_start(struct core *c, void **state)
{
	struct rollout_mod *m = calloc(1, sizeof(*m));
	enum err e;

	if (!m)
		return ERR_NOMEM;
	m->c = c;
	m->r = rollout_mod_new(c);
	*state = m;
	if (!m->r)
		return ERR_NOMEM;
	e = rollout_mod_peer_init(c);
	if (e != ERR_OK)
		return e;
	e = rollout_mod_run_init(c);
	if (e != ERR_OK)
		return e;
	e = rollout_mod_http_init(c);
	return e == ERR_OK ? weights_mod_start(c) : e;
}

static void rollout_mod_update_metrics(struct rollout_mod *m)
{
	struct rollout_stats s;
	const struct rollout_stats *counted = &m->counted;

	rollout_stats(m->r, &s);
	metric_add(M_ROLLOUT_SAMPLES, s.acked - counted->acked);
	metric_add(M_ROLLOUT_COPY_BYTES, s.copy_bytes - counted->copy_bytes);
	metric_add(M_ROLLOUT_HEDGES, s.sched.hedged - counted->sched.hedged);
	metric_add(M_ROLLOUT_STALE, s.sched.stale - counted->sched.stale);
	metric_add(M_ROLLOUT_TAKEOVERS, s.takeovers - counted->takeovers);
	if (s.takeovers > counted->takeovers)
		log_event(
			EV_ROLLOUT_TAKEOVER, "trainers=%llu",
			(unsigned long long)(s.takeovers - counted->takeovers));
	if (s.ownerships_lost > counted->ownerships_lost)
		log_event(EV_ROLLOUT_OWNERSHIP_LOST, "trainers=%llu",
			  (unsigned long long)(s.ownerships_lost -
					       counted->ownerships_lost));
	metric_set(M_ROLLOUT_OPEN, s.open_batches);
	metric_set(M_ROLLOUT_RUNNING, s.running);
	m->counted = s;
}

static void rollout_mod_tick(struct core *c, void *state, int64_t now_ms)
{
	struct rollout_mod *m = state;
	const struct conf *conf = conf_mod_current(c);

	if (conf)
		rollout_set_hedge_percent(
			m->r, (int)conf_get_int(conf, CF_HEDGE_TAIL,
						&(struct conf_scope){0}));
	rollout_mod_update_members(m);
	rollout_tick(m->r, now_ms);
	rollout_mod_apply_actions(m);
	weights_mod_tick(m, now_ms);
	rollout_mod_update_metrics(m);
}

static void rollout_mod_drain(struct core *c, void *state)
{
	const struct rollout_mod *m = state;

	rollout_drain(m->r);
}

static bool rollout_mod_idle(struct core *c, void *state)
{
	const struct rollout_mod *m = state;

	return rollout_may_stop(m->r);
}

static void rollout_mod_status(struct core *c, void *state, struct json_t *obj)
{
	const struct rollout_mod *m = state;
	struct rollout_stats s;

	rollout_stats(m->r, &s);
	json_object_set_new(obj, "trainers_owned",
			    json_integer((json_int_t)s.owned));
	json_object_set_new(obj, "trainers_copied",
			    json_integer((json_int_t)s.copies));
	json_object_set_new(obj, "open_batches",
			    json_integer((json_int_t)s.open_batches));
	json_object_set_new(obj, "generations",
			    json_integer((json_int_t)s.running));
	json_object_set_new(obj, "samples_acked",
			    json_integer((json_int_t)s.acked));
	json_object_set_new(obj, "hedged",
			    json_integer((json_int_t)s.sched.hedged));
	json_object_set_new(obj, "resumed",
			    json_integer((json_int_t)s.sched.resumed));
	json_object_set_new(obj, "stale",
			    json_integer((json_int_t)s.sched.stale));
	json_object_set_new(obj, "takeovers",
			    json_integer((json_int_t)s.takeovers));
	json_object_set_new(obj, "copy_bytes",
			    json_integer((json_int_t)s.copy_bytes));
}

const struct core_mod_ops rollout_mod_ops = {
	.name = "rollout",
	.start = rollout_mod_start,
	.tick = rollout_mod_tick,
	.drain = rollout_mod_drain,
	.idle = rollout_mod_idle,
	.status = rollout_mod_status,
	.stop = rollout_mod_stop,
};
