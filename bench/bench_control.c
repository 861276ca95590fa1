// Control overhead of real daemons: bytes to peers, CPU time and memory, idle and
// under a steady call rate, at three fleet sizes.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support/bench.h"
#include "support/desk.h"
#include "support/http.h"

enum {
	DOMAINS = 3,
	SETTLE_S = 2,
	MEASURE_S = 4,
	CALLS_PER_S = 20, ///< of each caller; one caller per node
	PEER_BYTES_PER_S_MAX = 7000, ///< limit of a node's control traffic
	RSS_MAX_MB = 128,
};

static const double cpu_max_percent = 2.1;
static struct sys sys;
static struct desk desk;

struct sample {
	double peer_bytes; ///< sent to peers, mean of the nodes
	double cpu_s; ///< CPU time, mean of the nodes
	double rss_mb; ///< maximum of the nodes
};

static double read_metric(const char *node_admin, const char *name)
{
	char url[96];
	struct http_opts o = {.method = "GET", .url = url};
	struct http_res res;
	const char *match;
	double v = 0;
	char line[128];

	snprintf(url, sizeof(url), "%s/metrics", node_admin);
	snprintf(line, sizeof(line), "\n%s ", name);
	http_call(&o, &res);
	match = strstr(res.body, line);
	if (match)
		v = strtod(match + strlen(line), NULL);
	http_free(&res);
	return v;
}

/* CPU time of all threads, from fields 14 and 15 of /proc/PID/stat. */
static double process_cpu_s(pid_t pid)
{
	char path[64];
	unsigned long user = 0;
	unsigned long system = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	f = fopen(path, "r");
	if (!f)
		return 0;
	if (fscanf(f,
		   "%*d (%*[^)]) %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
		   "%lu %lu",
		   &user, &system) != 2)
		user = system = 0;
	fclose(f);
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

static double process_rss_mb(pid_t pid)
{
	char path[64];
	char line[256];
	long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f)) {
		if (strncmp(line, "VmRSS:", 6) == 0)
			kb = strtol(line + 6, NULL, 10);
	}
	if (f)
		fclose(f);
	return (double)kb / 1024;
}

static struct sample sample_nodes(void)
{
	struct sample s = {0};

	for (int i = 0; i < sys.n_nodes; i++) {
		const struct sys_node *n = &sys.nodes[i];
		double mb = process_rss_mb(n->proc.pid);

		s.peer_bytes += read_metric(n->admin,
					    "catkinpath_peer_sent_bytes_total");
		s.cpu_s += process_cpu_s(n->proc.pid);
		s.rss_mb = mb > s.rss_mb ? mb : s.rss_mb;
	}
	s.peer_bytes /= sys.n_nodes;
	s.cpu_s /= sys.n_nodes;
	return s;
}

/* Costs per second over MEASURE_S, and the calls answered meanwhile. */
static struct sample measure_span(struct load *l, struct load_count *n)
{
	struct sample a;
	struct sample b;

	if (l)
		load_take(l, n);
	a = sample_nodes();
	sleep(MEASURE_S);
	b = sample_nodes();
	if (l)
		load_take(l, n);
	return (struct sample){
		.peer_bytes = (b.peer_bytes - a.peer_bytes) / MEASURE_S,
		.cpu_s = (b.cpu_s - a.cpu_s) / MEASURE_S,
		.rss_mb = b.rss_mb,
	};
}

static bool check(const char *what, double v, const char *unit, double bound)
{
	char name[64];

	snprintf(name, sizeof(name), "control_%s_%d_nodes", what, sys.n_nodes);
	return bench_check(name, v, unit, BENCH_AT_MOST, bound);
}

static bool bench_nodes(int nodes_per_domain)
{
	const struct sys_opts o = {
		.domains = DOMAINS,
		.nodes_per_domain = nodes_per_domain,
		.services_per_domain = 2,
		.engines_per_domain = 2,
	};
	struct load_count n = {0};
	struct sample idle;
	struct sample busy;
	struct load *l;
	bool ok;

	if (!desk_start(&sys, &o, &desk))
		return false;
	sleep(SETTLE_S);
	idle = measure_span(NULL, NULL);
	l = desk_start_load(&sys, &desk, "", CALLS_PER_S);
	sleep(SETTLE_S);
	busy = measure_span(l, &n);
	load_stop(l);
	ok = check("idle_bytes", idle.peer_bytes, "bytes/s",
		   PEER_BYTES_PER_S_MAX);
	ok &= check("idle_cpu", idle.cpu_s * 100, "%core", cpu_max_percent);
	ok &= check("busy_bytes", busy.peer_bytes, "bytes/s",
		    PEER_BYTES_PER_S_MAX);
	ok &= check("memory", busy.rss_mb, "MB", RSS_MAX_MB);
	printf("# %d nodes: %d calls in %d s; %.2f %% of a core a node under "
	       "them\n",
	       sys.n_nodes, n.answered, MEASURE_S, busy.cpu_s * 100);
	return ok && n.answered > 0;
}

/* Peer bytes of slot permits: more backend servers at the same call rate. */
static bool bench_servers(int services)
{
	const struct sys_opts o = {
		.domains = 2,
		.nodes_per_domain = 2,
		.services_per_domain = services,
	};
	struct load_count n = {0};
	struct sample busy;
	struct load *l;

	if (!desk_start(&sys, &o, &desk))
		return false;
	l = desk_start_load(&sys, &desk, "", CALLS_PER_S);
	sleep(SETTLE_S);
	busy = measure_span(l, &n);
	load_stop(l);
	printf("# %d servers a failure domain: %.0f bytes/s a node\n", services,
	       busy.peer_bytes);
	return n.answered > 0;
}

int main(void)
{
	static const int sizes[] = {1, 2, 4}; /* nodes per failure domain */
	static const int servers[] = {2, 6, 12}; /* per failure domain */
	bool ok = true;

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		ok &= bench_nodes(sizes[i]);
		sys_stop(&sys);
	}
	for (size_t i = 0; i < sizeof(servers) / sizeof(servers[0]); i++) {
		ok &= bench_servers(servers[i]);
		sys_stop(&sys);
	}
	return ok ? 0 : 1;
}
