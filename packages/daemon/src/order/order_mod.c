// At the leader: orders servers to load the weight versions that trainers publish.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/table_full.h"
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
	/// One in this many servers of a service loads at a time, two at least, until
	/// loads show how many the source of the weights serves.
	ORDER_SERVERS_PER_LOAD = 5,
	ORDER_LOADS_MIN = 2,
	/// Timeout after which an order counts as lost. A load takes about a second
	/// and appears in the server's entry one heartbeat later.
	ORDER_LOST_MS = 4000,
	ORDER_LOAD_MS = 1000, ///< duration of a load until one was seen
	ORDER_CALL_TIMEOUT_MS = 500,
};

struct orders {
	struct rollplan plan;
	uint64_t epoch; ///< leader epoch for which the plan was made
	int logged_limit; ///< of concurrent loads
	/// Versions for which server counts were logged.
	uint64_t logged_versions[ROLLPLAN_MODELS_MAX];
};

/* An order in flight. */
struct order_call {
	struct orders *o;
	htab_handle server;
	char id[SITE_NAME_SIZE];
	char model[SITE_NAME_SIZE];
	uint64_t version;
	uint64_t epoch;
	enum rollplan_reason reason;
	int64_t started_ms; ///< incarnation of the server
	int64_t sent_ms;
};

static void send_notice(struct core *c, const struct order_call *call,
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

	order_notice_send(c, &o);
}

static void record_acceptance(struct core *c, const struct order_call *call,
			      int status)
{
	if (status == core_wire(c)->engine->order_done_status) {
		send_notice(c, call, SITE_ORDER_PRESENT);
		return;
	}
	if (call->o->epoch == call->epoch)
		rollplan_order_accepted(&call->o->plan, call->server);
	send_notice(c, call, SITE_ORDER_ACCEPTED);
}

static void record_refusal(struct core *c, const struct order_call *call,
			   const struct core_fetch_result *res)
{
	struct rollplan *plan = &call->o->plan;
	int busy_status = core_wire(c)->engine->order_busy_status;
	bool busy = core_fetch_answered(res) ? res->status == busy_status
					     : res->sent;

	if (busy)
		rollplan_order_busy(plan, call->server, core_now(c));
	else
		rollplan_order_failed(plan, call->server, core_now(c));
}

void order_load_ended(struct core *c, const struct site_order *o)
{
	struct orders *orders = core_mod_state(c, MOD_ORDER);
	const struct load_limit *limit = &orders->plan.limit;
	htab_handle server = site_servers_lookup(site_mod_servers(c), o->server,
						 strlen(o->server));

	if (!server || !lead_mod_may_act(c, NULL))
		return;
	rollplan_load_ended(&orders->plan, server, o->model, o->version,
			    o->state == SITE_ORDER_LOADED, core_now(c));
	if (limit->limit == orders->logged_limit)
		return;
	orders->logged_limit = limit->limit;
	log_event(EV_ORDER_LIMIT, "loads=%d shortest_ms=%lld usual_ms=%lld",
		  limit->limit, (long long)limit->shortest_ms,
		  (long long)limit->usual_ms);
}

static void on_order_done(struct core *c, void *ctx,
			  const struct core_fetch_result *res)
{
	struct order_call *call = ctx;
	bool accepted = core_fetch_answered(res) && res->status / 100 == 2;

	log_event(accepted ? EV_ORDER_SENT : EV_ORDER_FAILED,
		  "server=%s model=%s version=%llu why=%s epoch=%llu error=%s "
		  "http=%d",
		  call->id, call->model, (unsigned long long)call->version,
		  rollplan_reason_name(call->reason),
		  (unsigned long long)call->epoch, err_code(res->err),
		  res->status);
	/* Without a response the server may be loading, so home nodes keep the state
	 * SITE_ORDER_SENT. */
	if (accepted)
		record_acceptance(c, call, res->status);
	else if (core_fetch_answered(res) || !res->sent)
		send_notice(c, call, SITE_ORDER_FAILED);
	if (!accepted)
		metric_add(M_LOADS_FAILED, 1);
	if (!accepted && call->o->epoch == call->epoch)
		record_refusal(c, call, res);
	free(call);
}

/* Whether a route to the service requires samples of a single weight version. */
static bool wants_one_version(const struct site_conf *conf, const char *service)
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

