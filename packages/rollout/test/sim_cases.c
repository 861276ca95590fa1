// Runs fault cases and prints the seeds that fail.
#include "sim_cases.h"

#include <stdio.h>
#include <stdlib.h>

int sim_violations(const struct sim_result *r)
{
	return r->wrong_tokens + r->stale + r->changed + r->redelivered +
	       r->missing;
}

static void sim_case_print(const char *name, uint64_t seed,
			   const struct sim_result *r)
{
	printf("%s seed %llu: untrue %d stale %d changed %d again %d "
	       "missing %d done %d took %lld ms\n",
	       name, (unsigned long long)seed, r->wrong_tokens, r->stale,
	       r->changed, r->redelivered, r->missing, r->done,
	       (long long)r->duration_ms);
}

static int sim_case_run(const struct sim_case *c, uint64_t seed, int seeds)
{
	struct sim_result sum = {0};
	int bad = 0;

	for (int k = 0; k < seeds; k++) {
		struct sim_opts opts = {
			.seed = seed + (uint64_t)k,
			.faults = c->faults,
			.batches = 2,
			.limit_ms = SIM_END_MS,
		};
		struct sim_result r = sim_run(&opts);

		sum.takeovers += r.takeovers;
		sum.kills += r.kills;
		sum.mixed_version += r.mixed_version;
		sum.resampled += r.resampled;
		if (sim_violations(&r) || !r.done) {
			sim_case_print(c->name, opts.seed, &r);
			bad++;
		}
	}
	printf("%s: seeds %llu.. %d runs, %d bad; takeovers %llu, node kills "
	       "%llu, samples of mixed versions %llu, made anew %llu\n",
	       c->name, (unsigned long long)seed, seeds, bad,
	       (unsigned long long)sum.takeovers, (unsigned long long)sum.kills,
	       (unsigned long long)sum.mixed_version,
	       (unsigned long long)sum.resampled);
	return bad;
}

int sim_cases_run(const struct sim_case *cases, size_t n, uint64_t seed)
{
	const char *env = getenv("CATKIN_SEEDS");
	int times = env ? (int)strtol(env, NULL, 10) : 1;
	int bad = 0;

	for (size_t i = 0; i < n; i++) {
		bad += sim_case_run(&cases[i], seed, cases[i].seeds * times);
		seed += 1000000;
	}
	return bad;
}

int sim_flaw_run(const struct sim_flaw *f)
{
	int seen = 0;

	for (uint64_t seed = 1; seed <= SIM_FLAW_SEEDS; seed++) {
		struct sim_opts opts = {
			.seed = seed,
			.flaw = f->flaw,
			.faults = f->faults,
			.batches = 2,
			.limit_ms = SIM_SHORT_MS,
		};
		struct sim_result r = sim_run(&opts);

		seen += *(const int *)((const char *)&r + f->check) > 0;
	}
	printf("flaw: %s: seen in %d of %d seeds\n", f->name, seen,
	       SIM_FLAW_SEEDS);
	return seen;
}
