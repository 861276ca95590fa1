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
	TRIAL_RUN_MS = 5000, ///< then another request may be tried
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
	bool confirmed; ///< the request was, when this was asked for
	htab_handle owner;
	uint64_t lease; ///< 0 before the store granted it
	uint64_t rev; ///< of its key
	uint64_t run_lease; ///< of KEY_TRIAL_NOW, 0: it does not run
	int64_t asked_ms;
};

struct trials {
	struct htab *table;
};

/// Value of a key, with the number of the last trial: a server ended in it.
static const char TRIAL_ENDED[] = "ended %d";

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

static void key_of(const struct trial *t, int number, char key[STORE_KEY_SIZE])
{
	snprintf(key, STORE_KEY_SIZE,
		 KEY_TRIAL "%016" PRIx64 "%016" PRIx64 "/%d", t->id.high,
		 t->id.low, number);
}

static enum err put(struct core *c, const struct trial *t, const char *value,
		    void (*done)(struct core *c, void *ctx,
				 const struct kv_result *res))
{
	char key[STORE_KEY_SIZE];
	const struct kv_put_opts opts = {
		.key = key,
		.value = value,
		.len = strlen(value),
		.prev_rev = t->rev,
		.lease = t->lease,
	};

	key_of(t, t->number, key);
	return kv_put(c, &opts,
		      (struct kv_cb){done, (void *)(uintptr_t)t->self});
}

static void end_run(struct core *c, struct trial *t)
{
	end_lease(c, t->run_lease);
	t->run_lease = 0;
}

static void not_granted(struct core *c, struct trial *t, const char *reason)
{
	t->state = TRIAL_NOT_GRANTED;
	end_run(c, t);
	end_lease(c, t->lease);
	log_trial(t->id, t->number, reason);
}

/* After an unknown outcome the key may exist: the trial counts, and nobody uses it. */
static void on_put(struct core *c, void *ctx, const struct kv_result *res)
{
	struct trial *t = htab_get(table_of(c), (htab_handle)(uintptr_t)ctx);
	struct suspect_state *s = core_mod_state(c, MOD_SUSPECT);

	if (!t)
		return;
	if (res->err != ERR_KV_DOWN)
		suspects_trial_granted(s->table, core_now(c), t->id, t->number);
	if (res->err != ERR_OK) {
		not_granted(c, t, err_code(res->err));
		return;
	}
	t->state = TRIAL_GRANTED;
	t->rev = res->rev;
	metric_add(M_SUSPECT_TRIALS, 1);
	log_trial(t->id, t->number, "granted");
}

static void on_run_put(struct core *c, void *ctx, const struct kv_result *res)
{
	struct trial *t = htab_get(table_of(c), (htab_handle)(uintptr_t)ctx);

	if (!t)
		return;
	if (res->err != ERR_OK)
		not_granted(c, t, "another-runs");
	else if (put(c, t, core_node(c), on_put) != ERR_OK)
		not_granted(c, t, "store-down");
}

static void on_run_lease(struct core *c, void *ctx, const struct kv_result *res)
{
	struct trial *t = htab_get(table_of(c), (htab_handle)(uintptr_t)ctx);
	const struct kv_put_opts opts = {
		.key = KEY_TRIAL_NOW,
		.value = core_node(c),
		.len = strlen(core_node(c)),
		.lease = res->lease,
	};

	if (!t) {
		if (res->err == ERR_OK)
			end_lease(c, res->lease);
		return;
	}
	t->run_lease = res->err == ERR_OK ? res->lease : 0;
	if (res->err != ERR_OK ||
	    kv_put(c, &opts, (struct kv_cb){on_run_put, ctx}) != ERR_OK)
		not_granted(c, t, "store-down");
}

static enum err run(struct core *c, const struct trial *t)
{
	return kv_lease_grant(
		c, TRIAL_RUN_MS,
		(struct kv_cb){on_run_lease, (void *)(uintptr_t)t->self});
}

/* The trial before this one: the news of its end may not have come here. */
static void on_previous(struct core *c, void *ctx, const struct kv_result *res)
{
	struct trial *t = htab_get(table_of(c), (htab_handle)(uintptr_t)ctx);

	int last_trial;

	if (!t)
		return;
	if (res->err == ERR_OK && res->n_items &&
	    sscanf(res->items[0].value, TRIAL_ENDED, &last_trial) == 1) {
		suspect_confirm(c, t->id, last_trial, "store");
		if (t->number > last_trial || !t->confirmed) {
			not_granted(c, t, "ended-before");
			return;
		}
	}
	if ((res->err != ERR_OK && res->err != ERR_NOT_FOUND) ||
	    run(c, t) != ERR_OK)
		not_granted(c, t, "store-down");
}

static void on_lease(struct core *c, void *ctx, const struct kv_result *res)
{
	struct trial *t = htab_get(table_of(c), (htab_handle)(uintptr_t)ctx);
	char key[STORE_KEY_SIZE];
	enum err e;

	if (!t) {
		if (res->err == ERR_OK)
			end_lease(c, res->lease);
		return;
	}
	t->lease = res->err == ERR_OK ? res->lease : 0;
	e = res->err;
	key_of(t, t->number - 1, key);
	if (e == ERR_OK)
		e = t->number > 1
			    ? kv_get(c, key, (struct kv_cb){on_previous, ctx})
			    : run(c, t);
	if (e != ERR_OK)
		not_granted(c, t, "store-down");
}

static void ask(struct core *c, const struct suspect_entry *e,
		htab_handle owner)
{
	htab_handle h;
	struct trial *t = htab_add(table_of(c), &h);

	if (!t)
		return;
	*t = (struct trial){
		.self = h,
		.id = e->id,
		.number = e->trials + 1,
		.confirmed = e->confirmed,
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

bool trial_take(struct core *c, const struct suspect_entry *e,
		htab_handle owner)
{
	struct trial *t = find(c, e->id);

	if (!t)
		ask(c, e, owner);
	if (!t || t->state != TRIAL_GRANTED || t->owner != owner)
		return false;
	t->state = TRIAL_USED;
	t->asked_ms = core_now(c);
	return true;
}

/* If the mark is lost, the news of the end still reach the nodes through the homes. */
static void on_marked(struct core *c, void *ctx, const struct kv_result *res)
{
	const struct trial *t =
		htab_get(table_of(c), (htab_handle)(uintptr_t)ctx);

	if (t)
		log_trial(t->id, t->number,
			  res->err == ERR_OK ? "ended" : err_code(res->err));
}

void trial_mark_ended(struct core *c, struct suspect_id id, int last_trial)
{
	struct trial *t = find(c, id);
	char value[32];

	if (!t || t->state != TRIAL_USED)
		return;
	end_run(c, t);
	snprintf(value, sizeof(value), TRIAL_ENDED, last_trial);
	if (put(c, t, value, on_marked) != ERR_OK)
		log_trial(t->id, t->number, "store-down");
}

bool trial_give_back(struct core *c, struct suspect_id id)
{
	struct trial *t = find(c, id);

	if (!t || t->state != TRIAL_USED)
		return false;
	end_run(c, t);
	end_lease(c, t->lease);
	htab_del(table_of(c), t->self);
	return true;
}
