// Seeded runs: no sample exceeds the staleness bound at its delivery, though
// weights are swapped and replies are lost.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "sim_cases.h"

static const struct sim_case cases[] = {
	{"swaps and replies lost",
	 {.trainer_reply_loss = true, .weight_swaps = true},
	 100},
	{"swaps and trainer killed",
	 {.trainer_kill = true, .weight_swaps = true},
	 100},
	{"swaps and two pulls",
	 {.concurrent_pulls = true, .weight_swaps = true},
	 100},
};

static void test_fault_cases_have_no_violation(void **state)
{
	size_t n = sizeof(cases) / sizeof(*cases);

	assert_int_equal(sim_cases_run(cases, n, 2000), 0);
}

/* The check must detect a deliberate flaw. */
static void test_checks_detect_flaws(void **state)
{
	static const struct sim_flaw flaws[] = {
		{"staleness judged when made",
		 ROLLOUT_FLAW_KEEP_STALE,
		 {.weight_swaps = true},
		 SIM_CHECK(stale)},
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
