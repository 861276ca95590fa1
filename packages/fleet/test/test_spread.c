// Spread over failure domains: equal shares, cheapest first, domains without
// capacity, unusable domains.
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
	MOST_DOMAINS = 8,
};

static void test_equal_shares_remainder_to_cheapest(void **state)
{
	struct fleet_domain d[] = {{.price = 1}, {.price = 0.8}, {.price = 2}};

	fleet_spread(d, 3, 10, MIN, MAX);
	assert_int_equal(d[0].target, 3);
	assert_int_equal(d[1].target, 4);
	assert_int_equal(d[2].target, 3);
}

/* The other domains make up for a domain without capacity. */
static void test_domain_without_capacity(void **state)
{
	struct fleet_domain d[3] = {{.current = 1, .no_capacity = true}};

	fleet_spread(d, 3, 9, MIN, MAX);
	assert_int_equal(d[0].target, 1);
	assert_int_equal(d[1].target + d[2].target, 8);
}

/* Servers that must not be given work don't count and their number stays. */
static void test_unusable_domain_is_not_counted(void **state)
{
	struct fleet_domain d[3] = {{.current = 3, .unusable = true}};

	fleet_spread(d, 3, 9, MIN, MAX);
	assert_int_equal(d[0].target, 3);
	assert_int_equal(d[1].target + d[2].target, 9);
}

static void check_targets(const struct fleet_domain *d, int n, int total)
{
	int sum = 0, fewest = MAX, most = 0, open_domains = 0;

	for (int i = 0; i < n; i++) {
		sum += d[i].unusable ? 0 : d[i].target;
		if (d[i].no_capacity || d[i].unusable) {
			assert_int_equal(d[i].target, d[i].current);
			continue;
		}
		open_domains++;
		assert_in_range(d[i].target, MIN, MAX);
		fewest = d[i].target < fewest ? d[i].target : fewest;
		most = d[i].target > most ? d[i].target : most;
	}
	assert_true(most - fewest <= 1 || !open_domains);
	assert_true(sum >= total || fewest == MAX || !open_domains);
}

static void test_random_inputs(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct rng r = {seed};
		struct fleet_domain d[MOST_DOMAINS];
		int n, total;

		n = 1 + (int)rng_below(&r, MOST_DOMAINS);
		total = (int)rng_below(&r, MOST_DOMAINS * MAX);
		for (int i = 0; i < n; i++)
			d[i] = (struct fleet_domain){
				.price = (double)rng_below(&r, 3),
				.current = (int)rng_below(&r, MAX + 1),
				.no_capacity = rng_below(&r, 4) == 0,
				.unusable = rng_below(&r, 4) == 0,
			};
		fleet_spread(d, n, total, MIN, MAX);
		check_targets(d, n, total);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_equal_shares_remainder_to_cheapest),
		cmocka_unit_test(test_domain_without_capacity),
		cmocka_unit_test(test_unusable_domain_is_not_counted),
		cmocka_unit_test(test_random_inputs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
