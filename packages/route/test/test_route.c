// Tests of load balancing.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "route/route.h"

enum {
	SERVERS = 50,
	DRAWS = 2000,
	NOW = 1000000,
	PREFIX = 77,
};

static struct rng rng = {5};

static struct route *pool(int free)
{
	struct route *r = route_new();

	for (int i = 0; i < SERVERS; i++)
		route_set_slots(r, i, free, 1, false);
	return r;
}

static int choose(struct route *r, uint64_t prefix, int avoid, bool preemptible)
{
	struct route_request req = {prefix, avoid, preemptible};

	return route_choose(r, &rng, NOW, &req);
}

static void test_only_servers_with_free_slots(void **state)
{
	struct route *r = pool(0);

	assert_int_equal(choose(r, 0, ROUTE_NONE, true), ROUTE_NONE);
	route_set_slots(r, 17, 1, 0, false);
	for (int i = 0; i < DRAWS; i++)
		assert_int_equal(choose(r, 0, ROUTE_NONE, true), 17);
	/* The only one is chosen even if its last attempt failed. */
	assert_int_equal(choose(r, 0, 17, true), 17);
	route_set_slots(r, 17, 0, 1, false);
	assert_int_equal(choose(r, 0, ROUTE_NONE, true), ROUTE_NONE);
	route_free(r);
}

static void test_cheap_server_only_if_preemptible(void **state)
{
	struct route *r = pool(0);

	route_set_slots(r, 3, 5, 0, true);
	assert_int_equal(choose(r, 0, ROUTE_NONE, false), ROUTE_NONE);
	assert_int_equal(choose(r, 0, ROUTE_NONE, true), 3);
	route_free(r);
}

static void test_prefix_server_until_nearly_full(void **state)
{
	struct route *r = pool(8);

	route_prefix_cached(r, PREFIX, 9, NOW - 10);
	assert_int_equal(choose(r, PREFIX, ROUTE_NONE, true), 9);
	/* An idle server is preferred to a nearly full one. */
	route_set_slots(r, 9, 1, 60, false);
	assert_int_not_equal(choose(r, PREFIX, ROUTE_NONE, true), 9);
	route_free(r);
}

static void test_evicted_or_flushed_prefix_is_forgotten(void **state)
{
	struct route *r = pool(8);
	int hits = 0;

	route_prefix_cached(r, PREFIX, 9, NOW - 10);
	route_prefix_evicted(r, PREFIX, 9);
	route_prefix_cached(r, PREFIX + 1, 9, NOW - 10);
	route_cache_flushed(r, 9, NOW);
	for (int i = 0; i < DRAWS; i++) {
		hits += choose(r, PREFIX, ROUTE_NONE, true) == 9;
		hits += choose(r, PREFIX + 1, ROUTE_NONE, true) == 9;
	}
	assert_true(hits < DRAWS / 4);
	route_free(r);
}

static void test_least_loaded_of_two_choices(void **state)
{
	struct route *r = pool(8);
	int hits = 0;

	for (int i = 0; i < SERVERS; i++) {
		struct route_load l = {.busy = i < SERVERS / 2 ? 20 : 0,
				       .as_of_ms = NOW};

		route_load_report(r, i, &l);
	}
	for (int i = 0; i < DRAWS; i++)
		hits += choose(r, 0, ROUTE_NONE, true) >= SERVERS / 2;
	/* At least one of two random picks is idle in 3 of 4 cases. */
	assert_in_range(hits, DRAWS * 7 / 10, DRAWS * 8 / 10);
	route_free(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_only_servers_with_free_slots),
		cmocka_unit_test(test_cheap_server_only_if_preemptible),
		cmocka_unit_test(test_prefix_server_until_nearly_full),
		cmocka_unit_test(test_evicted_or_flushed_prefix_is_forgotten),
		cmocka_unit_test(test_least_loaded_of_two_choices),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
