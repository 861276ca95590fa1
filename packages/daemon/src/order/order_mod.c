// The leader orders servers to load the weight versions that trainers name.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "daemon/lead_mod.h"
#include "daemon/mods.h"
#include "daemon/room_mod.h"
#include "daemon/site_mod.h"
#include "daemon/sizing_mod.h"
#include "order/notice.h"
#include "rollplan/rollplan.h"
#include "wire/wire.h"

enum {
	/// One in so many servers of a service loads at once, and two at least:
	/// beyond that each load takes longer, and the rest has to do the work.
	ORDER_SHARE = 5,
	ORDER_LEAST = 2,
	/// A load takes about a second and shows in the server's entry a
	/// heartbeat later; after this time the order counts as lost.
	ORDER_LATE_MS = 4000,
	ORDER_LOAD_MS = 1000, ///< longest usual load
	ORDER_TIMEOUT_MS = 500, ///< of the call
};

struct orders {
	struct rollplan plan;
	uint64_t epoch; ///< of the holding for which the plan was made
	uint64_t logged[ROLLPLAN_MODELS]; ///< versions whose shares were logged
};

/* An order on its way. */
struct order_call {
	struct orders *o;
	htab_handle server;
	char id[SITE_NAME];
	char model[SITE_NAME];
	uint64_t version;
	uint64_t epoch;
	enum rollplan_why why;
	int64_t started_ms; ///< of the server
	int64_t sent_ms;
	bool notify; ///< homes are told of it
};

static void notify(struct core *c, const struct order_call *call,
		   enum site_order_state state)
{
	const struct site_order o = {
		.server = call->id,
		.started_ms = call->started_ms,
		.model = call->model,
		.version = call->version,
		.sent_ms = call->sent_ms,
		.state = state,
	};

	if (call->notify)
		order_notice_send(c, &o);
}

static void on_ordered(struct core *c, void *ctx,
		       const struct core_fetch_result *res)
{
	struct order_call *call = ctx;
	bool taken =
		res->err == ERR_OK && res->status >= 200 && res->status < 300;

	log_event(taken ? EV_ORDER_SENT : EV_ORDER_FAILED,
		  "server=%s model=%s version=%llu why=%s epoch=%llu error=%s "
		  "http=%d",
		  call->id, call->model, (unsigned long long)call->version,
		  rollplan_why_name(call->why), (unsigned long long)call->epoch,
		  err_code(res->err), res->status);
	/* Without an answer the server may load: it stays so for the homes. */
	if (taken)
		notify(c, call, SITE_ORDER_ACCEPTED);
	else if (res->err == ERR_OK || !res->sent)
		notify(c, call, SITE_ORDER_FAILED);
	if (!taken)
		metric_add(M_LOADS_FAILED, 1);
	if (!taken && call->o->epoch == call->epoch)
		rollplan_failed(&call->o->plan, call->server, core_now(c));
	free(call);
}

/// How orders to a service are given.
struct order_how {
	bool keep_runs; ///< runs go on under the new version
	bool notify; ///< homes are told
};

/* Whether some route of the service wants samples of one version only. */
static bool one_version(const struct site_conf *conf, const char *service)
{
	for (size_t i = 0; i < conf->n_routes; i++) {
		const struct site_route *r = &conf->routes[i];

		for (int k = 0; r->one_version && k < r->n_targets; k++) {
			if (strcmp(r->targets[k].service, service) == 0)
				return true;
		}
	}
	return false;
}

static void order_send(struct core *c, struct orders *o,
		       const struct rollplan_order *ord,
		       const struct order_how *how)
{
	const struct engine_wire_ops *wire = core_wire(c)->engine;
	const struct site_server *s =
		site_servers_get(site_mod_servers(c), ord->server);
	struct order_call *call = calloc(1, sizeof(*call));
	const struct engine_order eo = {
		.model = ord->model,
		.version = ord->version,
		.keep_runs = how->keep_runs,
		.holder = core_node(c),
		.epoch = o->epoch,
		.server = s->entry.id,
	};
	struct core_fetch_opts opts = {
		.method = "POST",
		.timeout_ms = ORDER_TIMEOUT_MS,
		.connect_timeout_ms = ORDER_TIMEOUT_MS,
		.send_until_ms = lead_mod_until(c),
		.want_head = true,
		.tag = ord->server,
		.on_done = on_ordered,
		.ctx = call,
	};
	struct arena a;
	char url[256];

	if (!call)
		return;
	arena_init(&a, 0);
	call->o = o;
	call->server = ord->server;
	call->version = ord->version;
	call->epoch = o->epoch;
	call->why = ord->why;
	call->started_ms = s->entry.started_ms;
	call->sent_ms = core_now(c);
	call->notify = how->notify;
	strcpy(call->id, s->entry.id);
	strcpy(call->model, ord->model);
	snprintf(url, sizeof(url), "http://%s%s", s->entry.addr,
		 wire->order_path);
	opts.url = url;
	opts.headers = wire->order(&eo, &a, &opts.body);
	opts.body_len = opts.body ? strlen(opts.body) : 0;
	if (opts.headers && core_fetch(c, &opts, NULL) == ERR_OK) {
		metric_add(ord->why == ROLLPLAN_STALE ? M_LOADS_STALE
						      : M_LOADS_USABLE,
			   1);
		notify(c, call, SITE_ORDER_SENT);
	} else {
		free(call);
	}
	arena_free(&a);
}

