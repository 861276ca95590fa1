// Under seeded faults, entry VMs never exceed the capacity of a cold engine, and
// a draining one gets no new requests after 3 s. Each variant without a
// safeguard must be detected.
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

static const double MIN_UTILIZATION = 0.5; ///< part of the engine's capacity

static struct sim_totals run_seeds(enum sim_variant variant, int seeds)
{
	struct sim_totals t = {0};

	for (int i = 0; i < seeds; i++)
		sim_run(variant, (uint64_t)FIRST_SEED + (uint64_t)i, &t);
	t.utilization /= seeds;
	printf("variant %d, seeds %d..%d: %d requests, %d coordinator changes, "
	       "utilization %.2f; %d over capacity, %d late starts\n",
	       (int)variant, FIRST_SEED, FIRST_SEED + seeds - 1, t.starts,
	       t.coordinator_changes, t.utilization, t.overloads,
	       t.late_starts);
	return t;
}

static void test_no_overload_or_late_start(void **state)
{
	struct sim_totals t = run_seeds(SIM_REAL, SEEDS);

	assert_int_equal(t.overloads, 0);
	assert_int_equal(t.late_starts, 0);
	assert_true(t.coordinator_changes > SEEDS);
	assert_true(t.utilization > MIN_UTILIZATION);
}

static void test_late_starts_found_in_broken_variants(void **state)
{
	assert_true(run_seeds(SIM_NO_COORDINATOR, VARIANT_SEEDS).late_starts >
		    0);
	assert_true(run_seeds(SIM_NO_EXPIRY, VARIANT_SEEDS).late_starts > 0);
}

static void test_overload_found_in_each_broken_variant(void **state)
{
	for (int variant = SIM_REAL + 1; variant < SIM_VARIANTS; variant++)
		assert_true(run_seeds((enum sim_variant)variant, VARIANT_SEEDS)
				    .overloads > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_overload_or_late_start),
		cmocka_unit_test(test_overload_found_in_each_broken_variant),
		cmocka_unit_test(test_late_starts_found_in_broken_variants),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
