// Polls the platform's VM list; in an outage the last one is kept.
#include "daemon/fleet_mod.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "daemon/mods.h"
#include "fleet_admin.h"
#include "fleet_list.h"
#include "fleet_plan.h"
#include "fleet_wire.h"

enum {
	FLEET_URL_MAX = 320,
	FLEET_BODY_MAX = 8 << 20, ///< bytes of a VM list
	FLEET_LIST_MAX_AGE_MS = 10000, ///< no orders based on an older list
};

struct fleet_mod {
	const struct fleet_wire_ops *wire;
	struct fleet_list list;
	struct plan plan;
	int64_t next_poll_ms; ///< next poll
	int64_t poll_start_ms; ///< start of the last poll
	int64_t last_success_ms; ///< last successful poll, 0: none yet
	bool poll_pending; ///< a poll is outstanding
	bool poll_failed; ///< the last poll failed
};

static struct fleet_mod *fleet_module(const struct core *c)
{
	return core_mod_state(c, MOD_FLEET);
}

struct plan *plan_state(const struct core *c)
{
	return &fleet_module(c)->plan;
}

const struct fleet_vm *fleet_mod_vms(struct core *c, size_t *n)
{
	const struct fleet_list *l = &fleet_module(c)->list;

	*n = l->n;
	return l->vms;
}

uint64_t fleet_mod_gen(struct core *c)
{
	return fleet_module(c)->list.gen;
}

void fleet_mod_mark_leaving(struct core *c, const char *id)
{
	fleet_list_mark_leaving(&fleet_module(c)->list, id, core_now(c));
}

static enum err fleet_apply_list(struct core *c, struct fleet_mod *f,
				 const struct core_fetch_result *res)
{
	struct fleet_vm *vms = NULL;
	size_t n, bad = 0;
	int64_t age_ms = 0;
	enum err e = res->err;

	if (e == ERR_OK && res->status != 200)
		e = ERR_KV_UNKNOWN;
	if (e == ERR_OK)
		e = f->wire->vms_decode(res->body, res->body_len, &vms, &n,
					&bad, &age_ms);
	if (e == ERR_OK)
		e = fleet_list_merge(&f->list, vms, n, core_now(c));
	if (e == ERR_OK)
		f->list.as_of_ms = f->poll_start_ms - age_ms;
	if (bad > 0)
		log_event(EV_FLEET_BAD_ROWS, "rows=%zu", bad);
	free(vms);
	return e;
}

static void fleet_on_poll(struct core *c, void *ctx,
			  const struct core_fetch_result *res)
{
	struct fleet_mod *f = ctx;
	enum err e = fleet_apply_list(c, f, res);

	f->poll_pending = false;
	if (e == ERR_OK)
		f->last_success_ms = core_now(c);
	else if (!f->poll_failed)
		log_event(EV_FLEET_LIST_LOST, "err=%s kept=%zu", err_code(e),
			  f->list.n);
	f->poll_failed = e != ERR_OK;
	metric_set(M_FLEET_VMS, f->list.n);
}

static void fleet_poll(struct core *c, struct fleet_mod *f)
{
	const struct settings *s = core_settings(c);
	char url[FLEET_URL_MAX];
	const struct core_fetch_opts opts = {
		.method = "GET",
		.url = url,
		.timeout_ms = settings_int(s, S_PLATFORM_TIMEOUT),
		.max_body = FLEET_BODY_MAX,
		.fresh = f->poll_failed,
		.on_done = fleet_on_poll,
		.ctx = f,
	};

	snprintf(url, sizeof(url), "%s%s", settings_str(s, S_PLATFORM_URL),
		 f->wire->vms_path);
	f->poll_start_ms = core_now(c);
	f->poll_pending = core_fetch(c, &opts, NULL) == ERR_OK;
}

static enum err fleet_start(struct core *c, void **state)
{
	struct fleet_mod *f = calloc(1, sizeof(*f));

	if (!f)
		return ERR_NOMEM;
	f->wire = &fleet_wire_json;
	f->plan.wire = f->wire;
	f->plan.list = &f->list;
	*state = f;
	return fleet_admin_start(c);
}

static void fleet_tick(struct core *c, void *state, int64_t now_ms)
{
	struct fleet_mod *f = state;

	if (f->last_success_ms &&
	    now_ms - f->last_success_ms < FLEET_LIST_MAX_AGE_MS)
		plan_tick(c, &f->plan, now_ms);
	if (f->poll_pending || now_ms < f->next_poll_ms)
		return;
	f->next_poll_ms =
		now_ms + settings_int(core_settings(c), S_PLATFORM_VM_POLL);
	fleet_poll(c, f);
}

static void fleet_status(struct core *c, void *state, json_t *obj)
{
	const struct fleet_mod *f = state;
	json_int_t age_ms =
		f->last_success_ms ? core_now(c) - f->last_success_ms : -1;

	json_object_set_new(obj, "vms", json_integer((json_int_t)f->list.n));
	json_object_set_new(obj, "list_age_ms", json_integer(age_ms));
}

static void fleet_stop(struct core *c, void *state)
{
	struct fleet_mod *f = state;

	fleet_list_free(&f->list);
	free(f);
}

const struct core_mod_ops fleet_mod_ops = {
	.name = "fleet",
	.start = fleet_start,
	.tick = fleet_tick,
	.status = fleet_status,
	.stop = fleet_stop,
};
