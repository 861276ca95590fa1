// The holder of the duty `weights/DOMAIN` orders the engines of its failure
// domain to load the version stored under `weights/target`.
#include "rollout_mod_weights.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/duty_mod.h"
#include "daemon/fleet_mod.h"
#include "daemon/platform_mod.h"

#define WEIGHTS_KEY "weights/target"

enum {
	WEIGHTS_STORE_LOADS_PER_S = 10, ///< of one failure domain
	WEIGHTS_FAN_OUT = 3, ///< loads from an engine at once
	WEIGHTS_ORDER_TIMEOUT_MS = 1500, ///< then the order is repeated
	WEIGHTS_MAX_LOADING_PERCENT = 100,
	WEIGHTS_TARGET_INTERVAL_MS = 1000, ///< between reads of the target
	WEIGHTS_POLL_LOADING_MS = 250, ///< while engines lack the target
	WEIGHTS_POLL_IDLE_MS = 5000, ///< otherwise
	WEIGHTS_CALL_TIMEOUT_MS = 2000,
};

static void weights_duty_name(const struct core *c, char *buf, size_t len)
{
	snprintf(buf, len, "weights/%s", core_domain(c));
}

struct weights_poll {
	char engine[WEIGHTS_ID_MAX];
};

static void weights_on_load(struct core *c, void *ctx,
			    const struct core_fetch_result *res)
{
	const struct rollout_mod *m = rollout_mod_state(c);
	struct weights_poll *poll = ctx;
	json_t *obj = res->err == ERR_OK && res->status == 200
			      ? json_loadb(res->body, res->body_len, 0, NULL)
			      : NULL;
	const json_t *version = json_object_get(obj, "version");

	if (m->weights.plan && json_is_integer(version))
		weights_report(m->weights.plan, poll->engine,
			       (uint64_t)json_integer_value(version),
			       core_now(c));
	json_decref(obj);
	free(poll);
}

static void weights_poll_engine(struct core *c, const struct fleet_vm *vm)
{
	struct weights_poll *poll = malloc(sizeof(*poll));
	char url[128];
	struct core_fetch_opts opts = {
		.method = "GET",
		.url = url,
		.timeout_ms = WEIGHTS_CALL_TIMEOUT_MS,
		.on_done = weights_on_load,
		.ctx = poll,
	};

	if (!poll)
		return;
	snprintf(poll->engine, sizeof(poll->engine), "%s", vm->id);
	snprintf(url, sizeof(url), "http://%s/v1/load", vm->addr);
	if (core_fetch(c, &opts, NULL) != ERR_OK)
		free(poll);
}

static bool weights_is_local_engine(const struct core *c,
				    const struct fleet_vm *vm)
{
	return vm->kind == VM_ENGINE && vm->state == VM_LIVE &&
	       strcmp(vm->domain, core_domain(c)) == 0;
}

static void weights_poll_engines(struct rollout_mod *m, int64_t now_ms)
{
	struct weights_progress p;
	size_t n;
	const struct fleet_vm *vms = fleet_mod_vms(m->c, &n);

	if (now_ms < m->weights.next_poll_ms)
		return;
	weights_progress(m->weights.plan, &p);
	m->weights.next_poll_ms = now_ms + (p.version > 0 && p.have < p.engines
						    ? WEIGHTS_POLL_LOADING_MS
						    : WEIGHTS_POLL_IDLE_MS);
	for (size_t i = 0; i < n; i++) {
		if (weights_is_local_engine(m->c, &vms[i]))
			weights_poll_engine(m->c, &vms[i]);
	}
}

static void weights_on_target(struct core *c, void *ctx,
			      const struct kv_result *res)
{
	struct rollout_mod *m = rollout_mod_state(c);
	json_t *obj = res->err == ERR_OK && res->n_items > 0
			      ? json_loadb(res->items[0].value,
					   res->items[0].len, 0, NULL)
			      : NULL;
	uint64_t version =
		(uint64_t)json_integer_value(json_object_get(obj, "version"));
	struct weights_progress p;

	json_decref(obj);
	if (!m->weights.plan || version == 0)
		return;
	weights_progress(m->weights.plan, &p);
	if (p.version == version)
		return;
	weights_set_target(m->weights.plan, version, core_now(c));
	m->weights.next_poll_ms = 0;
}

static void weights_read_target(struct rollout_mod *m, int64_t now_ms)
{
	struct kv_cb cb = {weights_on_target, NULL};

	if (now_ms < m->weights.next_read_ms)
		return;
	m->weights.next_read_ms = now_ms + WEIGHTS_TARGET_INTERVAL_MS;
	kv_get(m->c, WEIGHTS_KEY, cb);
}

static const struct fleet_vm *weights_find_vm(struct core *c, const char *id)
{
	size_t n;
	const struct fleet_vm *vms = fleet_mod_vms(c, &n);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(vms[i].id, id) == 0)
			return &vms[i];
	}
	return NULL;
}

static void weights_on_order_reply(struct core *c, void *ctx,
				   const struct core_fetch_result *res)
{
}

