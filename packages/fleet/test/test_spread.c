// Servers over failure domains: equal shares, cheap first, closed domains.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/rng.h"
#include "fleet/spread.h"

enum {
	MIN = 1,
	MAX = 6,
	SEEDS = 500,
	MOST = 8, ///< domains
};

static void test_equal_and_cheap(void **state)
{
	struct fleet_domain d[] = {{.price = 1}, {.price = 0.8}, {.price = 2}};

	fleet_spread(d, 3, 10, MIN, MAX);
	assert_int_equal(d[0].want, 3);
	assert_int_equal(d[1].want, 4);
	assert_int_equal(d[2].want, 3);
}

/* A domain without servers to be had: the others make up for it. */
static void test_closed(void **state)
{
	struct fleet_domain d[3] = {{.have = 1, .closed = true}};

	fleet_spread(d, 3, 9, MIN, MAX);
	assert_int_equal(d[0].want, 1);
	assert_int_equal(d[1].want + d[2].want, 8);
}

/* Servers that may get no work do not count, and are left as they are. */
static void test_out(void **state)
{
	struct fleet_domain d[3] = {{.have = 3, .out = true}};

	fleet_spread(d, 3, 9, MIN, MAX);
	assert_int_equal(d[0].want, 3);
	assert_int_equal(d[1].want + d[2].want, 9);
}

static void check(const struct fleet_domain *d, int n, int total)
{
	int sum = 0, least = MAX, most = 0, open = 0;

	for (int i = 0; i < n; i++) {
		sum += d[i].out ? 0 : d[i].want;
		if (d[i].closed || d[i].out) {
			assert_int_equal(d[i].want, d[i].have);
			continue;
		}
		open++;
		assert_in_range(d[i].want, MIN, MAX);
		least = d[i].want < least ? d[i].want : least;
		most = d[i].want > most ? d[i].want : most;
	}
	assert_true(most - least <= 1 || !open);
	assert_true(sum >= total || least == MAX || !open);
}

static void test_any(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct rng r = {seed};
		struct fleet_domain d[MOST];
		int n, total;

		n = 1 + (int)rng_below(&r, MOST);
		total = (int)rng_below(&r, MOST * MAX);
		for (int i = 0; i < n; i++)
			d[i] = (struct fleet_domain){
				.price = (double)rng_below(&r, 3),
				.have = (int)rng_below(&r, MAX + 1),
				.closed = rng_below(&r, 4) == 0,
				.out = rng_below(&r, 4) == 0,
			};
		fleet_spread(d, n, total, MIN, MAX);
		check(d, n, total);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_equal_and_cheap),
		cmocka_unit_test(test_closed),
		cmocka_unit_test(test_out),
		cmocka_unit_test(test_any),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
