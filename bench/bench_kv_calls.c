// Calls per second that real daemons make to the platform, idle and with edits, at
// three fleet sizes; extrapolated to 370 nodes in 10 failure domains.
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
	/// At the first size. A few nodes per domain watch the store; from here on,
	/// added nodes do not, so that the slope is the cost of the others.
	LEAST = 2,
	SETTLE_MS = 4000,
	SPAN_MS = 8000,
	EDITS = 8, ///< in MEASURE_MS
	BIG_NODES = 370,
	BIG_DOMAINS = 10,
	READS_MAX = 2000, ///< limit of the store
	WRITES_MAX = 300, ///< the store takes several hundred
};

struct rates {
	double reads; ///< store reads and watches, per second
	double writes; ///< per second
	double vms; ///< reads of the VM list, per second
};

static void rest(int64_t ms)
{
	const struct timespec nap = {ms / 1000, ms % 1000 * 1000000L};

	nanosleep(&nap, NULL);
}

static struct rates counted(const struct sys *s)
{
	char url[128];
	struct rates r;
	json_t *j;

	snprintf(url, sizeof(url), "%s/fake/stats", s->platform_url);
	j = http_json("GET", url, NULL, NULL, NULL);
	r.reads = (double)json_integer_value(json_object_get(j, "kv_reads"));
	r.writes = (double)json_integer_value(json_object_get(j, "kv_writes"));
	r.vms = (double)json_integer_value(json_object_get(j, "vms"));
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
	struct rates before = counted(s), r;
	int64_t start = clock_now_ms();
	double seconds;

	for (int i = 0; i < edits; i++) {
		edit(s, i);
		rest(SPAN_MS / edits);
	}
	if (edits == 0)
		rest(SPAN_MS);
	r = counted(s);
	seconds = (double)(clock_now_ms() - start) / 1000;
	r.reads = (r.reads - before.reads) / seconds;
	r.writes = (r.writes - before.writes) / seconds;
	r.vms = (r.vms - before.vms) / seconds;
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
		rest(SETTLE_MS);
		*idle = measure(&s, 0);
		*edited = measure(&s, EDITS);
		printf("%d nodes: idle %.2f reads/s %.2f writes/s, "
		       "%d edits in %d s: %.2f reads/s %.2f writes/s, "
		       "%.2f VM lists/s\n",
		       s.n_nodes, idle->reads, idle->writes, EDITS,
		       SPAN_MS / 1000, edited->reads, edited->writes,
		       idle->vms);
	}
	sys_stop(&s);
	return ok;
}

/* Extrapolates from a cost per failure domain and one per node: the slope between
 * the smallest and the largest size. */
static int big(const char *name, double one, double three, double limit)
{
	double slope = fmax(0, (three - one) / ((SIZES - 1) * DOMAINS));
	double domain = one / DOMAINS - slope * LEAST;
	double sum = domain * BIG_DOMAINS + slope * BIG_NODES;

	printf("%s: %.2f a failure domain, %.3f a node\n", name, domain, slope);
	printf("bench %s_at_%d %.1f calls/s bound %.0f %s\n", name, BIG_NODES,
	       sum, limit, sum <= limit ? "pass" : "fail");
	return sum > limit;
}

int main(void)
{
	struct rates idle[SIZES], edited[SIZES];
	int bad = 0;

	for (int i = 0; i < SIZES; i++) {
		if (!run(i + LEAST, &idle[i], &edited[i]))
			return 1;
	}
	bad |= big("kv_reads", edited[0].reads, edited[2].reads, READS_MAX);
	bad |= big("kv_writes", edited[0].writes, edited[2].writes, WRITES_MAX);
	bad |= big("vm_lists", idle[0].vms, idle[2].vms, READS_MAX);
	return bad;
}
