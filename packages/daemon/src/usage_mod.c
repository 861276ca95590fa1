// Usage module: counts, replicates to peers, collects, seals and reports.
#include "daemon/usage_mod.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/metric.h"
#include "conf/conf.h"
#include "core/settings.h"
#include "daemon/conf_mod.h"
#include "daemon/duty_mod.h"
#include "daemon/mods.h"
#include "usage_mod_priv.h"

#include "base/clock.h"

struct usage_mod *usage_mod_of(const struct core *c)
{
	return core_mod_state(c, MOD_USAGE);
}

void usage_mod_add(struct core *c, const char *team, enum usage_unit u,
		   uint64_t n)
{
	struct usage_mod *m = usage_mod_of(c);
	enum err e;

	if (!m || !*team || n == 0)
		return;
	e = usage_counters_add(&m->counters, m->run, team, u, n);
	if (e) {
		metric_add(M_USAGE_BAD, 1);
		log_event(EV_USAGE_BAD, "team=%.63s err=%s", team, err_code(e));
		return;
	}
	if (!m->unreplicated_since_ms)
		m->unreplicated_since_ms = core_now(c);
}

static void usage_mod_free(struct usage_mod *m)
{
	usage_seal_end(&m->seal);
	usage_counters_clear(&m->counters);
	free(m);
}

static enum err usage_start(struct core *c, void **state)
{
	struct usage_mod *m = calloc(1, sizeof(*m));
	enum err e;

	if (!m)
		return ERR_NOMEM;
	m->c = c;
	snprintf(m->run, sizeof(m->run), "%.63s/%.16s", core_node(c),
		 core_incarnation(c));
	usage_mod_store_start(m);
	e = usage_mod_copy_start(m);
	if (e)
		goto fail;
	e = usage_mod_admin_start(m);
	if (e)
		goto fail;
	e = duty_mod_campaign(c, USAGE_DUTY);
	if (e)
		goto fail;
	*state = m;
	return ERR_OK;
fail:
	usage_mod_free(m);
	return e;
}

static void tick_duty(struct usage_mod *m, int64_t now)
{
	uint64_t epoch = 0;

	if (!duty_mod_held(m->c, USAGE_DUTY, &epoch))
		epoch = 0;
	if (epoch == m->epoch)
		return;
	if (m->epoch)
		usage_seal_end(&m->seal);
	if (epoch)
		usage_seal_begin(&m->seal, now, epoch);
	m->epoch = epoch;
}

static void tick_replication(struct usage_mod *m, int64_t now)
{
	if (usage_mod_replicated(m))
		m->unreplicated_since_ms = 0;
	metric_set(M_USAGE_UNREPLICATED_MS,
		   m->unreplicated_since_ms
			   ? (uint64_t)(now - m->unreplicated_since_ms)
			   : 0);
}

static void usage_tick(struct core *c, void *state, int64_t now)
{
	struct usage_mod *m = state;
	int64_t window_ms =
		conf_get_int(conf_mod_current(c), CF_USAGE_WINDOW, NULL);

	usage_mod_copy_tick(m, now);
	tick_replication(m, now);
	m->collect.interval_ms =
		settings_int(core_settings(c), S_USAGE_COLLECT);
	usage_collect_tick(&m->collect, now, m->is_collector);
	tick_duty(m, now);
	usage_seal_tick(&m->seal, now, clock_wall_ms(), window_ms);
}

/// Everything counted here is replicated to a peer or in the store.
static bool usage_idle(struct core *c, void *state)
{
	const struct usage_mod *m = state;

	return usage_mod_replicated(m) ||
	       m->collect.stored_version == m->counters.version;
}

static void usage_status(struct core *c, void *state, struct json_t *obj)
{
	struct usage_mod *m = state;

	json_object_set_new(obj, "collecting", json_boolean(m->is_collector));
	json_object_set_new(obj, "reporting", json_boolean(m->epoch != 0));
	json_object_set_new(obj, "reported",
			    json_integer((json_int_t)m->seal.reported));
	json_object_set_new(obj, "runs",
			    json_integer((json_int_t)m->counters.n_entries));
}

static void usage_stop(struct core *c, void *state)
{
	usage_mod_free(state);
}

const struct core_mod_ops usage_mod_ops = {
	.name = "usage",
	.start = usage_start,
	.tick = usage_tick,
	.idle = usage_idle,
	.status = usage_status,
	.stop = usage_stop,
};
