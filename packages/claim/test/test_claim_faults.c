// Under seeded faults, a keyed call runs at most once, "not run" is true, and
// an answer belongs to its call. Each flawed variant must fail a check.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "claim/shard.h"
#include "sim.h"

enum {
	CORRECT_SEEDS = 3000,
	VARIANT_SEEDS = 300,
	FIRST_SEED = 1,
};

static struct sim_totals run_seeds(enum sim_variant v, int seeds)
{
	struct sim_totals t = {0};

	for (int i = 0; i < seeds; i++)
		sim_run(v, (uint64_t)FIRST_SEED + (uint64_t)i, &t);
	printf("variant %d, seeds %d..%d: %d requests, %d runs, %d answered, "
	       "%d replayed, %d replied running, %d refused, %d maybe, "
	       "%llu conflicts, %llu lost replies; double runs %d, false "
	       "refusals %d, wrong answers %d\n",
	       (int)v, FIRST_SEED, FIRST_SEED + seeds - 1, t.requests, t.runs,
	       t.answered, t.replayed, t.replied_running, t.refused, t.maybe,
	       (unsigned long long)t.conflicts,
	       (unsigned long long)t.lost_replies, t.double_runs,
	       t.false_refusals, t.wrong_answers);
	return t;
}

static void test_correct_variant_survives_faults(void **state)
{
	struct sim_totals t = run_seeds(SIM_CORRECT, CORRECT_SEEDS);

	assert_int_equal(t.double_runs, 0);
	assert_int_equal(t.false_refusals, 0);
	assert_int_equal(t.wrong_answers, 0);
	/* The faults occurred, and calls were still served. */
	assert_true(t.conflicts > 0 && t.lost_replies > 0 && t.replayed > 0);
	assert_true(t.replied_running > 0 && t.maybe > 0 && t.refused > 0);
	assert_true(t.runs > CORRECT_SEEDS);
}

static void test_flawed_variants_run_twice(void **state)
{
	static const enum sim_variant variants[] = {
		SIM_NO_SHARED_CLAIMS,	SIM_PUT_WITHOUT_CAS,
		SIM_UNKNOWN_AS_SUCCESS, SIM_RESEND_AFTER_RESET,
		SIM_RELEASE_ON_MAYBE,
	};

	for (size_t i = 0; i < sizeof(variants) / sizeof(*variants); i++)
		assert_true(run_seeds(variants[i], VARIANT_SEEDS).double_runs >
			    0);
}

static void test_flawed_variant_refuses_after_run(void **state)
{
	assert_true(
		run_seeds(SIM_MAYBE_AS_NOT_RUN, VARIANT_SEEDS).false_refusals >
		0);
}

static void count_list(void *ctx, const char *prefix)
{
	(*(int *)ctx)++;
}

/* Guards against a process abort when a store result is delivered twice: the
 * second one must change nothing. */
static void test_unrequested_kv_result_is_rejected(void **state)
{
	static const struct claim_shard_ops ops = {.list = count_list};
	int lists = 0;
	const struct claim_shard_opts opts = {
		.prefix = "claim/0/", .ops = &ops, .ctx = &lists};
	struct claim_shard *s = claim_shard_new(&opts);
	const struct claim_time t = {1000, 1000};
	const struct claim_kv_result down = {.err = ERR_KV_DOWN};

	assert_int_equal(claim_shard_kv_done(s, t, &down), ERR_INVALID);
	assert_int_equal(lists, 0);
	claim_shard_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_correct_variant_survives_faults),
		cmocka_unit_test(test_flawed_variants_run_twice),
		cmocka_unit_test(test_flawed_variant_refuses_after_run),
		cmocka_unit_test(test_unrequested_kv_result_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
