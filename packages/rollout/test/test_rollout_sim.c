// Seeded runs in virtual time: versions true, none stale, each exactly once.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "sim.h"

#define ALL_FAULTS                                                          \
	{                                                                   \
		.node_kill = true, .node_drain = true, .node_pause = true,  \
		.partition = true, .kv_outage = true, .kv_lost = true,      \
		.msg_loss = true, .reply_lost = true, .trainer_kill = true, \
		.two_pulls = true, .engine_break = true, .swaps = true      \
	}

struct fault_case {
	const char *name;
	struct sim_faults faults;
	int seeds;
};

static const struct fault_case cases[] = {
	{"none", {0}, 10},
	{"swaps", {.swaps = true}, 60},
	{"engines break", {.engine_break = true, .swaps = true}, 60},
	{"messages lost", {.msg_loss = true, .swaps = true}, 60},
	{"replies lost", {.reply_lost = true, .swaps = true}, 60},
	{"two pulls", {.two_pulls = true, .swaps = true}, 60},
	{"trainer killed", {.trainer_kill = true, .swaps = true}, 60},
	{"node killed", {.node_kill = true, .swaps = true}, 100},
	{"node drained", {.node_drain = true, .swaps = true}, 60},
	{"node paused", {.node_pause = true, .swaps = true}, 100},
	{"partition", {.partition = true, .swaps = true}, 100},
	{"store down", {.kv_outage = true, .node_kill = true}, 100},
	{"store replies lost", {.kv_lost = true, .node_kill = true}, 100},
	{"all", ALL_FAULTS, 200},
};

static int broken(const struct sim_result *r)
{
	return r->untrue + r->stale + r->changed + r->again + r->missing;
}

static void case_print(const char *name, uint64_t seed,
		       const struct sim_result *r)
{
	print_message("%s seed %llu: untrue %d stale %d changed %d again %d "
		      "missing %d done %d took %lld ms\n",
		      name, (unsigned long long)seed, r->untrue, r->stale,
		      r->changed, r->again, r->missing, r->done,
		      (long long)r->took_ms);
}

static struct sim_result run(const struct sim_faults *faults, uint64_t seed,
			     enum rollout_flaw flaw)
{
	struct sim_opts opts = {
		.seed = seed,
		.flaw = flaw,
		.faults = *faults,
		.batches = 2,
	};

	return sim_run(&opts);
}

static void test_every_fault_case(void **state)
{
	int bad = 0;
	struct sim_result sum = {0};

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		for (int k = 0; k < cases[i].seeds; k++) {
			uint64_t seed = 10000 * (i + 1) + (uint64_t)k;
			struct sim_result r =
				run(&cases[i].faults, seed, ROLLOUT_SOUND);

			sum.takeovers += r.takeovers;
			sum.deposed += r.deposed;
			sum.kills += r.kills;
			sum.mixed += r.mixed;
			sum.stale_made_anew += r.stale_made_anew;
			if ((broken(&r) || !r.done) && bad++ < 10)
				case_print(cases[i].name, seed, &r);
		}
	}
	print_message("takeovers %llu deposed %llu node kills %llu mixed "
		      "samples %llu made anew %llu\n",
		      (unsigned long long)sum.takeovers,
		      (unsigned long long)sum.deposed,
		      (unsigned long long)sum.kills,
		      (unsigned long long)sum.mixed,
		      (unsigned long long)sum.stale_made_anew);
	assert_int_equal(bad, 0);
}

/* With both copies lost, nothing may go on; but nothing may fork either. */
static void test_last_copy_lost_never_forks(void **state)
{
	struct sim_faults faults = ALL_FAULTS;
	int stuck = 0;

	faults.last_copy = true;
	for (uint64_t seed = 1; seed <= 60; seed++) {
		struct sim_result r = run(&faults, seed, ROLLOUT_SOUND);

		if (broken(&r))
			case_print("last copy", seed, &r);
		assert_int_equal(broken(&r), 0);
		stuck += !r.done;
	}
	print_message("%d of 60 runs lost both copies and refused\n", stuck);
	assert_true(stuck > 0);
}

struct flaw_case {
	const char *name;
	enum rollout_flaw flaw;
	struct sim_faults faults;
	size_t check; ///< member of struct sim_result that must show it
};

#define CHECK(member) offsetof(struct sim_result, member)

static const struct flaw_case flaws[] = {
	{"answers before the copies have it", ROLLOUT_ANSWERS_EARLY, ALL_FAULTS,
	 CHECK(changed)},
	{"a replaced owner is acknowledged",
	 ROLLOUT_NO_FENCE,
	 {.node_pause = true, .two_pulls = true, .swaps = true},
	 CHECK(changed)},
	{"takes over without the record", ROLLOUT_NO_RECORD, ALL_FAULTS,
	 CHECK(changed)},
	{"staleness judged when made", ROLLOUT_STALE_KEPT, ALL_FAULTS,
	 CHECK(stale)},
	{"names the version ordered", ROLLOUT_ORDERED_VERSION, ALL_FAULTS,
	 CHECK(untrue)},
};

/* The same checks must see each naive variant. */
static void test_flaws_are_seen(void **state)
{
	for (size_t i = 0; i < sizeof(flaws) / sizeof(*flaws); i++) {
		const struct flaw_case *f = &flaws[i];
		int seen = 0;

		for (uint64_t seed = 1; seed <= 80; seed++) {
			struct sim_result r = run(&f->faults, seed, f->flaw);

			seen += *(const int *)((const char *)&r + f->check) > 0;
		}
		print_message("flaw: %s: seen in %d of 80 seeds\n", f->name,
			      seen);
		assert_true(seen > 0);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_every_fault_case),
		cmocka_unit_test(test_last_copy_lost_never_forks),
		cmocka_unit_test(test_flaws_are_seen),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