static void weights_send_order(struct core *c, const struct weights_order *o,
			       uint64_t epoch)
{
	const struct fleet_vm *vm = weights_find_vm(c, o->engine);
	char url[128];
	char body[256];
	struct core_fetch_opts opts = {
		.method = "POST",
		.url = url,
		.body = body,
		.timeout_ms = WEIGHTS_CALL_TIMEOUT_MS,
		.on_done = weights_on_order_reply,
	};

	if (!vm || !weights_is_local_engine(c, vm))
		return;
	snprintf(url, sizeof(url), "http://%s/v1/weights", vm->addr);
	snprintf(body, sizeof(body),
		 "{\"version\":%llu,\"epoch\":%llu,\"source\":\"%s\"}",
		 (unsigned long long)o->version, (unsigned long long)epoch,
		 o->source);
	opts.body_len = strlen(body);
	core_fetch(c, &opts, NULL);
}

/* Each epoch of the duty has a new plan: no order of an older one is sent. */
static bool weights_update_plan(struct rollout_mod *m)
{
	char duty[96];
	uint64_t epoch;
	bool held;

	weights_duty_name(m->c, duty, sizeof(duty));
	held = duty_mod_held(m->c, duty, &epoch);
	if (m->weights.plan && (!held || epoch != m->weights.epoch))
		weights_mod_stop(m);
	if (!held)
		return false;
	if (!m->weights.plan) {
		m->weights.epoch = epoch;
		m->weights.plan = weights_new(&(struct weights_opts){
			.store_rate = WEIGHTS_STORE_LOADS_PER_S,
			.fan_out = WEIGHTS_FAN_OUT,
			.late_ms = WEIGHTS_ORDER_TIMEOUT_MS,
			.max_loading_percent = WEIGHTS_MAX_LOADING_PERCENT,
		});
	}
	return m->weights.plan != NULL;
}

void weights_mod_tick(struct rollout_mod *m, int64_t now_ms)
{
	struct weights_order o;

	if (!weights_update_plan(m))
		return;
	weights_read_target(m, now_ms);
	weights_poll_engines(m, now_ms);
	while (weights_next_order(m->weights.plan, now_ms, &o))
		weights_send_order(m->c, &o, m->weights.epoch);
}

void weights_mod_stop(struct rollout_mod *m)
{
	weights_free(m->weights.plan);
	m->weights.plan = NULL;
}

struct weights_target_edit {
	htab_handle req;
	uint64_t version;
};

static void weights_on_put(struct core *c, void *ctx,
			   const struct kv_result *res)
{
	struct weights_target_edit *edit = ctx;

	if (res->err == ERR_OK)
		core_reply_json(c, edit->req, 202,
				json_pack("{s:I}", "version",
					  (json_int_t)edit->version));
	else
		core_reply_err(c, edit->req, res->err, err_run(res->err), 0,
			       "");
	free(edit);
}

static void weights_on_read(struct core *c, void *ctx,
			    const struct kv_result *res)
{
	struct weights_target_edit *edit = ctx;
	char value[64];
	struct kv_put_opts put = {.key = WEIGHTS_KEY, .value = value};
	struct kv_cb cb = {weights_on_put, edit};
	enum err e = res->err;

	if (e == ERR_OK || e == ERR_NOT_FOUND) {
		snprintf(value, sizeof(value), "{\"version\":%llu}",
			 (unsigned long long)edit->version);
		put.len = strlen(value);
		put.prev_rev = e == ERR_OK ? res->items[0].rev : 0;
		e = kv_put(c, &put, cb);
	}
	if (e == ERR_OK)
		return;
	core_reply_err(c, edit->req, e, RUN_NO, 0, "");
	free(edit);
}

static void weights_on_post_target(struct core *c, struct core_req *r,
				   void *ctx)
{
	json_t *obj = json_loadb(r->body, r->body_len, 0, NULL);
	const json_t *version = json_object_get(obj, "version");
	struct weights_target_edit *edit = malloc(sizeof(*edit));
	struct kv_cb cb = {weights_on_read, edit};
	enum err e = ERR_INVALID;

	if (edit && json_is_integer(version) &&
	    json_integer_value(version) > 0) {
		edit->req = r->h;
		edit->version = (uint64_t)json_integer_value(version);
		e = kv_get(c, WEIGHTS_KEY, cb);
	}
	json_decref(obj);
	if (e == ERR_OK)
		return;
	free(edit);
	core_reply_err(c, r->h, e, RUN_NO, 0, "version");
}

static void weights_on_get_progress(struct core *c, struct core_req *r,
				    void *ctx)
{
	const struct rollout_mod *m = rollout_mod_state(c);
	struct weights_progress p = {0};

	if (m->weights.plan)
		weights_progress(m->weights.plan, &p);
	core_reply_json(c, r->h, 200,
			json_pack("{s:s,s:b,s:I,s:I,s:I,s:I,s:I}", "domain",
				  core_domain(c), "orders_here",
				  m->weights.plan != NULL, "version",
				  (json_int_t)p.version, "engines",
				  (json_int_t)p.engines, "have",
				  (json_int_t)p.have, "loading",
				  (json_int_t)p.loading, "orders",
				  (json_int_t)p.orders));
}

enum err weights_mod_start(struct core *c)
{
	struct core_route_opts post = {
		.listener = CORE_LISTENER_ADMIN,
		.method = "POST",
		.prefix = "/admin/weights",
		.fn = weights_on_post_target,
	};
	struct core_route_opts get = post;
	char duty[96];
	enum err e;

	get.method = "GET";
	get.fn = weights_on_get_progress;
	weights_duty_name(c, duty, sizeof(duty));
	e = core_route(c, &post);
	if (e == ERR_OK)
		e = core_route(c, &get);
	return e == ERR_OK ? duty_mod_campaign(c, duty) : e;
}
