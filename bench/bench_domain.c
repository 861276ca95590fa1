// Availability while a failure domain is out: taken out and back in by an operator;
// then all its daemons and servers are killed at once and restarted.
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "support/bench.h"
#include "support/ctl.h"
#include "support/desk.h"
#include "support/http.h"

enum {
	DOMAINS = 3,
	NODES_PER_DOMAIN = 2,
	CALLS_PER_S = 20, ///< of each caller
	STEADY_S = 3,
	OUT_MEASURE_S = 4,
	LOST_MEASURE_S = 6,
	OUT_GRACE_S = 3, ///< then a domain taken out must get no new work
};

static struct sys sys;
static struct desk desk;
static const char victim[] = "d2"; ///< failure domain taken out and killed

static bool start_system(void)
{
	const struct sys_opts o = {
		.domains = DOMAINS,
		.nodes_per_domain = NODES_PER_DOMAIN,
		.services_per_domain = 2,
	};

	return desk_start(&sys, &o, &desk);
}

static bool is_victim(const char *domain)
{
	return strcmp(domain, victim) == 0;
}

/* Requests run so far by the servers of the victim domain. */
static long victim_runs(void)
{
	long sum = 0;

	for (int i = 0; i < sys.n_servers; i++) {
		char url[128];
		json_t *j;

		if (!is_victim(sys.servers[i].domain))
			continue;
		snprintf(url, sizeof(url), "%s/fake/stats", sys.servers[i].url);
		j = http_json("GET", url, NULL, NULL, NULL);
		sum += (long)json_integer_value(json_object_get(j, "runs"));
		json_decref(j);
	}
	return sum;
}

static double answered_share(const struct load_count *n)
{
	return n->sent ? (double)n->answered / n->sent : 0;
}

static void print_phase(const char *phase, const struct load_count *n)
{
	printf("%s: %d sent, %d answered, %d refused, %d unknown, "
	       "p50 %lld us, p99 %lld us\n",
	       phase, n->sent, n->answered, n->refused, n->unknown,
	       (long long)n->p50_us, (long long)n->p99_us);
}

static bool bench_taken_out(struct load *l, const struct load_count *steady)
{
	struct load_count n;
	long before;
	bool ok;

	if (!CTL_RUN_OK(&sys, "domain", "out", victim, "--reason",
			"maintenance"))
		return false;
	sleep(OUT_GRACE_S);
	before = victim_runs();
	sleep(OUT_MEASURE_S);
	ok = bench_check("domain_out_new_runs",
			 (double)(victim_runs() - before), "runs",
			 BENCH_AT_MOST, 0);
	load_take(l, &n);
	print_phase("taken out", &n);
	ok &= bench_check("domain_out_answered", answered_share(&n), "share",
			  BENCH_AT_LEAST, answered_share(steady) * 0.99);
	ok &= bench_check("domain_out_unknown", n.unknown, "calls",
			  BENCH_AT_MOST, 0);
	return CTL_RUN_OK(&sys, "domain", "in", victim) && ok;
}

static void kill_victim(void)
{
	for (int i = 0; i < sys.n_nodes; i++) {
		if (is_victim(sys.nodes[i].domain))
			proc_kill(&sys.nodes[i].proc);
	}
	for (int i = 0; i < sys.n_servers; i++) {
		if (is_victim(sys.servers[i].domain))
			proc_kill(&sys.servers[i].proc);
	}
}

static bool start_victim(void)
{
	for (int i = 0; i < sys.n_servers; i++) {
		if (is_victim(sys.servers[i].domain) &&
		    !sys_server_start(&sys, i))
			return false;
	}
	for (int i = 0; i < sys.n_nodes; i++) {
		if (is_victim(sys.nodes[i].domain) && !sys_node_start(&sys, i))
			return false;
	}
	return true;
}

/* Callers in the other failure domains must not be affected when it dies at once. */
static bool bench_sudden_loss(const struct load_count *steady)
{
	struct load *l = desk_start_load(&sys, &desk, victim, CALLS_PER_S);
	struct load_count n;
	int64_t start;
	bool ok;

	kill_victim();
	sleep(LOST_MEASURE_S);
	load_take(l, &n);
	print_phase("lost", &n);
	ok = bench_check("domain_lost_answered", answered_share(&n), "share",
			 BENCH_AT_LEAST, answered_share(steady) * 0.99);
	start = clock_now_ms();
	ok &= start_victim();
	for (int i = 0; i < sys.n_nodes; i++)
		ok &= desk_wait_ready(&desk, i);
	printf("back: every node of it is ready after %lld ms\n",
	       (long long)(clock_now_ms() - start));
	load_take(l, &n);
	print_phase("back", &n);
	ok &= bench_check("domain_back_answered", answered_share(&n), "share",
			  BENCH_AT_LEAST, answered_share(steady) * 0.99);
	load_stop(l);
	return ok;
}

static bool bench_domain(void)
{
	struct load_count steady;
	struct load *l;
	bool ok;

	if (!start_system())
		return false;
	l = desk_start_load(&sys, &desk, "", CALLS_PER_S);
	sleep(STEADY_S);
	load_take(l, &steady);
	print_phase("steady", &steady);
	ok = bench_check("domain_in_runs", (double)victim_runs(), "runs",
			 BENCH_AT_LEAST, 1);
	ok &= bench_taken_out(l, &steady);
	load_stop(l);
	return bench_sudden_loss(&steady) && ok;
}

int main(void)
{
	bool ok = bench_domain();

	sys_stop(&sys);
	return ok ? 0 : 1;
}
