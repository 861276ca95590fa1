// Seeded runs while the key-value store is down, slow or loses replies.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "sim_cases.h"

static const struct sim_case cases[] = {
	{"store down", {.kv_outage = true, .node_kill = true}, 50},
	{"store replies lost", {.kv_reply_loss = true, .node_kill = true}, 50},
};

static void test_fault_cases_have_no_violation(void **state)
{
	size_t n = sizeof(cases) / sizeof(*cases);

	assert_int_equal(sim_cases_run(cases, n, 5000), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_fault_cases_have_no_violation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
