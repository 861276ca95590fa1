// Seeded runs in virtual time: versions true, none stale, each exactly once.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

#include "sim.h"

struct fault_case {
	const char *name;
	struct sim_faults faults;
	int seeds;
};

static const struct fault_case cases[] = {
	{"none", {0}, 20},
	{"swaps", {.swaps = true}, 100},
	{"engines break", {.engine_break = true, .swaps = true}, 100},
	{"messages lost", {.msg_loss = true, .swaps = true}, 100},
	{"replies lost", {.reply_lost = true, .swaps = true}, 100},
	{"two pulls", {.two_pulls = true, .swaps = true}, 100},
	{"trainer killed", {.trainer_kill = true, .swaps = true}, 100},
	{"node killed", {.node_kill = true, .swaps = true}, 200},
	{"node drained", {.node_drain = true, .swaps = true}, 100},
	{"partition", {.partition = true, .swaps = true}, 200},
	{"store down", {.kv_outage = true, .node_kill = true}, 200},
	{"store replies lost", {.kv_lost = true, .node_kill = true}, 200},
	{"all",
	 {.node_kill = true,
	  .node_drain = true,
	  .partition = true,
	  .kv_outage = true,
	  .kv_lost = true,
	  .msg_loss = true,
	  .reply_lost = true,
	  .trainer_kill = true,
	  .two_pulls = true,
	  .engine_break = true,
	  .swaps = true},
	 400},
};

static int case_bad(const struct sim_result *r)
{
	return r->untrue + r->stale + r->changed + r->again + r->missing +
	       !r->done;
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

static void test_cases(void **state)
{
	int bad = 0;

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		for (int k = 0; k < cases[i].seeds; k++) {
			struct sim_opts opts = {
				.seed = 1000 * (i + 1) + (uint64_t)k,
				.faults = cases[i].faults,
				.batches = 2,
			};
			struct sim_result r = sim_run(&opts);

			if (case_bad(&r) && bad++ < 10)
				case_print(cases[i].name, opts.seed, &r);
		}
	}
	assert_int_equal(bad, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cases),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
