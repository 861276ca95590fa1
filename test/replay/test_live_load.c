// Hedged short requests with servers that are slow, fail half of the requests, are cut
// off or drop responses; hedging must add no load if all are slow.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "lookups.h"

enum {
	BUDGET_PERCENT = 10, ///< hedging budget, relative to requests
	BUDGET_MIN = 10, ///< minimum budget, in attempts per 10 s
	ON_TIME_MS = 150,
	SEEDS = 5,
};

static struct lookup_stats simulate(struct lookup_load l, int percent,
				    uint64_t seed)
{
	struct lookup_stats stats;

	l.hedge_percent = percent;
	l.seed = seed;
	stats = lookups_simulate(&l);
	printf("percent=%d seed=%d requests=%d answered=%d added=%d "
	       "most_added=%d (%d%%) p99_ms=%d\n",
	       percent, (int)seed, stats.requests, stats.answered,
	       stats.n_added, stats.max_added_10s, stats.max_added_percent_10s,
	       stats.p99_ms);
	return stats;
}

/* The p99 is in time, every request succeeds, and the budget is kept. */
static void assert_hedging_helps(const struct lookup_load *l)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct lookup_stats without_hedging = simulate(*l, 0, seed);
		struct lookup_stats with_hedging =
			simulate(*l, BUDGET_PERCENT, seed);

		assert_true(with_hedging.p99_ms <= ON_TIME_MS);
		assert_true(with_hedging.p99_ms <= without_hedging.p99_ms);
		assert_int_equal(with_hedging.answered, with_hedging.requests);
		assert_true(with_hedging.max_added_percent_10s <=
			    BUDGET_PERCENT);
	}
}

static void test_slow_server_hedged(void **state)
{
	const struct lookup_load l = {.servers = 3,
				      .requests_per_s = 40,
				      .fault = {[0] = LOOKUP_SLOW}};

	assert_hedging_helps(&l);
}

static void test_half_failing_server_hedged(void **state)
{
	const struct lookup_load l = {.servers = 3,
				      .requests_per_s = 40,
				      .fault = {[0] = LOOKUP_HALF_FAILING}};

	assert_hedging_helps(&l);
}

static void test_lost_responses_hedged(void **state)
{
	const struct lookup_load l = {.servers = 3,
				      .requests_per_s = 40,
				      .fault = {[0] = LOOKUP_RESPONSE_LOST}};

	assert_hedging_helps(&l);
}

/* The node's own failure domain, whose servers it prefers, is cut off. */
static void test_cut_off_domain_hedged(void **state)
{
	const struct lookup_load l = {.servers = 9,
				      .requests_per_s = 40,
				      .fault = {[0] = LOOKUP_NO_RESPONSE,
						[3] = LOOKUP_NO_RESPONSE,
						[6] = LOOKUP_NO_RESPONSE}};

	assert_hedging_helps(&l);
}

/* A node with few requests has a small budget and detects faults slowly. */
static void test_few_requests_keep_budget(void **state)
{
	static const enum lookup_fault faults[] = {
		LOOKUP_SLOW, LOOKUP_HALF_FAILING, LOOKUP_RESPONSE_LOST,
		LOOKUP_NO_RESPONSE};

	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		struct lookup_load l = {.servers = 9, .requests_per_s = 3};

		for (int s = 0; s < l.servers; s += 3)
			l.fault[s] = faults[i];
		for (uint64_t seed = 1; seed <= SEEDS; seed++) {
			struct lookup_stats without_hedging =
				simulate(l, 0, seed);
			struct lookup_stats with_hedging =
				simulate(l, BUDGET_PERCENT, seed);

			assert_true(with_hedging.p99_ms <=
				    without_hedging.p99_ms);
			assert_true(with_hedging.requests -
					    with_hedging.answered <=
				    without_hedging.requests -
					    without_hedging.answered);
			assert_true(with_hedging.max_added_10s <= BUDGET_MIN);
		}
	}
}

/* Hedging to servers that are all slow would only add load. */
static void test_all_slow_adds_no_load(void **state)
{
	struct lookup_load l = {.servers = 3, .requests_per_s = 40};

	for (int i = 0; i < l.servers; i++)
		l.fault[i] = LOOKUP_SLOW;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct lookup_stats without_hedging = simulate(l, 0, seed);
		struct lookup_stats with_hedging =
			simulate(l, BUDGET_PERCENT, seed);

		assert_int_equal(with_hedging.answered, with_hedging.requests);
		assert_true(with_hedging.n_added * 100 <=
			    with_hedging.requests);
		assert_true(with_hedging.max_added_percent_10s <=
			    BUDGET_PERCENT);
		assert_true(with_hedging.p99_ms <= without_hedging.p99_ms + 1);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_server_hedged),
		cmocka_unit_test(test_half_failing_server_hedged),
		cmocka_unit_test(test_lost_responses_hedged),
		cmocka_unit_test(test_cut_off_domain_hedged),
		cmocka_unit_test(test_few_requests_keep_budget),
		cmocka_unit_test(test_all_slow_adds_no_load),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
