// Seeded runs: each sample is delivered once though messages are lost or nodes
// crash, drain, freeze or are partitioned.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "sim_cases.h"

static const struct sim_case cases[] = {
	{"messages lost", {.message_loss = true, .weight_swaps = true}, 30},
	{"node killed", {.node_kill = true, .weight_swaps = true}, 50},
	{"node drained", {.node_drain = true, .weight_swaps = true}, 30},
	{"node paused", {.node_pause = true, .weight_swaps = true}, 50},
	{"partition", {.partition = true, .weight_swaps = true}, 50},
};

static void test_fault_cases_have_no_violation(void **state)
{
	size_t n = sizeof(cases) / sizeof(*cases);

	assert_int_equal(sim_cases_run(cases, n, 3000), 0);
}

/* The check must detect each deliberate flaw. */
static void test_checks_detect_flaws(void **state)
{
	static const struct sim_flaw flaws[] = {
		{"answers before the copies have it",
		 ROLLOUT_FLAW_EARLY_REPLY,
		 {.node_kill = true,
		  .trainer_reply_loss = true,
		  .weight_swaps = true},
		 SIM_CHECK(changed)},
		{"a replaced owner is acknowledged",
		 ROLLOUT_FLAW_NO_FENCE,
		 {.node_pause = true,
		  .concurrent_pulls = true,
		  .weight_swaps = true},
		 SIM_CHECK(changed)},
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
