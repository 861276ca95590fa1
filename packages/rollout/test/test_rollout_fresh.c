// Seeded runs: no sample exceeds the staleness bound at its delivery, though
// weights are swapped and replies are lost.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "sim_cases.h"

static const struct sim_case cases[] = {
	{"swaps and replies lost", {.reply_lost = true, .swaps = true}, 100},
	{"swaps and trainer killed",
	 {.trainer_kill = true, .swaps = true},
	 100},
	{"swaps and two pulls", {.two_pulls = true, .swaps = true}, 100},
};

static void test_every_fault_case(void **state)
{
	size_t n = sizeof(cases) / sizeof(*cases);

	assert_int_equal(sim_cases_run(cases, n, 2000), 0);
}

/* The check must detect a deliberate flaw. */
static void test_flaws_are_seen(void **state)
{
	static const struct sim_flaw flaws[] = {
		{"staleness judged when made",
		 ROLLOUT_STALE_KEPT,
		 {.swaps = true},
		 SIM_CHECK(stale)},
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
