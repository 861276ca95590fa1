// Sealing and reporting with faults at every step: no window is reported with
// two different figures, and the sum of all figures is what was counted.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <jansson.h>

#include "base/rng.h"
#include "usage/seal.h"

enum {
	HOLDERS = 3,
	KEYS = 256,
	WINDOWS = 200,
	STEP_MS = 50,
	WINDOW_MS = 1000,
	SEEDS = 1000,
	RUN_STEPS = 400,
	FAULT_FREE_STEPS = 200,
};

/// Fault injected into a call of the holder.
enum fault {
	FAULT_NONE,
	FAULT_KILL_BEFORE, ///< holder is killed, the call has no effect
	FAULT_KILL_AFTER, ///< holder is killed, the call took effect
	FAULT_LOST, ///< the reply is lost, the call took effect
	FAULT_REFUSED, ///< the call fails and had no effect
	FAULT_PAUSED, ///< takes effect after another holder took over
	FAULTS
};

static const char *const fault_names[FAULTS] = {
	"none",	       "killed before", "killed after",
	"answer lost", "call failed",	"paused during a handover",
};

struct world {
	struct rng rng;
	char *keys[KEYS];
	char *values[KEYS];
	uint64_t revs[KEYS];
	uint64_t rev;
	struct usage_seal seals[HOLDERS];
	int holder;
	uint64_t epoch;
	int64_t now;
	struct usage_counters counters; ///< what was counted
	char *accepted[WINDOWS]; ///< accepted figures by window
	int conflicting_reports; ///< windows reported again with other figures
	int stale_epoch_reports; ///< reports sent with an old epoch
	int n_bad;
	bool recompute; ///< mutant: figures are recomputed for each attempt
	enum usage_seal_state fault_at; ///< step of the next fault
	enum fault fault;
	struct { ///< outstanding call
		uint64_t call_id;
		int holder_index;
		enum usage_seal_state step;
		bool unknown;
		int status;
		struct usage_kv kv;
		char *text;
		bool listed;
	} pending;
};

static struct world *w;

static int holder_of(void *ctx)
{
	return (int)((struct usage_seal *)ctx - w->seals);
}

static int key_find(const char *key, bool create)
{
	for (int i = 0; i < KEYS; i++) {
		if (w->keys[i] && strcmp(w->keys[i], key) == 0)
			return i;
		if (!w->keys[i]) {
			if (create)
				w->keys[i] = strdup(key);
			return create ? i : -1;
		}
	}
	fail_msg("too many keys");
	return -1;
}

static void hand_over(void)
{
	usage_seal_end(&w->seals[w->holder]);
	w->holder = (w->holder + 1) % HOLDERS;
	usage_seal_begin(&w->seals[w->holder], w->now, ++w->epoch);
}

/// Start a call and inject the fault, if one is due.
///
/// @return whether it takes effect
static bool call_begin(void *ctx)
{
	struct usage_seal *s = ctx;
	enum fault f = s->state == w->fault_at ? w->fault : FAULT_NONE;

	free(w->pending.text);
	memset(&w->pending, 0, sizeof(w->pending));
	w->pending.call_id = s->call_id;
	w->pending.holder_index = holder_of(ctx);
	w->pending.step = s->state;
	if (f == FAULT_NONE)
		return true;
	w->fault = FAULT_NONE;
	w->pending.unknown = true;
	return f == FAULT_KILL_AFTER || f == FAULT_LOST || f == FAULT_PAUSED;
}

static bool fault_was(enum fault f, enum fault before)
{
	return before == f && w->fault == FAULT_NONE;
}

static void on_get(void *ctx, const char *key)
{
	int i;

	if (!call_begin(ctx))
		return;
	i = key_find(key, false);
	if (i < 0 || !w->values[i]) {
		w->pending.kv.err = ERR_NOT_FOUND;
		return;
	}
	w->pending.text = strdup(w->values[i]);
	w->pending.kv.len = strlen(w->pending.text);
	w->pending.kv.rev = w->revs[i];
}

static void on_put(void *ctx, const char *key, const char *text, size_t len,
		   uint64_t prev_rev)
{
	enum fault before = w->fault;
	bool takes_effect = call_begin(ctx);
	int i = key_find(key, true);

	if (fault_was(FAULT_PAUSED, before)) {
		hand_over(); /* the other holder acts first */
		for (int k = 0; k < 5; k++)
			usage_seal_tick(&w->seals[w->holder], w->now, w->now,
					WINDOW_MS);
	}
	if (!takes_effect)
		return;
	if (w->revs[i] != prev_rev) {
		w->pending.kv.err = ERR_KV_CONFLICT;
		return;
	}
	free(w->values[i]);
	w->values[i] = strndup(text, len);
	w->revs[i] = ++w->rev;
}

