// Module conf: runs conf_sync in the daemon and notifies other modules.
#include "daemon/conf_mod.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "base/metric.h"
#include "conf_mod_priv.h"
#include "daemon/mods.h"

static const char *const freshness_names[] = {
	[CONF_NO_DOC] = "none",
	[CONF_FRESH] = "fresh",
	[CONF_KV_DOWN] = "kv-down",
	[CONF_CUT_OFF] = "cut-off",
};

struct conf_mod *conf_mod_state(const struct core *c)
{
	return core_mod_state(c, MOD_CONF);
}

const struct conf *conf_mod_current(struct core *c)
{
	struct conf_mod *m = conf_mod_state(c);

	return m ? conf_sync_doc(m->sync) : NULL;
}

enum conf_freshness conf_mod_freshness(struct core *c)
{
	struct conf_mod *m = conf_mod_state(c);

	return m ? conf_sync_freshness(m->sync, core_now(c)) : CONF_NO_DOC;
}

enum err conf_mod_on_change(struct core *c,
			    void (*fn)(struct core *c, void *ctx), void *ctx)
{
	struct conf_mod *m = conf_mod_state(c);

	if (!m || m->n_listeners == CONF_MOD_LISTENERS_MAX)
		return ERR_FULL;
	m->listeners[m->n_listeners].fn = fn;
	m->listeners[m->n_listeners++].ctx = ctx;
	return ERR_OK;
}

void conf_mod_notify(struct conf_mod *m)
{
	for (size_t i = 0; i < m->n_listeners; i++)
		m->listeners[i].fn(m->c, m->listeners[i].ctx);
}

static void on_doc_changed(void *ctx)
{
	struct conf_mod *m = ctx;
	uint64_t rev = conf_rev(conf_sync_doc(m->sync));

	metric_set(M_CONF_REV, rev);
	member_mod_set(m->c, MEMBER_CONF_REVISION, (int64_t)rev);
	log_event(EV_CONF_IN_FORCE, "rev=%llu", (unsigned long long)rev);
	conf_mod_notify(m);
}

static void on_doc_rejected(void *ctx, const char *from, enum err e)
{
	metric_add(M_CONF_BAD, 1);
	log_event(EV_CONF_BAD, "from=%s err=%s", from, err_code(e));
}

static void on_send(void *ctx, const char *to, const struct conf_msg *msg)
{
	conf_mod_peer_send(ctx, to, msg);
}

static const struct conf_sync_ops sync_ops = {
	.watch = conf_mod_kv_watch,
	.read = conf_mod_kv_read,
	.send = on_send,
	.doc_changed = on_doc_changed,
	.doc_rejected = on_doc_rejected,
};

static void conf_mod_free(struct conf_mod *m)
{
	conf_sync_free(m->sync);
	conf_mod_edit_stop(m);
	htab_free(m->calls);
	free(m);
}

static enum err conf_start(struct core *c, void **state)
{
	struct conf_mod *m = calloc(1, sizeof(*m));
	struct conf_sync_opts opts = {
		.node = core_node(c),
		.domain = core_domain(c),
		.ops = &sync_ops,
		.ctx = m,
	};
	const char *incarnation = core_incarnation(c);
	enum err e;

	if (!m)
		return ERR_NOMEM;
	opts.seed = XXH64(incarnation, strlen(incarnation), 0);
	m->c = c;
	e = conf_sync_new(&opts, &m->sync);
	if (e)
		goto fail;
	e = conf_mod_kv_start(m);
	if (e)
		goto fail;
	e = conf_mod_edit_start(m);
	if (e)
		goto fail;
	e = conf_mod_peer_start(m);
	if (e)
		goto fail;
	e = conf_mod_admin_start(m);
	if (e)
		goto fail;
	*state = m;
	return ERR_OK;
fail:
	conf_mod_free(m);
	return e;
}

static void on_freshness_change(struct conf_mod *m,
				enum conf_freshness freshness)
{
	bool was_refusing = m->freshness == CONF_CUT_OFF;

	m->freshness = freshness;
	log_event(EV_CONF_CONTACT, "state=%s", freshness_names[freshness]);
	if (was_refusing != (freshness == CONF_CUT_OFF))
		conf_mod_notify(m);
}

static void conf_tick(struct core *c, void *state, int64_t now)
{
	struct conf_mod *m = state;
	enum conf_freshness freshness;
	int64_t age;

	conf_mod_update_members(m);
	conf_sync_tick(m->sync, now);
	conf_mod_edit_tick(m, now);
	freshness = conf_sync_freshness(m->sync, now);
	if (freshness != m->freshness)
		on_freshness_change(m, freshness);
	age = conf_sync_age_ms(m->sync, now);
	metric_set(M_CONF_AGE, age < 0 ? 0 : (uint64_t)age);
}

static bool conf_ready(struct core *c, void *state)
{
	return conf_mod_current(c) != NULL;
}

static void conf_status(struct core *c, void *state, struct json_t *obj)
{
	struct conf_mod *m = state;
	const struct conf *doc = conf_sync_doc(m->sync);
	json_t *status = json_pack(
		"{s:I,s:s,s:I,s:b}", "rev",
		(json_int_t)(doc ? conf_rev(doc) : 0), "contact",
		freshness_names[conf_sync_freshness(m->sync, core_now(c))],
		"age_ms", (json_int_t)conf_sync_age_ms(m->sync, core_now(c)),
		"watcher", (int)conf_sync_is_watcher(m->sync));

	json_object_update_new(obj, status);
}

static void conf_stop(struct core *c, void *state)
{
	conf_mod_free(state);
}

const struct core_mod_ops conf_mod_ops = {
	.name = "conf",
	.start = conf_start,
	.tick = conf_tick,
	.ready = conf_ready,
	.status = conf_status,
	.stop = conf_stop,
};
