// Seeded runs of fifteen nodes in three failure domains under faults: accepted
// edits are in force within 3 s where connected, never revert, and keyed work
// stops where an edit may have been missed.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

#include "conf_net.h"

enum {
	SEEDS = 600,
	MUTANT_SEEDS = 40,
	RUN_MS = 30000,
	TEN_MINUTES_MS = 600000,
};

static void run_seeds(struct net_opts opts, int seeds, struct net_result *res)
{
	for (int i = 1; i <= seeds; i++) {
		struct net_result before = *res;

		opts.seed = (uint64_t)i;
		net_run(&opts, res);
		if (opts.mutant == NET_SOUND &&
		    (res->late != before.late ||
		     res->stale_served != before.stale_served ||
		     res->reverted != before.reverted ||
		     res->unconverged != before.unconverged))
			print_message("seed %d breaks a check\n", i);
	}
}

static void print_result(const char *name, const struct net_result *r)
{
	print_message("%s: edits %d late %d reverted %d stale %d "
		      "unconverged %d refused %d worst %lld ms\n",
		      name, r->edits, r->late, r->reverted, r->stale_served,
		      r->unconverged, r->refused, (long long)r->worst_ms);
}

static void test_faults(void **state)
{
	struct net_opts opts = {.partitions = true,
				.outages = true,
				.restarts = true,
				.run_ms = RUN_MS};
	struct net_result r = {0};

	run_seeds(opts, SEEDS, &r);
	print_result("faults", &r);
	assert_true(r.edits > SEEDS);
	assert_int_equal(r.late, 0);
	assert_int_equal(r.reverted, 0);
	assert_int_equal(r.stale_served, 0);
	assert_int_equal(r.unconverged, 0);
}

static void test_calm(void **state)
{
	struct net_opts opts = {.run_ms = RUN_MS};
	struct net_result r = {0};

	run_seeds(opts, 100, &r);
	print_result("calm", &r);
	for (int i = 0; i < 16; i++)
		print_message("everywhere within %d ms: %lld edits\n",
			      (i + 1) * 250, (long long)r.lag[i]);
	assert_int_equal(r.late, 0);
	assert_int_equal(r.refused, 0);
}

static void test_long_outage(void **state)
{
	struct net_opts opts = {.run_ms = TEN_MINUTES_MS + 30000,
				.outage_ms = TEN_MINUTES_MS};
	struct net_result r = {0};

	run_seeds(opts, 5, &r);
	print_result("ten minutes without the store", &r);
	assert_int_equal(r.refused, 0);
	assert_int_equal(r.unconverged, 0);
}

/// Each way to break the mechanism fails one of the checks above.
static void test_mutants(void **state)
{
	struct net_opts opts = {.partitions = true,
				.outages = true,
				.restarts = true,
				.run_ms = RUN_MS};
	struct net_result r[NET_SERVE_ON + 1] = {0};

	for (int m = NET_NO_PEERS; m <= NET_SERVE_ON; m++) {
		opts.mutant = (enum net_mutant)m;
		run_seeds(opts, MUTANT_SEEDS, &r[m]);
	}
	print_result("without peers", &r[NET_NO_PEERS]);
	print_result("an answer counts as fresh", &r[NET_TRUST_HEARD]);
	print_result("the last document wins", &r[NET_LAST_WINS]);
	print_result("served on when cut off", &r[NET_SERVE_ON]);
	assert_true(r[NET_NO_PEERS].late > 0);
	assert_true(r[NET_TRUST_HEARD].stale_served > 0);
	assert_true(r[NET_LAST_WINS].reverted > 0);
	assert_true(r[NET_SERVE_ON].stale_served > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_faults),
		cmocka_unit_test(test_calm),
		cmocka_unit_test(test_long_outage),
		cmocka_unit_test(test_mutants),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
