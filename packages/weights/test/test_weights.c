// Weight rollout: stays within the store's rate and the loading limit, and all
// engines reach the target version.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

#include "base/rng.h"
#include "weights/weights.h"

enum {
	ENGINES = 40,
	LOAD_MS = 1000,
	STEP_MS = 50,
	END_MS = 60000,
	SEEDS = 200,
};

struct engine {
	uint64_t version;
	int64_t done_ms; ///< end of the load in progress, 0 for none
	bool load_fails;
};

static const struct weights_opts options = {
	.store_rate = 1,
	.fan_out = 2,
	.late_ms = 3000,
	.max_loading_percent = 50,
};

static void engine_id(int i, char *buf)
{
	snprintf(buf, 16, "e%d", i);
}

/* A third of the loads fail, one engine leaves, the target changes once. */
static void run_rollout(uint64_t seed)
{
	struct weights *w = weights_new(&options);
	struct rng rng = {seed};
	struct engine engines[ENGINES] = {0};
	struct weights_progress progress;
	struct weights_order order;
	uint64_t target = 1;
	int n = ENGINES;
	char id[16];

	for (int i = 0; i < n; i++) {
		engine_id(i, id);
		weights_report(w, id, 0, 0);
	}
	weights_set_target(w, target, 0);
	for (int64_t now = 0; now < END_MS; now += STEP_MS) {
		if (now == 4000) {
			target = 2;
			weights_set_target(w, target, now);
		}
		if (now == 6000) {
			engine_id(--n, id);
			weights_remove_engine(w, id);
		}
		while (weights_next_order(w, now, &order)) {
			int i = atoi(order.engine + 1);

			assert_true(i < n);
			assert_int_equal(order.version, target);
			assert_int_not_equal(engines[i].version, target);
			if (*order.source)
				assert_int_equal(
					engines[atoi(order.source + 1)].version,
					target);
			engines[i].load_fails = rng_below(&rng, 3) == 0;
			engines[i].done_ms = now + LOAD_MS;
		}
		for (int i = 0; i < n; i++) {
			if (engines[i].done_ms > 0 &&
			    now >= engines[i].done_ms) {
				engines[i].done_ms = 0;
				if (!engines[i].load_fails)
					engines[i].version = target;
			}
			engine_id(i, id);
			weights_report(w, id, engines[i].version, now);
		}
		weights_progress(w, &progress);
		assert_true(progress.loading <= ENGINES / 2);
		assert_true(progress.from_store <= 2 + (uint64_t)now / 1000);
	}
	assert_int_equal(progress.have, n);
	assert_int_equal(progress.loading, 0);
	weights_free(w);
}

static void test_all_engines_reach_target(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		run_rollout(seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_engines_reach_target),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
