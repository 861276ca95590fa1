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
	{"swaps", {.weight_swaps = true}, 120},
	{"engines break", {.engine_faults = true, .weight_swaps = true}, 120},
	{"engines break and nodes die",
	 {.engine_faults = true, .node_kill = true, .weight_swaps = true},
	 60},
};

static void test_fault_cases_have_no_violation(void **state)
{
	size_t n = sizeof(cases) / sizeof(*cases);

	assert_int_equal(sim_cases_run(cases, n, 1000), 0);
}

/* The check must detect a deliberate flaw. */
static void test_checks_detect_flaws(void **state)
{
	static const struct sim_flaw flaws[] = {
		{"names the version ordered",
		 ROLLOUT_FLAW_ORDERED_VERSION,
		 {.weight_swaps = true},
		 SIM_CHECK(wrong_tokens)},
	};

	for (size_t i = 0; i < sizeof(flaws) / sizeof(*flaws); i++)
		assert_true(sim_flaw_run(&flaws[i]) > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_fault_cases_have_no_violation),
		cmocka_unit_test(test_checks_detect_flaws),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
