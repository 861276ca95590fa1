// The plan: within the store's rate, all engines in the end, none twice at once.
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
	int64_t done_ms; ///< of a load under way, 0 for none
	bool fails;
};

static const struct weights_opts opts = {
	.store_rate = 1,
	.fan_out = 2,
	.late_ms = 3000,
	.max_loading_percent = 50,
};

static void name(int i, char *buf)
{
	snprintf(buf, 16, "e%d", i);
}

/* One run: a third of the loads fail, an engine leaves, the target changes. */
static void run(uint64_t seed)
{
	struct weights *w = weights_new(&opts);
	struct rng rng = {seed};
	struct engine e[ENGINES] = {0};
	struct weights_progress p;
	struct weights_order o;
	uint64_t target = 1;
	int n = ENGINES;
	char id[16];

	for (int i = 0; i < n; i++) {
		name(i, id);
		weights_report(w, id, 0, 0);
	}
	weights_target(w, target, 0);
	for (int64_t now = 0; now < END_MS; now += STEP_MS) {
		if (now == 4000) {
			target = 2;
			weights_target(w, target, now);
		}
		if (now == 6000) {
			name(--n, id);
			weights_gone(w, id);
		}
		while (weights_next(w, now, &o)) {
			int i = atoi(o.engine + 1);

			assert_true(i < n);
			assert_int_equal(o.version, target);
			assert_int_not_equal(e[i].version, target);
			if (*o.source)
				assert_int_equal(e[atoi(o.source + 1)].version,
						 target);
			e[i].fails = rng_below(&rng, 3) == 0;
			e[i].done_ms = now + LOAD_MS;
		}
		for (int i = 0; i < n; i++) {
			if (e[i].done_ms > 0 && now >= e[i].done_ms) {
				e[i].done_ms = 0;
				if (!e[i].fails)
					e[i].version = target;
			}
			name(i, id);
			weights_report(w, id, e[i].version, now);
		}
		weights_progress(w, &p);
		assert_true(p.loading <= ENGINES / 2);
		assert_true(p.from_store <= 2 + (uint64_t)now / 1000);
	}
	assert_int_equal(p.have, n);
	assert_int_equal(p.loading, 0);
	weights_free(w);
}

static void test_all_engines_in_the_end(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		run(seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_engines_in_the_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
