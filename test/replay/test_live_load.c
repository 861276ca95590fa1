// Hedged short requests with servers that are slow, fail half of the requests, are cut
// off or drop responses: the gain, and that hedging adds no load if all are slow.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "lookups.h"

enum {
	PERCENT = 10, ///< hedging budget, relative to requests
	LEAST = 10, ///< minimum budget, in attempts per 10 s
	ON_TIME_MS = 150,
	SEEDS = 5,
};

static struct lookup_seen play(struct lookup_load l, int percent, uint64_t seed)
{
	struct lookup_seen seen;

	l.hedge_percent = percent;
	l.seed = seed;
	seen = lookups_play(&l);
	printf("percent=%d seed=%d requests=%d answered=%d added=%d "
	       "most_added=%d (%d%%) p99_ms=%d\n",
	       percent, (int)seed, seen.requests, seen.answered, seen.added,
	       seen.most_added, seen.most_added_percent, seen.p99_ms);
	return seen;
}

/* The p99 is in time, every request succeeds, and the budget is kept. */
static void assert_past(const struct lookup_load *l)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct lookup_seen off = play(*l, 0, seed);
		struct lookup_seen on = play(*l, PERCENT, seed);

		assert_true(on.p99_ms <= ON_TIME_MS);
		assert_true(on.p99_ms <= off.p99_ms);
		assert_int_equal(on.answered, on.requests);
		assert_true(on.most_added_percent <= PERCENT);
	}
}

static void test_one_slow_of_three(void **state)
{
	const struct lookup_load l = {
		.servers = 3, .per_s = 40, .fault = {[0] = LOOKUP_SLOW}};

	assert_past(&l);
}

static void test_one_grey_of_three(void **state)
{
	const struct lookup_load l = {
		.servers = 3, .per_s = 40, .fault = {[0] = LOOKUP_GREY}};

	assert_past(&l);
}

static void test_one_loses_answers(void **state)
{
	const struct lookup_load l = {
		.servers = 3, .per_s = 40, .fault = {[0] = LOOKUP_LOST}};

	assert_past(&l);
}

/* The node's own failure domain, whose servers it prefers, is cut off. */
static void test_one_domain_cut_off(void **state)
{
	const struct lookup_load l = {
		.servers = 9,
		.per_s = 40,
		.fault = {
			[0] = LOOKUP_CUT, [3] = LOOKUP_CUT, [6] = LOOKUP_CUT}};

	assert_past(&l);
}

/* A node with few requests has a small budget and detects faults slowly. */
static void test_few_requests(void **state)
{
	static const enum lookup_fault faults[] = {LOOKUP_SLOW, LOOKUP_GREY,
						   LOOKUP_LOST, LOOKUP_CUT};

	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		struct lookup_load l = {.servers = 9, .per_s = 3};

		for (int s = 0; s < l.servers; s += 3)
			l.fault[s] = faults[i];
		for (uint64_t seed = 1; seed <= SEEDS; seed++) {
			struct lookup_seen off = play(l, 0, seed);
			struct lookup_seen on = play(l, PERCENT, seed);

			assert_true(on.p99_ms <= off.p99_ms);
			assert_true(on.requests - on.answered <=
				    off.requests - off.answered);
			assert_true(on.most_added <= LEAST);
		}
	}
}

/* Hedging to servers that are all slow would only add load. */
static void test_all_slow(void **state)
{
	struct lookup_load l = {.servers = 3, .per_s = 40};

	for (int i = 0; i < l.servers; i++)
		l.fault[i] = LOOKUP_SLOW;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct lookup_seen off = play(l, 0, seed);
		struct lookup_seen on = play(l, PERCENT, seed);

		assert_int_equal(on.answered, on.requests);
		assert_true(on.added * 100 <= on.requests);
		assert_true(on.most_added_percent <= PERCENT);
		assert_true(on.p99_ms <= off.p99_ms + 1);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_slow_of_three),
		cmocka_unit_test(test_one_grey_of_three),
		cmocka_unit_test(test_one_loses_answers),
		cmocka_unit_test(test_one_domain_cut_off),
		cmocka_unit_test(test_few_requests),
		cmocka_unit_test(test_all_slow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
