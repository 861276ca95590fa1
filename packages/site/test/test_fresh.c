// How old knowledge may get: the shares of a bound add up to less than it.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "site/fresh.h"

enum {
	TICK_MS = 20, ///< of the loop, three of them a step at most
	TRANSIT_MS = 50, ///< of a message or an answer of the store
	CALL_TIMEOUT_MS = 400, ///< after which an own call to the store is lost
};

/* Bounds of today's and the grown deployments, and beyond. */
static const int64_t bounds[] = {1500, 2000, 3000, 5000};

#define N_BOUNDS (sizeof(bounds) / sizeof(bounds[0]))

/* Load pattern: all is well. No follower makes calls of its own. */
static void test_followers_make_no_direct_calls(void **state)
{
	for (size_t i = 0; i < N_BOUNDS; i++) {
		struct site_fresh f = site_fresh_of(bounds[i]);
		int64_t relay = f.refresh_ms + TRANSIT_MS + TICK_MS;
		int64_t follower = relay + f.hold_ms + 2 * TRANSIT_MS + TICK_MS;

		assert_true(relay < f.told_ms);
		assert_true(follower < f.overdue_ms);
	}
}

/* Load pattern: a relay, its connection or its store is lost just after it
 * confirmed what a change overtook. A node that reaches the store has asked it
 * before its knowledge may not be used any more; one that does not knows by then. */
static void test_store_is_called_before_data_expires(void **state)
{
	for (size_t i = 0; i < N_BOUNDS; i++) {
		struct site_fresh f = site_fresh_of(bounds[i]);
		int64_t asked = f.overdue_ms + TICK_MS;

		assert_true(asked + TRANSIT_MS + 2 * TICK_MS < f.limit_ms);
		assert_true(f.limit_ms < bounds[i]);
		/* What was chosen just before its server left. */
		assert_true(f.send_ms + TRANSIT_MS < bounds[i]);
	}
	assert_true(site_fresh_of(2000).overdue_ms + CALL_TIMEOUT_MS <=
		    site_fresh_of(2000).limit_ms);
}

static void test_valid_until(void **state)
{
	struct site_fresh f = site_fresh_of(2000);

	assert_int_equal(site_fresh_until(&f, 10000, 0), 10000 + f.limit_ms);
	/* An own call failed before what is known was confirmed. */
	assert_int_equal(site_fresh_until(&f, 10000, 9000), 10000 + f.limit_ms);
	/* It failed since: the store can't be reached, work goes on. */
	assert_int_equal(site_fresh_until(&f, 10000, 10500), INT64_MAX);
	/* Nothing was ever known. */
	assert_int_equal(site_fresh_until(&f, 0, 0), f.limit_ms);
}

/* A store that answers anyone was not away. */
static void test_store_up_if_any_path_answers(void **state)
{
	assert_int_equal(site_store_back(0, 0), 0);
	assert_int_equal(site_store_back(500, 0), 500);
	assert_int_equal(site_store_back(0, 700), 700);
	assert_int_equal(site_store_back(500, 700), 500);
	assert_int_equal(site_store_back(900, 700), 700);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_followers_make_no_direct_calls),
		cmocka_unit_test(test_store_is_called_before_data_expires),
		cmocka_unit_test(test_valid_until),
		cmocka_unit_test(test_store_up_if_any_path_answers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