/* @param continue_runs  generations in progress continue, else end first */
static void order_send(struct core *c, struct orders *o,
		       const struct rollplan_order *ord, bool continue_runs)
{
	const struct engine_wire_ops *wire = core_wire(c)->engine;
	const struct site_server *s =
		site_servers_get(site_mod_servers(c), ord->server);
	struct order_call *call = calloc(1, sizeof(*call));
	const struct engine_order wire_order = {
		.model = ord->model,
		.version = ord->version,
		.continue_runs = continue_runs,
		.holder = core_node(c),
		.epoch = o->epoch,
		.server = s->entry.id,
	};
	struct core_fetch_opts opts = {
		.method = "POST",
		.timeout_ms = ORDER_CALL_TIMEOUT_MS,
		.connect_timeout_ms = ORDER_CALL_TIMEOUT_MS,
		.send_until_ms = lead_mod_leadership_end_ms(c),
		.want_head = true,
		.tag = ord->server,
		.on_done = on_order_done,
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
	call->reason = ord->reason;
	call->started_ms = s->entry.started_ms;
	call->sent_ms = core_now(c);
	strcpy(call->id, s->entry.id);
	strcpy(call->model, ord->model);
	snprintf(url, sizeof(url), "http://%s%s", s->entry.addr,
		 wire->order_path);
	opts.url = url;
	opts.headers = wire->order(&wire_order, &a, &opts.body);
	opts.body_len = opts.body ? strlen(opts.body) : 0;
	if (opts.headers && core_fetch(c, &opts, NULL) == ERR_OK) {
		metric_add(ord->reason == ROLLPLAN_STALE ? M_LOADS_STALE
							 : M_LOADS_USABLE,
			   1);
		send_notice(c, call, SITE_ORDER_SENT);
	} else {
		free(call);
	}
	arena_free(&a);
}

static void update_demand(struct core *c, struct orders *o, const char *model)
{
	struct room_demand demand;

	if (room_mod_demand(c, model, &demand))
		rollplan_set_demand(&o->plan, model,
				    &(struct rollplan_demand){
					    .waiting = demand.waiting,
					    .running = demand.running,
					    .overdue_ms = demand.overdue_ms,
					    .as_of_ms = demand.as_of_ms,
				    });
}

static void update_targets(struct core *c, struct orders *o)
{
	const char *model;

	for (int i = 0; (model = site_mod_model(c, i)); i++) {
		if (rollplan_set_target(&o->plan, model,
					site_mod_weight_version(c, model)) !=
		    ERR_OK)
			table_full("models-to-load", model,
				   ROLLPLAN_MODELS_MAX);
		rollplan_set_work(&o->plan, model,
				  sizing_mod_step_tokens(c, model));
		update_demand(c, o, model);
	}
}

/* Concurrent loads that a service's servers are assumed to be served. */
static int assumed_max_loads(struct core *c, const char *service)
{
	return site_servers_count_usable(site_mod_servers(c), service) /
	       ORDER_SERVERS_PER_LOAD;
}

/* Longest time that a route to a service allows for a step, 0 if none sets it. */
static int64_t step_due_ms(const struct site_conf *conf, const char *service)
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

/* Log the server counts of models with a new version. */
static void log_shares(struct core *c, struct orders *o, const char *service)
{
	for (int i = 0; i < o->plan.n_models; i++) {
		const struct rollplan_model *m = &o->plan.models[i];
		struct rollplan_count n;

		if (o->logged_versions[i] == m->version)
			continue;
		o->logged_versions[i] = m->version;
		n = rollplan_count(&o->plan, site_mod_servers(c), service,
				   m->name, core_now(c));
		log_event(EV_ORDER_SHARE,
			  "service=%s model=%s version=%llu servers=%d "
			  "usable=%d loading=%d waiting=%d late_ms=%lld "
			  "need_age_ms=%lld",
			  service, m->name, (unsigned long long)m->version,
			  n.owned, n.usable, n.loading, m->demand.waiting,
			  (long long)m->demand.overdue_ms,
			  m->demand_known ? (long long)(core_now(c) -
							m->demand.as_of_ms)
					  : -1LL);
	}
}

static void order_service(struct core *c, struct orders *o,
			  const struct site_service *svc)
{
	const struct site_conf *conf = site_mod_conf(c);
	bool continue_runs = !wants_one_version(conf, svc->name);
	struct rollplan_order ord;

	load_limit_assume(&o->plan.limit, assumed_max_loads(c, svc->name));
	o->plan.opts.due_ms = step_due_ms(conf, svc->name);
	log_shares(c, o, svc->name);
	while (rollplan_next_order(&o->plan, site_mod_servers(c), svc->name,
				   core_now(c), &ord))
		order_send(c, o, &ord, continue_runs);
}

static void order_tick(struct core *c, void *state, int64_t now_ms)
{
	struct orders *o = state;
	const struct site_conf *conf = site_mod_conf(c);
	uint64_t epoch;

	/* Wait until demand was read in this epoch: shares from earlier figures would
	 * move servers twice. */
	if (!conf || !lead_mod_may_act(c, &epoch) || !site_mod_keys_fresh(c) ||
	    !sizing_mod_needs_known(c))
		return;
	if (o->epoch != epoch) {
		const struct rollplan_opts opts = {
			.max_loads = ORDER_LOADS_MIN,
			.load_max_ms = ORDER_LOAD_MS,
			.order_timeout_ms = ORDER_LOST_MS,
		};

		rollplan_init(&o->plan, &opts);
		memset(o->logged_versions, 0, sizeof(o->logged_versions));
		o->epoch = epoch;
	}
	update_targets(c, o);
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
