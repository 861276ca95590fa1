// Membership protocol at 9, 40, 100 and 370 members: bytes and CPU time per node,
// against limits of 7 KB/s and 2.1% of a core. Virtual time, real decision code.
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "net.h"
#include "support/bench.h"

enum {
	SETTLE_MS = 30000,
	MEASURE_MS = 30000,
	EDIT_INTERVAL_MS = 43200, ///< between configuration edits: 2,000 a day
	EDIT_STEP_MS = 50, ///< an edit reaches the nodes in EDIT_STEPS steps
	EDIT_STEPS = 20,
	BYTES_PER_S_MAX = 7000, ///< sent and received
	DEATH_SEEN_MAX_MS = 6000, ///< until all members see a death
};

static const double CPU_MAX_PERCENT = 2.1; ///< percent of a core

struct size {
	int domains;
	int nodes_per_domain;
};

static const struct size sizes[] = {{3, 3}, {4, 10}, {5, 20}, {10, 37}};

static struct net net;

static double cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static bool report(const char *name, int members, double value,
		   const char *unit, double bound)
{
	char full[64];

	snprintf(full, sizeof(full), "member_%s_%d", name, members);
	return bench_check(full, value, unit, BENCH_AT_MOST, bound);
}

/// Bytes per second that one node sends and receives, on average.
static double node_bytes_per_s(uint64_t bytes, int64_t ms)
{
	return 2.0 * (double)bytes / net.n / ((double)ms / 1000.0);
}

static bool measure_steady(void)
{
	uint64_t bytes = net.bytes;
	double cpu = cpu_ms();
	bool ok;

	net_run(&net, MEASURE_MS);
	cpu = cpu_ms() - cpu;
	ok = report("steady_bytes", net.n,
		    node_bytes_per_s(net.bytes - bytes, MEASURE_MS), "B/s",
		    BYTES_PER_S_MAX);
	return report("steady_cpu", net.n, 100.0 * cpu / net.n / MEASURE_MS,
		      "%core", CPU_MAX_PERCENT) &&
	       ok;
}

/// One configuration edit: within a second, every node announces the new revision.
static bool measure_edit(void)
{
	uint64_t bytes = net.bytes;
	double cpu = cpu_ms();
	bool ok;

	for (int step = 0; step < EDIT_STEPS; step++) {
		for (int i = step; i < net.n; i += EDIT_STEPS)
			member_set(net.nodes[i].m, MEMBER_CONF_REVISION, 1000);
		net_run(&net, EDIT_STEP_MS);
	}
	net_run(&net, EDIT_INTERVAL_MS - EDIT_STEPS * EDIT_STEP_MS);
	cpu = cpu_ms() - cpu;
	ok = report("edits_bytes", net.n,
		    node_bytes_per_s(net.bytes - bytes, EDIT_INTERVAL_MS),
		    "B/s", BYTES_PER_S_MAX);
	return report("edits_cpu", net.n,
		      100.0 * cpu / net.n / EDIT_INTERVAL_MS, "%core",
		      CPU_MAX_PERCENT) &&
	       ok;
}

static bool measure_death(void)
{
	int64_t ms;

	net_kill_node(&net, net.n / 2);
	ms = net_run_until(&net, net_converged, NULL, 2 * DEATH_SEEN_MAX_MS);
	return report("death_seen", net.n, ms < 0 ? 1e9 : (double)ms, "ms",
		      DEATH_SEEN_MAX_MS);
}

int main(void)
{
	bool ok = true;

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		int64_t ms;

		net_start(&net, sizes[i].domains, sizes[i].nodes_per_domain, 1);
		ms = net_run_until(&net, net_converged, NULL, SETTLE_MS);
		ok &= report("settled", net.n, ms < 0 ? 1e9 : (double)ms, "ms",
			     SETTLE_MS);
		net_run(&net, SETTLE_MS);
		ok &= measure_steady();
		ok &= measure_edit();
		ok &= measure_death();
		net_stop(&net);
	}
	return ok ? 0 : 1;
}
