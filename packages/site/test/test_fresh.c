// Limits on data age: all steps together stay within the bound.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "site/fresh.h"

enum {
	TICK_MS = 20, ///< event loop tick; a step takes at most three
	TRANSIT_MS = 50, ///< transit time of a message or store response
	CALL_TIMEOUT_MS = 400, ///< timeout of a direct call to the store
};

/* Bounds of the current and the larger deployment, and beyond. */
static const int64_t bounds[] = {1500, 2000, 3000, 5000};

#define N_BOUNDS (sizeof(bounds) / sizeof(bounds[0]))

/* Load pattern: no faults. No follower needs a direct call to the store. */
static void test_followers_make_no_direct_calls(void **state)
{
	for (size_t i = 0; i < N_BOUNDS; i++) {
		struct site_freshness f = site_fresh_from_bound(bounds[i]);
		int64_t relay = f.refresh_ms + TRANSIT_MS + TICK_MS;
		int64_t follower = relay + f.hold_ms + 2 * TRANSIT_MS + TICK_MS;

		assert_true(relay < f.told_ms);
		assert_true(follower < f.overdue_ms);
	}
}

/* Load pattern: a relay, its connection or its store fails just after it confirmed data
 * that then changed. Before its data expires, a node has a response of the store, or
 * knows that it can't reach the store. */
static void test_store_is_called_before_data_expires(void **state)
{
	for (size_t i = 0; i < N_BOUNDS; i++) {
		struct site_freshness f = site_fresh_from_bound(bounds[i]);
		int64_t asked = f.overdue_ms + TICK_MS;

		assert_true(asked + TRANSIT_MS + 2 * TICK_MS < f.limit_ms);
		assert_true(f.limit_ms < bounds[i]);
		/* A request whose server was chosen just before that server left. */
		assert_true(f.send_ms + TRANSIT_MS < bounds[i]);
	}
	assert_true(site_fresh_from_bound(2000).overdue_ms + CALL_TIMEOUT_MS <=
		    site_fresh_from_bound(2000).limit_ms);
}

static void test_valid_until(void **state)
{
	struct site_freshness f = site_fresh_from_bound(2000);

	assert_int_equal(site_fresh_valid_until(&f, 10000, 0),
			 10000 + f.limit_ms);
	/* A direct call failed before the data was confirmed. */
	assert_int_equal(site_fresh_valid_until(&f, 10000, 9000),
			 10000 + f.limit_ms);
	/* It failed afterwards: the store can't be reached, work continues. */
	assert_int_equal(site_fresh_valid_until(&f, 10000, 10500), INT64_MAX);
	/* No data was ever received. */
	assert_int_equal(site_fresh_valid_until(&f, 0, 0), f.limit_ms);
}

/* The store is up if it answers this node or its relay. */
static void test_store_up_if_any_path_answers(void **state)
{
	assert_int_equal(site_store_up_since(0, 0), 0);
	assert_int_equal(site_store_up_since(500, 0), 500);
	assert_int_equal(site_store_up_since(0, 700), 700);
	assert_int_equal(site_store_up_since(500, 700), 500);
	assert_int_equal(site_store_up_since(900, 700), 700);
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
