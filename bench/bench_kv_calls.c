// Calls per second of real daemons to the platform, idle and with edits, at three
// sizes; extrapolated to 370 nodes in 10 failure domains.
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "support/http.h"
#include "support/sys.h"

enum {
	SIZES = 3,
	DOMAINS = 3,
	/// At the first size: a few nodes per domain watch the store, so that the
	/// slope is the cost of the others.
	MIN_NODES_PER_DOMAIN = 2,
	SETTLE_MS = 4000,
	MEASURE_MS = 8000,
	EDITS = 8, ///< in MEASURE_MS
	TARGET_NODES = 370,
	TARGET_DOMAINS = 10,
	READS_PER_S_MAX = 2000, ///< limit of the store
	WRITES_PER_S_MAX = 300, ///< the store takes several hundred
};

struct rates {
	double reads; ///< store reads and watches, per second
	double writes; ///< per second
	double vm_lists; ///< reads of the VM list, per second
};

static void sleep_ms(int64_t ms)
{
	const struct timespec duration = {ms / 1000, ms % 1000 * 1000000L};

	nanosleep(&duration, NULL);
}

static struct rates read_counters(const struct sys *s)
{
	char url[128];
	struct rates r;
	json_t *j;

	snprintf(url, sizeof(url), "%s/fake/stats", s->platform_url);
	j = http_json("GET", url, NULL, NULL, NULL);
	r.reads = (double)json_integer_value(json_object_get(j, "kv_reads"));
	r.writes = (double)json_integer_value(json_object_get(j, "kv_writes"));
	r.vm_lists = (double)json_integer_value(json_object_get(j, "vms"));
	json_decref(j);
	return r;
}

static void edit(const struct sys *s, int i)
{
	char url[128], body[256];

	snprintf(url, sizeof(url), "%s/admin/conf/edit",
		 s->nodes[i % s->n_nodes].admin);
	snprintf(
		body, sizeof(body),
		"{\"id\":\"e%d\",\"author\":\"bench\",\"ops\":[{\"op\":\"set\","
		"\"field\":\"queue.max\",\"value\":%d}]}",
		i, 1000 + i);
	json_decref(http_json("POST", url, NULL, body, NULL));
}

/* Calls per second over MEASURE_MS, with a number of edits meanwhile. */
static struct rates measure(const struct sys *s, int edits)
{
	struct rates before = read_counters(s), r;
	int64_t start = clock_now_ms();
	double seconds;

	for (int i = 0; i < edits; i++) {
		edit(s, i);
		sleep_ms(MEASURE_MS / edits);
	}
	if (edits == 0)
		sleep_ms(MEASURE_MS);
	r = read_counters(s);
	seconds = (double)(clock_now_ms() - start) / 1000;
	r.reads = (r.reads - before.reads) / seconds;
	r.writes = (r.writes - before.writes) / seconds;
	r.vm_lists = (r.vm_lists - before.vm_lists) / seconds;
	return r;
}

static bool run(int per_domain, struct rates *idle, struct rates *edited)
{
	static struct sys s;
	const struct sys_opts opts = {
		.domains = DOMAINS,
		.nodes_per_domain = per_domain,
		/* Nodes take the fleet duties, but order no servers. */
		.settings = "[fleet]\norder = 1\nmin_engines = 0\n"
			    "min_services = 0\n",
	};
	bool ok = sys_start(&s, &opts);

	if (ok) {
		sleep_ms(SETTLE_MS);
		*idle = measure(&s, 0);
		*edited = measure(&s, EDITS);
		printf("%d nodes: idle %.2f reads/s %.2f writes/s, "
		       "%d edits in %d s: %.2f reads/s %.2f writes/s, "
		       "%.2f VM lists/s\n",
		       s.n_nodes, idle->reads, idle->writes, EDITS,
		       MEASURE_MS / 1000, edited->reads, edited->writes,
		       idle->vm_lists);
	}
	sys_stop(&s);
	return ok;
}

/* Extrapolates the costs per failure domain and per node (the slope). */
static int check_extrapolated(const char *name, double smallest, double largest,
			      double bound)
{
	double per_node =
		fmax(0, (largest - smallest) / ((SIZES - 1) * DOMAINS));
	double domain = smallest / DOMAINS - per_node * MIN_NODES_PER_DOMAIN;
	double sum = domain * TARGET_DOMAINS + per_node * TARGET_NODES;

	printf("%s: %.2f a failure domain, %.3f a node\n", name, domain,
	       per_node);
	printf("bench %s_at_%d %.1f calls/s bound %.0f %s\n", name,
	       TARGET_NODES, sum, bound, sum <= bound ? "pass" : "fail");
	return sum > bound;
}

int main(void)
{
	struct rates idle[SIZES], edited[SIZES];
	int bad = 0;

	for (int i = 0; i < SIZES; i++) {
		if (!run(i + MIN_NODES_PER_DOMAIN, &idle[i], &edited[i]))
			return 1;
	}
	bad |= check_extrapolated("kv_reads", edited[0].reads, edited[2].reads,
				  READS_PER_S_MAX);
	bad |= check_extrapolated("kv_writes", edited[0].writes,
				  edited[2].writes, WRITES_PER_S_MAX);
	bad |= check_extrapolated("vm_lists", idle[0].vm_lists,
				  idle[2].vm_lists, READS_PER_S_MAX);
	return bad;
}
