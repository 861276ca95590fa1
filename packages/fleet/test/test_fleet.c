// Autoscaling: loss of cheap servers is absorbed, trend, no early stop.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "base/rng.h"
#include "fleet/fleet.h"

enum {
	STEP_MS = 1000,
	LEAD_MS = 200000,
	HOLD_MS = 900000,
	PENALTY_MS = 600000,
	SEEDS = 200,
};

static const struct fleet_opts options = {
	.target = 0.75,
	.lead_ms = LEAD_MS,
	.hold_ms = HOLD_MS,
	.penalty_ms = PENALTY_MS,
	.min = 1,
	.max = 100,
};

/* Apply a plan without delay. */
static void apply_plan(struct fleet_input *in, struct fleet_plan p)
{
	in->regular += p.regular;
	in->cheap += p.cheap;
}

static void run_for(struct fleet *f, struct fleet_input *in, int64_t *now,
		    int64_t ms)
{
	for (int64_t end = *now + ms; *now < end; *now += STEP_MS)
		apply_plan(in, fleet_step(f, *now, in));
}

struct size_case {
	const char *name;
	struct fleet_input in;
	int regular, cheap; ///< wanted
};

static const struct size_case cases[] = {
	{"no demand", {.cheap_price = 0.3}, 1, 0},
	{"steady work only", {.steady = 3, .cheap_price = 0.3}, 4, 0},
	{"no spare capacity elsewhere: regular servers suffice for all",
	 {.steady = 3, .preemptible = 6, .cheap_price = 0.3},
	 9,
	 3},
	{"other domains can take over a part",
	 {.steady = 3,
	  .preemptible = 6,
	  .other_domains_spare = 4,
	  .cheap_price = 0.3},
	 5,
	 7},
	{"steady work stays on regular servers",
	 {.steady = 3,
	  .preemptible = 6,
	  .other_domains_spare = 99,
	  .cheap_price = 0.3},
	 4,
	 8},
	{"no cheap servers available", {.steady = 3, .preemptible = 6}, 12, 0},
	{"cheap servers cost as much",
	 {.steady = 3, .preemptible = 6, .cheap_price = 1.0},
	 12,
	 0},
};

static void test_wanted_sizes(void **state)
{
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fleet_input in = cases[i].in;
		struct fleet f;
		int64_t now = STEP_MS;

		fleet_init(&f, &options);
		run_for(&f, &in, &now, 2 * HOLD_MS);
		printf("%s: %d regular, %d cheap\n", cases[i].name, in.regular,
		       in.cheap);
		assert_int_equal(in.regular, cases[i].regular);
		assert_int_equal(in.cheap, cases[i].cheap);
	}
}

/* Guards against too few regular servers when all cheap servers of the failure
 * domain are reclaimed at any step. */
static void test_cheap_loss_is_always_absorbed(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct rng rng = {seed};
		struct fleet_input in = {.cheap_price = 0.3};
		struct fleet f;
		int64_t now = STEP_MS;

		fleet_init(&f, &options);
		for (int i = 0; i < 50; i++) {
			in.steady = rng_unit(&rng) * 10;
			in.preemptible = rng_unit(&rng) * 20;
			in.other_domains_spare = rng_unit(&rng) * 10;
			in.cheap_price = rng_below(&rng, 4) ? 0.3 : 0;
			run_for(&f, &in, &now, HOLD_MS);
			assert_true(in.regular * options.target >=
				    in.steady - 1e-3);
			assert_true(in.regular + in.other_domains_spare >=
				    in.steady + in.preemptible - 1e-3);
		}
	}
}

static void test_follows_trend_ahead_of_demand(void **state)
{
	struct fleet_input in = {.steady = 3};
	struct fleet f;
	int64_t now = STEP_MS;

	fleet_init(&f, &options);
	run_for(&f, &in, &now, HOLD_MS);
	for (int i = 0; i < 300; i++) {
		in.steady += 0.01;
		run_for(&f, &in, &now, STEP_MS);
	}
	/* Demand is 6 servers now and 8 after lead_ms. */
	assert_true(in.regular >= 10);
}

static void test_short_dip_stops_no_server(void **state)
{
	struct fleet_input in = {.steady = 6};
	struct fleet f;
	int64_t now = STEP_MS;

	fleet_init(&f, &options);
	run_for(&f, &in, &now, HOLD_MS);
	assert_int_equal(in.regular, 8);
	run_for(&f, &in, &now, HOLD_MS);
	in.steady = 3;
	run_for(&f, &in, &now, HOLD_MS * 3 / 4);
	assert_int_equal(in.regular, 8);
	run_for(&f, &in, &now, HOLD_MS / 2);
	assert_int_equal(in.regular, 4);
}

static void test_lost_cheap_servers_replaced_by_regular(void **state)
{
	struct fleet_input in = {
		.steady = 3, .preemptible = 6, .cheap_price = 0.3};
	struct fleet f;
	int64_t now = STEP_MS;

	fleet_init(&f, &options);
	run_for(&f, &in, &now, HOLD_MS);
	assert_int_equal(in.cheap, 3);
	in.cheap = 0;
	fleet_cheap_lost(&f, now);
	run_for(&f, &in, &now, PENALTY_MS / 2);
	assert_int_equal(in.cheap, 0);
	assert_int_equal(in.regular, 12);
	run_for(&f, &in, &now, PENALTY_MS);
	assert_int_equal(in.cheap, 3);
	assert_int_equal(in.regular, 9);
}

static void test_no_stop_without_history_or_while_starting(void **state)
{
	struct fleet_input in = {.steady = 3, .regular = 9};
	int64_t now = STEP_MS;
	struct fleet f;

	fleet_init(&f, &options);
	run_for(&f, &in, &now, HOLD_MS);
	assert_int_equal(in.regular, 9);
	in.starting = 1;
	run_for(&f, &in, &now, STEP_MS);
	assert_int_equal(in.regular, 9);
	in.starting = 0;
	run_for(&f, &in, &now, STEP_MS);
	assert_int_equal(in.regular, 4);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_wanted_sizes),
		cmocka_unit_test(test_cheap_loss_is_always_absorbed),
		cmocka_unit_test(test_follows_trend_ahead_of_demand),
		cmocka_unit_test(test_short_dip_stops_no_server),
		cmocka_unit_test(test_lost_cheap_servers_replaced_by_regular),
		cmocka_unit_test(
			test_no_stop_without_history_or_while_starting),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
