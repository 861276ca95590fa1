// Seeded runs: the weight versions reported for a sample are those that
// generated it.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "sim_cases.h"

static const struct sim_case cases[] = {
	{"none", {0}, 10},
	{"swaps", {.swaps = true}, 120},
	{"engines break", {.engine_break = true, .swaps = true}, 120},
	{"engines break and nodes die",
	 {.engine_break = true, .node_kill = true, .swaps = true},
	 60},
};

static void test_every_fault_case(void **state)
{
	size_t n = sizeof(cases) / sizeof(*cases);

	assert_int_equal(sim_cases_run(cases, n, 1000), 0);
}

/* The check must detect a deliberate flaw. */
static void test_flaws_are_seen(void **state)
{
	static const struct sim_flaw flaws[] = {
		{"names the version ordered",
		 ROLLOUT_ORDERED_VERSION,
		 {.swaps = true},
		 SIM_CHECK(untrue)},
	};

	for (size_t i = 0; i < sizeof(flaws) / sizeof(*flaws); i++)
		assert_true(sim_flaw_run(&flaws[i]) > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_every_fault_case),
		cmocka_unit_test(test_flaws_are_seen),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