static void take_need(struct core *c, struct orders *o, const char *model)
{
	struct room_need room;

	if (room_mod_need(c, model, &room))
		rollplan_need(&o->plan, model,
			      &(struct rollplan_need){
				      .waiting = room.waiting,
				      .running = room.running,
				      .late_ms = room.late_ms,
				      .at_ms = room.at_ms,
			      });
}

static void take_targets(struct core *c, struct orders *o)
{
	const char *model;

	for (int i = 0; (model = site_mod_model(c, i)); i++) {
		rollplan_target(&o->plan, model, site_mod_weights(c, model));
		rollplan_work(&o->plan, model, sizing_mod_work(c, model));
		take_need(c, o, model);
	}
}

static int at_once(struct core *c, const char *service)
{
	int n = site_servers_usable(site_mod_servers(c), service) / ORDER_SHARE;

	return n > ORDER_LEAST ? n : ORDER_LEAST;
}

/* Longest time that a step of a service may take, 0 if no route says. */
static int64_t due_ms(const struct site_conf *conf, const char *service)
{
	int64_t due = 0;

	for (size_t i = 0; i < conf->n_routes; i++) {
		const struct site_route *r = &conf->routes[i];

		for (int k = 0; k < r->n_targets; k++) {
			if (strcmp(r->targets[k].service, service) == 0 &&
			    r->results_due_ms > due)
				due = r->results_due_ms;
		}
	}
	return due;
}

/* Log what a naming finds. */
static void log_shares(struct core *c, struct orders *o, const char *service)
{
	for (int i = 0; i < o->plan.n_models; i++) {
		const struct rollplan_model *m = &o->plan.models[i];
		struct rollplan_count n;

		if (o->logged[i] == m->version)
			continue;
		o->logged[i] = m->version;
		n = rollplan_count(&o->plan, site_mod_servers(c), service,
				   m->name, core_now(c));
		log_event(EV_ORDER_SHARE,
			  "service=%s model=%s version=%llu servers=%d "
			  "usable=%d loading=%d waiting=%d late_ms=%lld "
			  "need_age_ms=%lld",
			  service, m->name, (unsigned long long)m->version,
			  n.owned, n.usable, n.loading, m->need.waiting,
			  (long long)m->need.late_ms,
			  m->needed ? (long long)(core_now(c) - m->need.at_ms)
				    : -1LL);
	}
}

static void order_service(struct core *c, struct orders *o,
			  const struct site_service *svc)
{
	const struct site_conf *conf = site_mod_conf(c);
	const struct order_how how = {
		.keep_runs = !one_version(conf, svc->name),
		.notify = site_mod_shares(c, svc->name),
	};
	struct rollplan_order ord;

	o->plan.opts.at_once = at_once(c, svc->name);
	o->plan.opts.due_ms = due_ms(conf, svc->name);
	if (how.notify)
		log_shares(c, o, svc->name);
	while (rollplan_next(&o->plan, site_mod_servers(c), svc->name,
			     core_now(c), &ord))
		order_send(c, o, &ord, &how);
}

static void order_tick(struct core *c, void *state, int64_t now_ms)
{
	static const struct rollplan_opts opts = {
		.at_once = ORDER_LEAST,
		.load_ms = ORDER_LOAD_MS,
		.late_ms = ORDER_LATE_MS,
	};
	struct orders *o = state;
	const struct site_conf *conf = site_mod_conf(c);
	uint64_t epoch;

	/* Shares by the needs of an earlier holding move servers twice. */
	if (!conf || !lead_mod_may_act(c, &epoch) || !site_mod_fresh(c) ||
	    !sizing_mod_known(c))
		return;
	if (o->epoch != epoch) {
		rollplan_init(&o->plan, &opts);
		memset(o->logged, 0, sizeof(o->logged));
		o->epoch = epoch;
	}
	take_targets(c, o);
	for (size_t i = 0; i < conf->n_services; i++) {
		if (conf->services[i].memory_tokens)
			order_service(c, o, &conf->services[i]);
	}
}

static enum err order_start(struct core *c, void **state)
{
	*state = calloc(1, sizeof(struct orders));
	return *state ? order_notice_start(c) : ERR_NOMEM;
}

static void order_stop(struct core *c, void *state)
{
	free(state);
}

const struct core_mod_ops order_mod_ops = {
	.name = "order",
	.start = order_start,
	.tick = order_tick,
	.stop = order_stop,
};
