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
	CALM_STEPS = 200,
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
	struct usage_book book; ///< what was counted
	char *accepted[WINDOWS]; ///< accepted figures by window
	int differing; ///< windows reported again with other figures
	int wrong_holder; ///< reports sent with an old epoch
	int bad;
	bool naive; ///< mutant: figures are recomputed for each attempt
	enum usage_seal_state fault_at; ///< step of the next fault
	enum fault fault;
	struct { ///< outstanding call
		uint64_t call;
		int by;
		enum usage_seal_state step;
		bool unknown;
		int status;
		struct usage_kv kv;
		char *text;
		bool listed;
	} out;
};

static struct world *w;

static int by_of(void *ctx)
{
	return (int)((struct usage_seal *)ctx - w->seals);
}

static int key_find(const char *key, bool make)
{
	for (int i = 0; i < KEYS; i++) {
		if (w->keys[i] && strcmp(w->keys[i], key) == 0)
			return i;
		if (!w->keys[i]) {
			if (make)
				w->keys[i] = strdup(key);
			return make ? i : -1;
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

	free(w->out.text);
	memset(&w->out, 0, sizeof(w->out));
	w->out.call = s->call;
	w->out.by = by_of(ctx);
	w->out.step = s->state;
	if (f == FAULT_NONE)
		return true;
	w->fault = FAULT_NONE;
	w->out.unknown = true;
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
		w->out.kv.err = ERR_NOT_FOUND;
		return;
	}
	w->out.text = strdup(w->values[i]);
	w->out.kv.len = strlen(w->out.text);
	w->out.kv.rev = w->revs[i];
}

static void on_put(void *ctx, const char *key, const char *text, size_t len,
		   uint64_t prev_rev)
{
	enum fault before = w->fault;
	bool effect = call_begin(ctx);
	int i = key_find(key, true);

	if (fault_was(FAULT_PAUSED, before)) {
		hand_over(); /* the other holder acts first */
		for (int k = 0; k < 5; k++)
			usage_seal_tick(&w->seals[w->holder], w->now, w->now,
					WINDOW_MS);
	}
	if (!effect)
		return;
	if (w->revs[i] != prev_rev) {
		w->out.kv.err = ERR_KV_CONFLICT;
		return;
	}
	free(w->values[i]);
	w->values[i] = strndup(text, len);
	w->revs[i] = ++w->rev;
}

static void on_list(void *ctx)
{
	w->out.listed = call_begin(ctx);
}

static void on_send(void *ctx, const char *body, size_t len)
{
	enum fault before = w->fault;
	bool effect = call_begin(ctx);
	int by = by_of(ctx);
	json_t *j = json_loadb(body, len, 0, NULL);
	json_int_t n = json_integer_value(json_object_get(j, "window"));
	char *fig = json_dumps(json_object_get(j, "figures"), JSON_SORT_KEYS);

	if (w->naive)
		snprintf(fig, strlen(fig) + 1, "%llu",
			 (unsigned long long)w->book.version);
	if (fault_was(FAULT_PAUSED, before))
		hand_over();
	if (by != w->holder)
		effect = false; /* its gate is closed */
	if (effect && (uint64_t)json_integer_value(
			      json_object_get(j, "epoch")) != w->epoch)
		w->wrong_holder++;
	json_decref(j);
	assert_true(n > 0 && n < WINDOWS);
	if (!effect || (w->accepted[n] && strcmp(w->accepted[n], fig) != 0)) {
		w->differing += effect;
		w->out.status = effect ? 409 : 0;
		free(fig);
		return;
	}
	free(w->accepted[n]);
	w->accepted[n] = fig;
	w->out.status = 200;
}

static void on_del(void *ctx, const char *key)
{
}

static void on_bad(void *ctx, const char *key, enum err e)
{
	w->bad++;
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
	struct usage_seal *s = &w->seals[w->out.by];
	enum usage_seal_state step = w->out.step;
	char *text = w->out.text;
	json_t *j;

	w->out.step = USAGE_SEAL_OFF;
	w->out.text = NULL;
	if (step != USAGE_SEAL_OFF && s->call == w->out.call) {
		if (w->out.unknown)
			w->out.kv.err = ERR_KV_UNKNOWN;
		w->out.kv.text = text;
		if (step == USAGE_SEAL_SEND) {
			usage_seal_on_sent(s, w->now,
					   w->out.unknown ? 0 : w->out.status);
		} else if (step == USAGE_SEAL_LIST) {
			j = usage_book_json(&w->book);
			free(text);
			text = json_dumps(j, 0);
			json_decref(j);
			if (w->out.listed)
				usage_seal_on_item(s, "usage/node/d1", text,
						   strlen(text));
			usage_seal_on_listed(s, w->now, w->out.kv.err);
		} else {
			usage_seal_on_kv(s, w->now, &w->out.kv);
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
		usage_book_add(&w->book, run, team, USAGE_TOKENS,
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

	for (size_t i = 0; i < w->book.n_entries; i++) {
		for (size_t k = 0; k < w->book.entries[i].n_rows; k++)
			sum += w->book.entries[i].rows[k].v[USAGE_TOKENS];
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
	free(w->out.text);
	usage_book_clear(&w->book);
	free(w);
}

static void world_check_and_free(const char *what)
{
	uint64_t counted = tokens_counted();
	uint64_t reported = tokens_reported();

	if (w->differing || w->wrong_holder || w->bad || counted != reported)
		print_message("invariant broken: %s\n", what);
	assert_int_equal(w->differing, 0);
	assert_int_equal(w->wrong_holder, 0);
	assert_int_equal(w->bad, 0);
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
static void test_each_step(void **state)
{
	char what[96];
	int cases = 0;

	for (int step = USAGE_SEAL_HEAD; step <= USAGE_SEAL_PUT; step++) {
		if (step == USAGE_SEAL_WAIT)
			continue;
		for (int f = FAULT_KILL_BEFORE; f < FAULTS; f++) {
			world_start(1);
			for (int i = 0; i < 25; i++)
				world_step(true);
			one_fault((enum usage_seal_state)step, (enum fault)f);
			for (int i = 0; i < CALM_STEPS; i++)
				world_step(i < CALM_STEPS / 2);
			snprintf(what, sizeof(what), "step %d, %s", step,
				 fault_names[f]);
			world_check_and_free(what);
			cases++;
		}
	}
	print_message("%d cases\n", cases);
}

static void test_seeds(void **state)
{
	char what[32];

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		world_start(seed);
		for (int i = 0; i < RUN_STEPS; i++) {
			if (rng_below(&w->rng, 4) == 0) {
				w->fault_at = USAGE_SEAL_HEAD +
					      (int)rng_below(&w->rng, 8);
				w->fault =
					(enum fault)rng_below(&w->rng, FAULTS);
			}
			if (rng_below(&w->rng, 40) == 0)
				hand_over();
			world_step(true);
		}
		w->fault = FAULT_NONE;
		for (int i = 0; i < CALM_STEPS; i++)
			world_step(false);
		snprintf(what, sizeof(what), "seed %d", (int)seed);
		world_check_and_free(what);
	}
}

/// Mutant: recomputing the figures for each attempt violates the invariant.
static void test_naive(void **state)
{
	world_start(7);
	w->naive = true;
	for (int i = 0; i < 25; i++)
		world_step(true);
	one_fault(USAGE_SEAL_SEND, FAULT_LOST);
	for (int i = 0; i < CALM_STEPS; i++)
		world_step(true);
	print_message("naive: %d reports with other figures\n", w->differing);
	assert_true(w->differing > 0);
	world_free();
}

static void test_damaged(void **state)
{
	world_start(3);
	for (int i = 0; i < 60; i++)
		world_step(true);
	w->values[key_find(USAGE_HEAD_KEY, false)][2] = '\0';
	for (int i = 0; i < 60; i++)
		world_step(true);
	assert_true(w->bad > 0);
	assert_int_equal(w->differing, 0);
	world_free();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_step),
		cmocka_unit_test(test_seeds),
		cmocka_unit_test(test_naive),
		cmocka_unit_test(test_damaged),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
