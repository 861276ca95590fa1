// Proof: the sum over all entry VMs never passes what a cold engine bears, and
// a leaving one gets no new work after 3 s, over seeded faults; and each naive
// variant is found out.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "sim.h"

enum {
	SEEDS = 1000,
	VARIANT_SEEDS = 40,
	FIRST_SEED = 1,
};

static const double USED_MIN = 0.5; ///< of what the engine bears

static struct sim_totals run_seeds(enum sim_variant v, int seeds)
{
	struct sim_totals t = {0};

	for (int i = 0; i < seeds; i++)
		sim_run(v, (uint64_t)FIRST_SEED + (uint64_t)i, &t);
	t.used /= seeds;
	printf("variant %d, seeds %d..%d: %d requests, %d steward changes, "
	       "%.2f of the engine used; passed %d times, %d late starts\n",
	       (int)v, FIRST_SEED, FIRST_SEED + seeds - 1, t.starts,
	       t.steward_changes, t.used, t.passed, t.late_starts);
	return t;
}

static void test_real(void **state)
{
	struct sim_totals t = run_seeds(SIM_REAL, SEEDS);

	assert_int_equal(t.passed, 0);
	assert_int_equal(t.late_starts, 0);
	assert_true(t.steward_changes > SEEDS);
	assert_true(t.used > USED_MIN);
}

static void test_naive_keeps_leaving(void **state)
{
	assert_true(run_seeds(SIM_NO_STEWARD, VARIANT_SEEDS).late_starts > 0);
	assert_true(run_seeds(SIM_NO_EXPIRY, VARIANT_SEEDS).late_starts > 0);
}

static void test_naive_passes(void **state)
{
	for (int v = SIM_REAL + 1; v < SIM_VARIANTS; v++)
		assert_true(
			run_seeds((enum sim_variant)v, VARIANT_SEEDS).passed >
			0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_real),
		cmocka_unit_test(test_naive_passes),
		cmocka_unit_test(test_naive_keeps_leaving),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
