// Asks the store for trials of barred requests.
#include "suspect/trial.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "daemon/mods.h"
#include "daemon/platform_mod.h"
#include "store_keys.h"
#include "suspect/suspect_state.h"

enum {
	TRIALS_MAX = 32, ///< of this node at a time
	TRIAL_ASK_MS = 1000, ///< a request does not wait longer for the store
	TRIAL_USED_MS = 60000, ///< a sending has ended by then
};

enum trial_state {
	TRIAL_ASKED,
	TRIAL_GRANTED,
	TRIAL_USED,
	TRIAL_NOT_GRANTED, ///< asked for again after TRIAL_ASK_MS
};

struct trial {
	htab_handle self;
	struct suspect_id id;
	int number;
	enum trial_state state;
	htab_handle owner;
	uint64_t lease; ///< 0 before the store granted it
	int64_t asked_ms;
};

struct trials {
	struct htab *table;
};

struct trials *trials_new(void)
{
	struct trials *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->table = htab_new(TRIALS_MAX, sizeof(struct trial));
	if (t->table)
		return t;
	free(t);
	return NULL;
}

void trials_free(struct trials *t)
{
	if (!t)
		return;
	htab_free(t->table);
	free(t);
}

static struct htab *table_of(const struct core *c)
{
	struct suspect_state *s = core_mod_state(c, MOD_SUSPECT);

	return s->trials->table;
}

static bool is_over(const struct core *c, const struct trial *t)
{
	int64_t keep_ms = t->state == TRIAL_USED ? TRIAL_USED_MS : TRIAL_ASK_MS;

	return core_now(c) - t->asked_ms >= keep_ms;
}

static struct trial *find(const struct core *c, struct suspect_id id)
{
	struct trial *t;
	size_t iter = 0;

	while ((t = htab_next(table_of(c), &iter, NULL))) {
		if (is_over(c, t))
			htab_del(table_of(c), t->self);
		else if (suspect_same(t->id, id))
			return t;
	}
	return NULL;
}

static void on_given_back(struct core *c, void *ctx,
			  const struct kv_result *res)
{
	/* The lease ends by itself if this was lost. */
}

static void end_lease(struct core *c, uint64_t lease)
{
	if (lease &&
	    kv_lease_revoke(c, lease, (struct kv_cb){on_given_back, NULL}) !=
		    ERR_OK)
		metric_add(M_SUSPECT_TRIAL_LEASES, 1);
}

static void log_trial(struct suspect_id id, int number, const char *outcome)
{
	log_event(EV_SUSPECT_TRIAL,
		  "identity=%016" PRIx64 "%016" PRIx64 " trial=%d outcome=%s",
		  id.high, id.low, number, outcome);
}

/* After an unknown outcome the key may exist: the trial counts, and nobody uses it. */
static void on_put(struct core *c, void *ctx, const struct kv_result *res)
{
	struct trial *t = htab_get(table_of(c), (htab_handle)(uintptr_t)ctx);
	struct suspect_state *s = core_mod_state(c, MOD_SUSPECT);

	if (!t)
		return;
	if (res->err == ERR_OK) {
		t->state = TRIAL_GRANTED;
		metric_add(M_SUSPECT_TRIALS, 1);
	} else {
		t->state = TRIAL_NOT_GRANTED;
		if (res->err == ERR_KV_CONFLICT)
			end_lease(c, t->lease);
	}
	if (res->err != ERR_KV_DOWN)
		suspects_trial_granted(s->table, core_now(c), t->id, t->number);
	log_trial(t->id, t->number,
		  res->err == ERR_OK ? "granted" : err_code(res->err));
}

static void on_lease(struct core *c, void *ctx, const struct kv_result *res)
{
	struct trial *t = htab_get(table_of(c), (htab_handle)(uintptr_t)ctx);
	char key[STORE_KEY_SIZE];
	struct kv_put_opts put = {
		.key = key,
		.value = core_node(c),
		.len = strlen(core_node(c)),
		.lease = res->lease,
	};

	if (!t) {
		if (res->err == ERR_OK)
			end_lease(c, res->lease);
		return;
	}
	t->lease = res->err == ERR_OK ? res->lease : 0;
	snprintf(key, sizeof(key), KEY_TRIAL "%016" PRIx64 "%016" PRIx64 "/%d",
		 t->id.high, t->id.low, t->number);
	if (!t->lease ||
	    kv_put(c, &put, (struct kv_cb){on_put, ctx}) != ERR_OK) {
		t->state = TRIAL_NOT_GRANTED;
		log_trial(t->id, t->number, "store-down");
	}
}

static void ask(struct core *c, struct suspect_id id, int number,
		htab_handle owner)
{
	htab_handle h;
	struct trial *t = htab_add(table_of(c), &h);

	if (!t)
		return;
	*t = (struct trial){
		.self = h,
		.id = id,
		.number = number,
		.owner = owner,
		.asked_ms = core_now(c),
	};
	if (kv_lease_grant(c, SUSPECT_KEEP_MS,
			   (struct kv_cb){on_lease, (void *)(uintptr_t)h}) !=
	    ERR_OK)
		t->state = TRIAL_NOT_GRANTED;
}

bool trial_is_for(struct core *c, struct suspect_id id, htab_handle owner)
{
	const struct trial *t = find(c, id);

	return t && t->owner == owner &&
	       (t->state == TRIAL_ASKED || t->state == TRIAL_GRANTED);
}

bool trial_take(struct core *c, struct suspect_id id, int number,
		htab_handle owner)
{
	struct trial *t = find(c, id);

	if (!t)
		ask(c, id, number, owner);
	if (!t || t->state != TRIAL_GRANTED || t->owner != owner)
		return false;
	t->state = TRIAL_USED;
	t->asked_ms = core_now(c);
	return true;
}

bool trial_give_back(struct core *c, struct suspect_id id)
{
	struct trial *t = find(c, id);

	if (!t || t->state != TRIAL_USED)
		return false;
	end_lease(c, t->lease);
	htab_del(table_of(c), t->self);
	return true;
}