static void on_list(void *ctx)
{
	w->pending.listed = call_begin(ctx);
}

static void on_send(void *ctx, const char *body, size_t len)
{
	enum fault before = w->fault;
	bool takes_effect = call_begin(ctx);
	int holder_index = holder_of(ctx);
	json_t *j = json_loadb(body, len, 0, NULL);
	json_int_t n = json_integer_value(json_object_get(j, "window"));
	char *fig = json_dumps(json_object_get(j, "figures"), JSON_SORT_KEYS);

	if (w->recompute)
		snprintf(fig, strlen(fig) + 1, "%llu",
			 (unsigned long long)w->counters.version);
	if (fault_was(FAULT_PAUSED, before))
		hand_over();
	if (holder_index != w->holder)
		takes_effect = false; /* its gate is closed */
	if (takes_effect && (uint64_t)json_integer_value(
				    json_object_get(j, "epoch")) != w->epoch)
		w->stale_epoch_reports++;
	json_decref(j);
	assert_true(n > 0 && n < WINDOWS);
	if (!takes_effect ||
	    (w->accepted[n] && strcmp(w->accepted[n], fig) != 0)) {
		w->conflicting_reports += takes_effect;
		w->pending.status = takes_effect ? 409 : 0;
		free(fig);
		return;
	}
	free(w->accepted[n]);
	w->accepted[n] = fig;
	w->pending.status = 200;
}

static void on_del(void *ctx, const char *key)
{
}

static void on_bad(void *ctx, const char *key, enum err e)
{
	w->n_bad++;
}

static void on_reported(void *ctx, uint64_t window)
{
}

static const struct usage_seal_ops ops = {
	on_get, on_list, on_put, on_del, on_send, on_bad, on_reported,
};

/// Deliver the reply to the outstanding call, unless the call is no longer
/// current.
static void deliver(void)
{
	struct usage_seal *s = &w->seals[w->pending.holder_index];
	enum usage_seal_state step = w->pending.step;
	char *text = w->pending.text;
	json_t *j;

	w->pending.step = USAGE_SEAL_OFF;
	w->pending.text = NULL;
	if (step != USAGE_SEAL_OFF && s->call_id == w->pending.call_id) {
		if (w->pending.unknown)
			w->pending.kv.err = ERR_KV_UNKNOWN;
		w->pending.kv.text = text;
		if (step == USAGE_SEAL_SEND_REPORT) {
			usage_seal_on_sent(
				s, w->now,
				w->pending.unknown ? 0 : w->pending.status);
		} else if (step == USAGE_SEAL_LIST_COUNTERS) {
			j = usage_counters_to_json(&w->counters);
			free(text);
			text = json_dumps(j, 0);
			json_decref(j);
			if (w->pending.listed)
				usage_seal_on_item(s, "usage/node/d1", text,
						   strlen(text));
			usage_seal_on_listed(s, w->now, w->pending.kv.err);
		} else {
			usage_seal_on_kv(s, w->now, &w->pending.kv);
		}
	}
	free(text);
}

static void world_start(uint64_t seed)
{
	w = calloc(1, sizeof(*w));
	w->rng.state = seed;
	w->now = 100000;
	for (int i = 0; i < HOLDERS; i++) {
		w->seals[i].ops = &ops;
		w->seals[i].ctx = &w->seals[i];
	}
	usage_seal_begin(&w->seals[0], w->now, ++w->epoch);
}

static void world_step(bool counting)
{
	char run[16], team[16];

	w->now += STEP_MS;
	if (counting) {
		snprintf(run, sizeof(run), "n%d", (int)rng_below(&w->rng, 3));
		snprintf(team, sizeof(team), "t%d", (int)rng_below(&w->rng, 2));
		usage_counters_add(&w->counters, run, team, USAGE_TOKENS,
				   rng_below(&w->rng, 1000));
	}
	usage_seal_tick(&w->seals[w->holder], w->now, w->now, WINDOW_MS);
	for (int k = 0; k < 4; k++)
		deliver();
}

static uint64_t tokens_reported(void)
{
	uint64_t sum = 0;
	const char *team;
	json_t *v;

	for (int n = 0; n < WINDOWS; n++) {
		json_t *fig = w->accepted[n]
				      ? json_loads(w->accepted[n], 0, NULL)
				      : NULL;

		json_object_foreach(fig, team, v)
			sum += (uint64_t)json_integer_value(
				json_object_get(v, "tokens"));
		json_decref(fig);
	}
	return sum;
}

