// How many servers are wanted: safety with cheap ones, trend, hysteresis.
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

/* Apply a plan at once. */
static void apply(struct fleet_input *in, struct fleet_plan p)
{
	in->regular += p.regular;
	in->cheap += p.cheap;
}

static void run(struct fleet *f, struct fleet_input *in, int64_t *now,
		int64_t ms)
{
	for (int64_t end = *now + ms; *now < end; *now += STEP_MS)
		apply(in, fleet_step(f, *now, in));
}

struct row {
	const char *name;
	struct fleet_input in;
	int regular, cheap; ///< wanted
};

static const struct row rows[] = {
	{"nothing to do", {.cheap_price = 0.3}, 1, 0},
	{"steady work only", {.steady = 3, .cheap_price = 0.3}, 4, 0},
	{"no spare elsewhere: regular ones must do for all",
	 {.steady = 3, .cuttable = 6, .cheap_price = 0.3},
	 9,
	 3},
	{"others can take over some",
	 {.steady = 3, .cuttable = 6, .others_spare = 4, .cheap_price = 0.3},
	 5,
	 7},
	{"steady work stays on regular ones",
	 {.steady = 3, .cuttable = 6, .others_spare = 99, .cheap_price = 0.3},
	 4,
	 8},
	{"none to be had", {.steady = 3, .cuttable = 6}, 12, 0},
	{"not cheaper",
	 {.steady = 3, .cuttable = 6, .cheap_price = 1.0},
	 12,
	 0},
};

static void test_sizes(void **state)
{
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct fleet_input in = rows[i].in;
		struct fleet f;
		int64_t now = STEP_MS;

		fleet_init(&f, &options);
		run(&f, &in, &now, 2 * HOLD_MS);
		printf("%s: %d regular, %d cheap\n", rows[i].name, in.regular,
		       in.cheap);
		assert_int_equal(in.regular, rows[i].regular);
		assert_int_equal(in.cheap, rows[i].cheap);
	}
}

/* All cheap servers of the failure domain may go at any step. */
static void test_cheap_never_more_than_the_rest_absorbs(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct rng rng = {seed};
		struct fleet_input in = {.cheap_price = 0.3};
		struct fleet f;
		int64_t now = STEP_MS;

		fleet_init(&f, &options);
		for (int i = 0; i < 50; i++) {
			in.steady = rng_unit(&rng) * 10;
			in.cuttable = rng_unit(&rng) * 20;
			in.others_spare = rng_unit(&rng) * 10;
			in.cheap_price = rng_below(&rng, 4) ? 0.3 : 0;
			run(&f, &in, &now, HOLD_MS);
			assert_true(in.regular * options.target >=
				    in.steady - 1e-3);
			assert_true(in.regular + in.others_spare >=
				    in.steady + in.cuttable - 1e-3);
		}
	}
}

static void test_ready_before_the_rise(void **state)
{
	struct fleet_input in = {.steady = 3};
	struct fleet f;
	int64_t now = STEP_MS;

	fleet_init(&f, &options);
	run(&f, &in, &now, HOLD_MS);
	for (int i = 0; i < 300; i++) {
		in.steady += 0.01;
		run(&f, &in, &now, STEP_MS);
	}
	/* 6 servers of demand now, 2 more within the lead. */
	assert_true(in.regular >= 10);
}

static void test_a_dip_stops_nothing(void **state)
{
	struct fleet_input in = {.steady = 6};
	struct fleet f;
	int64_t now = STEP_MS;

	fleet_init(&f, &options);
	run(&f, &in, &now, HOLD_MS);
	assert_int_equal(in.regular, 8);
	run(&f, &in, &now, HOLD_MS);
	in.steady = 3;
	run(&f, &in, &now, HOLD_MS * 3 / 4);
	assert_int_equal(in.regular, 8);
	run(&f, &in, &now, HOLD_MS / 2);
	assert_int_equal(in.regular, 4);
}

static void test_lost_cheap_ones_are_replaced_by_regular(void **state)
{
	struct fleet_input in = {
		.steady = 3, .cuttable = 6, .cheap_price = 0.3};
	struct fleet f;
	int64_t now = STEP_MS;

	fleet_init(&f, &options);
	run(&f, &in, &now, HOLD_MS);
	assert_int_equal(in.cheap, 3);
	in.cheap = 0;
	fleet_cheap_lost(&f, now);
	run(&f, &in, &now, PENALTY_MS / 2);
	assert_int_equal(in.cheap, 0);
	assert_int_equal(in.regular, 12);
	run(&f, &in, &now, PENALTY_MS);
	assert_int_equal(in.cheap, 3);
	assert_int_equal(in.regular, 9);
}

static void test_when_nothing_stops(void **state)
{
	struct fleet_input in = {.steady = 3, .regular = 9};
	int64_t now = STEP_MS;
	struct fleet f;

	fleet_init(&f, &options);
	run(&f, &in, &now, HOLD_MS);
	assert_int_equal(in.regular, 9);
	in.starting = 1;
	run(&f, &in, &now, STEP_MS);
	assert_int_equal(in.regular, 9);
	in.starting = 0;
	run(&f, &in, &now, STEP_MS);
	assert_int_equal(in.regular, 4);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sizes),
		cmocka_unit_test(test_cheap_never_more_than_the_rest_absorbs),
		cmocka_unit_test(test_ready_before_the_rise),
		cmocka_unit_test(test_a_dip_stops_nothing),
		cmocka_unit_test(test_lost_cheap_ones_are_replaced_by_regular),
		cmocka_unit_test(test_when_nothing_stops),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
