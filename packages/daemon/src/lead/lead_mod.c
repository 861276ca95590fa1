// Runs this node's candidate for leadership and its liveness key.
#include "daemon/lead_mod.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "candidacy.h"
#include "core/settings.h"
#include "daemon/mods.h"
#include "lead/live.h"
#include "store_keys.h"

enum {
	LEAD_RETRY_MS = 100, ///< minimum delay after a failed call
	LEAD_RENEWALS_PER_TTL = 4,
	/// Half of the 3 s within which leaders must not alternate (A, B, A).
	LEAD_TAKEOVER_DELAY_MS = 1500,
};

struct lead {
	struct live live;
	struct candidacy cand;
	bool candidate;
	bool logged_held; ///< leadership as last logged
};

static struct lead *lead_of(const struct core *c)
{
	return core_mod_state(c, MOD_LEAD);
}

bool lead_mod_is_leader(struct core *c, uint64_t *epoch)
{
	const struct lead *l = lead_of(c);

	return l->candidate &&
	       lease_held(&l->cand.lease, core_now(c), epoch, NULL);
}

bool lead_mod_may_act(struct core *c, uint64_t *epoch)
{
	const struct lead *l = lead_of(c);

	return l->candidate &&
	       lease_may_act(&l->cand.lease, core_now(c), epoch);
}

int64_t lead_mod_leadership_end_ms(struct core *c)
{
	const struct lead *l = lead_of(c);
	int64_t until;

	if (!l->candidate ||
	    !lease_held(&l->cand.lease, core_now(c), NULL, &until))
		return 1;
	return until;
}

bool lead_mod_live_key_held(struct core *c)
{
	return live_held(&lead_of(c)->live, core_now(c));
}

void lead_mod_want_live_key(struct core *c)
{
	live_want(&lead_of(c)->live, core_now(c));
}

uint64_t lead_mod_store_lease(struct core *c)
{
	const struct live *l = &lead_of(c)->live;

	return live_held(l, core_now(c)) ? l->lease : 0;
}

void lead_mod_retire(struct core *c)
{
	struct lead *l = lead_of(c);

	l->live.retiring = true;
	if (l->candidate)
		lease_release(&l->cand.lease);
}

void lead_mod_revoke_live_key(struct core *c)
{
	live_revoke(&lead_of(c)->live);
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
		.renew_ms = settings_int(s, S_LEAD_TTL) / LEAD_RENEWALS_PER_TTL,
		.retry_ms = LEAD_RETRY_MS,
		.standby_poll_ms = settings_int(s, S_LEAD_TTL),
		.takeover_delay_ms = LEAD_TAKEOVER_DELAY_MS,
		.resume = true,
	};

	if (2 * opts.margin_ms > opts.ttl_ms) {
		log_event(EV_FATAL, "[lead] margin is over half of [lead] ttl");
		free(l);
		return ERR_SETTINGS;
	}
	if (!l)
		return ERR_NOMEM;
	snprintf(id, sizeof(id), "%s/%s", core_node(c), core_incarnation(c));
	randombytes_buf(&opts.seed, sizeof(opts.seed));
	l->candidate = settings_int(s, S_LEAD_CANDIDATE) == 1;
	l->live.home = l->candidate;
	l->live.step = l->candidate ? LIVE_GRANT : LIVE_IDLE;
	snprintf(l->cand.key, sizeof(l->cand.key), "%s", KEY_LEADER);
	snprintf(l->cand.epoch_key, sizeof(l->cand.epoch_key), "%s", KEY_EPOCH);
	lease_init(&l->cand.lease, &opts);
	lease_set_watch(&l->cand.lease, true);
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
	candidacy_step(c, &l->cand);
	held = lead_mod_is_leader(c, &epoch);
	if (held == l->logged_held)
		return;
	l->logged_held = held;
	log_event(held ? EV_LEAD_TAKEN : EV_LEAD_LOST, "epoch=%llu",
		  (unsigned long long)epoch);
}

static void lead_drain(struct core *c, void *state)
{
	struct lead *l = state;

	if (l->candidate)
		lease_release(&l->cand.lease);
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