static uint64_t tokens_counted(void)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < w->counters.n_entries; i++) {
		for (size_t k = 0; k < w->counters.entries[i].n_rows; k++)
			sum += w->counters.entries[i].rows[k].v[USAGE_TOKENS];
	}
	return sum;
}

static void world_free(void)
{
	for (int i = 0; i < HOLDERS; i++)
		usage_seal_end(&w->seals[i]);
	for (int i = 0; i < KEYS; i++) {
		free(w->keys[i]);
		free(w->values[i]);
	}
	for (int i = 0; i < WINDOWS; i++)
		free(w->accepted[i]);
	free(w->pending.text);
	usage_counters_clear(&w->counters);
	free(w);
}

static void world_check_and_free(const char *what)
{
	uint64_t counted = tokens_counted();
	uint64_t reported = tokens_reported();

	if (w->conflicting_reports || w->stale_epoch_reports || w->n_bad ||
	    counted != reported)
		print_message("invariant broken: %s\n", what);
	assert_int_equal(w->conflicting_reports, 0);
	assert_int_equal(w->stale_epoch_reports, 0);
	assert_int_equal(w->n_bad, 0);
	assert_int_equal(counted, reported);
	world_free();
}

static void one_fault(enum usage_seal_state step, enum fault f)
{
	w->fault_at = step;
	w->fault = f;
	for (int i = 0; i < 60 && w->fault == f; i++)
		world_step(true);
	assert_int_equal(w->fault, FAULT_NONE);
	if (f == FAULT_KILL_BEFORE || f == FAULT_KILL_AFTER)
		hand_over();
}

/// Injects every fault at every step, in the second window.
static void test_each_fault_at_each_step(void **state)
{
	char what[96];
	int cases = 0;

	for (int step = USAGE_SEAL_READ_HEAD; step <= USAGE_SEAL_CREATE_RECORD;
	     step++) {
		if (step == USAGE_SEAL_WAIT_WINDOW)
			continue;
		for (int f = FAULT_KILL_BEFORE; f < FAULTS; f++) {
			world_start(1);
			for (int i = 0; i < 25; i++)
				world_step(true);
			one_fault((enum usage_seal_state)step, (enum fault)f);
			for (int i = 0; i < FAULT_FREE_STEPS; i++)
				world_step(i < FAULT_FREE_STEPS / 2);
			snprintf(what, sizeof(what), "step %d, %s", step,
				 fault_names[f]);
			world_check_and_free(what);
			cases++;
		}
	}
	print_message("%d cases\n", cases);
}

static void test_random_faults(void **state)
{
	char what[32];

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		world_start(seed);
		for (int i = 0; i < RUN_STEPS; i++) {
			if (rng_below(&w->rng, 4) == 0) {
				w->fault_at = USAGE_SEAL_READ_HEAD +
					      (int)rng_below(&w->rng, 8);
				w->fault =
					(enum fault)rng_below(&w->rng, FAULTS);
			}
			if (rng_below(&w->rng, 40) == 0)
				hand_over();
			world_step(true);
		}
		w->fault = FAULT_NONE;
		for (int i = 0; i < FAULT_FREE_STEPS; i++)
			world_step(false);
		snprintf(what, sizeof(what), "seed %d", (int)seed);
		world_check_and_free(what);
	}
}

/// Mutant: recomputing the figures for each attempt violates the invariant.
static void test_recomputed_figures_conflict(void **state)
{
	world_start(7);
	w->recompute = true;
	for (int i = 0; i < 25; i++)
		world_step(true);
	one_fault(USAGE_SEAL_SEND_REPORT, FAULT_LOST);
	for (int i = 0; i < FAULT_FREE_STEPS; i++)
		world_step(true);
	print_message("naive: %d reports with other figures\n",
		      w->conflicting_reports);
	assert_true(w->conflicting_reports > 0);
	world_free();
}

static void test_damaged_head_reported(void **state)
{
	world_start(3);
	for (int i = 0; i < 60; i++)
		world_step(true);
	w->values[key_find(USAGE_HEAD_KEY, false)][2] = '\0';
	for (int i = 0; i < 60; i++)
		world_step(true);
	assert_true(w->n_bad > 0);
	assert_int_equal(w->conflicting_reports, 0);
	world_free();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_fault_at_each_step),
		cmocka_unit_test(test_random_faults),
		cmocka_unit_test(test_recomputed_figures_conflict),
		cmocka_unit_test(test_damaged_head_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
