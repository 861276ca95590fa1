// Runs this node's candidacy and its liveness key.
#include "daemon/lead_mod.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "core/settings.h"
#include "daemon/mods.h"
#include "lead/live.h"
#include "lease/lease.h"
#include "store_keys.h"

enum {
	LEAD_RETRY_MS = 100, ///< least wait after a failed call
	LEAD_RENEWALS = 4, ///< in a time to live
	/// Half of the time in which holders must not take turns, which is 3 s.
	LEAD_QUIET_MS = 1500,
};

struct lead {
	struct live live;
	struct lease lease;
	bool candidate;
	bool held; ///< as last logged
	char seen_holder[LEASE_HOLDER_MAX]; ///< of the last read
};

static struct lead *lead_of(const struct core *c)
{
	return core_mod_state(c, MOD_LEAD);
}

bool lead_mod_held(struct core *c, uint64_t *epoch)
{
	const struct lead *l = lead_of(c);

	return l->candidate && lease_held(&l->lease, core_now(c), epoch, NULL);
}

bool lead_mod_may_act(struct core *c, uint64_t *epoch)
{
	const struct lead *l = lead_of(c);

	return l->candidate && lease_may_act(&l->lease, core_now(c), epoch);
}

bool lead_mod_alive(struct core *c)
{
	return live_held(&lead_of(c)->live, core_now(c));
}

void lead_mod_leave(struct core *c)
{
	live_leave(&lead_of(c)->live);
}

/* Read holder and epoch of a value into the answer. */
static void read_value(struct lead *l, const struct kv_item *item,
		       struct lease_answer *ans)
{
	json_t *obj = json_loadb(item->value, item->len, 0, NULL);
	const char *holder = json_string_value(json_object_get(obj, "holder"));

	snprintf(l->seen_holder, sizeof(l->seen_holder), "%s",
		 holder ? holder : "");
	ans->epoch =
		(uint64_t)json_integer_value(json_object_get(obj, "epoch"));
	ans->rev = item->rev;
	json_decref(obj);
}

static void lead_drive(struct core *c, struct lead *l);

static void on_answer(struct core *c, void *ctx, const struct kv_result *res)
{
	struct lead *l = ctx;
	struct lease_answer ans = {
		.err = res->err,
		.holder = l->seen_holder,
		.rev = res->rev,
		.store_lease = res->lease,
	};

	l->seen_holder[0] = '\0';
	for (size_t i = 0; i < res->n_deleted; i++)
		ans.gone |= strcmp(res->deleted[i], KEY_LEADER) == 0;
	ans.changed = res->n_items > 0;
	if (res->n_items)
		read_value(l, &res->items[res->n_items - 1], &ans);
	lease_answer(&l->lease, core_now(c), &ans);
	lead_drive(c, l);
}

static enum err lead_put(struct core *c, const char *key,
			 const struct lease_action *a, uint64_t store_lease,
			 struct kv_cb cb)
{
	char value[2 * LEASE_HOLDER_MAX];
	const struct kv_put_opts put = {
		.key = key,
		.value = value,
		.len = (size_t)snprintf(value, sizeof(value),
					"{\"holder\":\"%s\",\"epoch\":%llu}",
					a->holder,
					(unsigned long long)a->epoch),
		.prev_rev = a->rev,
		.lease = store_lease,
	};

	return kv_put(c, &put, cb);
}

static enum err lead_call(struct core *c, struct lead *l,
			  const struct lease_action *a)
{
	const struct kv_cb cb = {on_answer, l};

	switch (a->op) {
	case LEASE_READ:
		return kv_get(c, KEY_LEADER, cb);
	case LEASE_WATCH:
		return kv_watch(c, KEY_LEADER, a->rev, a->ms, cb);
	case LEASE_GRANT:
		return kv_lease_grant(c, a->ms, cb);
	case LEASE_CREATE:
		return lead_put(c, KEY_LEADER, a, a->store_lease, cb);
	case LEASE_READ_EPOCH:
		return kv_get(c, KEY_EPOCH, cb);
	case LEASE_PUT_EPOCH:
		return lead_put(c, KEY_EPOCH, a, 0, cb);
	case LEASE_RENEW:
		return kv_lease_renew(c, a->store_lease, cb);
	case LEASE_REVOKE:
		return kv_lease_revoke(c, a->store_lease, cb);
	case LEASE_NONE:
		break;
	}
	return ERR_OK;
}

static void lead_drive(struct core *c, struct lead *l)
{
	const struct lease_answer not_sent = {.err = ERR_KV_DOWN, .holder = ""};
	const struct lease_action a = lease_next(&l->lease, core_now(c));

	if (a.op != LEASE_NONE && lead_call(c, l, &a) != ERR_OK)
		lease_answer(&l->lease, core_now(c), &not_sent);
}

static enum err lead_start(struct core *c, void **state)
{
	const struct settings *s = core_settings(c);
	struct lead *l = calloc(1, sizeof(*l));
	char id[LEASE_NODE_MAX];
	struct lease_opts opts = {
		.node = id,
		.ttl_ms = settings_int(s, S_LEAD_TTL),
		.margin_ms = settings_int(s, S_LEAD_MARGIN),
		.renew_ms = settings_int(s, S_LEAD_TTL) / LEAD_RENEWALS,
		.retry_ms = LEAD_RETRY_MS,
		.slow_ms = settings_int(s, S_LEAD_TTL),
		.quiet_ms = LEAD_QUIET_MS,
	};

	if (!l)
		return ERR_NOMEM;
	snprintf(id, sizeof(id), "%s/%s", core_node(c), core_incarnation(c));
	randombytes_buf(&opts.seed, sizeof(opts.seed));
	l->candidate = settings_int(s, S_LEAD_CANDIDATE) == 1;
	l->live.home = l->candidate;
	lease_init(&l->lease, &opts);
	lease_set_eager(&l->lease, true);
	*state = l;
	return ERR_OK;
}

static void lead_tick(struct core *c, void *state, int64_t now_ms)
{
	struct lead *l = state;
	uint64_t epoch = 0;
	bool held;

	live_step(c, &l->live);
	if (!l->candidate)
		return;
	lead_drive(c, l);
	held = lead_mod_held(c, &epoch);
	if (held == l->held)
		return;
	l->held = held;
	log_event(held ? EV_LEAD_TAKEN : EV_LEAD_LOST, "epoch=%llu",
		  (unsigned long long)epoch);
}

static void lead_drain(struct core *c, void *state)
{
	struct lead *l = state;

	if (l->candidate)
		lease_release(&l->lease);
}

static void lead_stop(struct core *c, void *state)
{
	free(state);
}

const struct core_mod_ops lead_mod_ops = {
	.name = "lead",
	.start = lead_start,
	.tick = lead_tick,
	.drain = lead_drain,
	.stop = lead_stop,
};
