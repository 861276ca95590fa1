// Limit of a backend server: where it starts.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "slot/limit.h"

static struct slot_limit limit_new(void)
{
	struct slot_limit_opts o = {.start = 1, .max = 64};
	struct slot_limit l;

	slot_limit_init(&l, &o);
	return l;
}

static void test_configuration_after_the_coordinator_sets_start(void **state)
{
	struct slot_limit l = limit_new();

	slot_limit_set_start(&l, 64);
	assert_int_equal(slot_limit_get(&l), 64);
	slot_limit_set_start(&l, 8);
	assert_int_equal(slot_limit_get(&l), 8);
}

static void test_later_start_leaves_former_coordinators_limit(void **state)
{
	struct slot_limit l = limit_new();

	l.adaptive_slots = 20;
	slot_limit_set_start(&l, 8);
	assert_int_equal(slot_limit_get(&l), 20);
}

static void test_later_start_leaves_sampled_limit(void **state)
{
	struct slot_sample ok = {.ok_count = 1, .ok_sum_ms = 5};
	struct slot_sample bad = {.errors = 1};
	struct slot_limit l = limit_new();

	slot_limit_sample(&l, 1000, &ok, 0);
	slot_limit_set_start(&l, 64);
	assert_int_equal(slot_limit_get(&l), 1);
	l = limit_new();
	slot_limit_sample(&l, 1000, &bad, 0);
	slot_limit_set_start(&l, 64);
	assert_int_equal(slot_limit_get(&l), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_configuration_after_the_coordinator_sets_start),
		cmocka_unit_test(
			test_later_start_leaves_former_coordinators_limit),
		cmocka_unit_test(test_later_start_leaves_sampled_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
