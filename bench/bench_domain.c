// Service while a failure domain leaves and returns: taken out and back in by
// an operator, then lost with its daemons and servers, then back.
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "support/bench.h"
#include "support/ctl.h"
#include "support/http.h"
#include "support/load.h"
#include "support/sys.h"

enum {
	DOMAINS = 3,
	NODES_PER_DOMAIN = 2,
	VICTIM = 2, ///< failure domain that leaves
	CALLS_PER_S = 20, ///< of each caller
	STEADY_S = 3,
	OUT_S = 4,
	LOST_S = 6,
	GRACE_S = 3, ///< after this a domain taken out gets no new work
	UP_MS = 30000,
	CALL_MS = 10000,
};

static struct sys sys;
static char key[256];
static char call_urls[SYS_MAX_NODES][128];

static bool ctl(const char *const *words)
{
	char out[4096];
	int rc = ctl_run(&sys, words, out, sizeof(out));

	if (rc != 0)
		fprintf(stderr, "catkinctl %s: %d %s\n", words[0], rc, out);
	return rc == 0;
}

static bool node_serves(void *ctx)
{
	struct http_opts o = {
		.method = "POST",
		.url = ctx,
		.bearer = key,
		.body = "{\"call\":\"up\"}",
		.timeout_ms = CALL_MS,
	};
	struct http_res res;
	int status = http_call(&o, &res);

	http_free(&res);
	return status == 200;
}

static bool set_up(void)
{
	const struct sys_opts o = {
		.domains = DOMAINS,
		.nodes_per_domain = NODES_PER_DOMAIN,
		.services_per_domain = 2,
	};
	const char *const route[] = {"route",	  "add",  "desk",
				     "--service", "desk", NULL};
	const char *const team[] = {"team", "add", "depot", NULL};

	if (!sys_start(&sys, &o) || !ctl(route) || !ctl(team))
		return false;
	if (ctl_grant(&sys, "depot", key, sizeof(key)) != 0)
		return false;
	for (int i = 0; i < sys.n_nodes; i++) {
		snprintf(call_urls[i], sizeof(call_urls[i]),
			 "%s/v1/call/desk/book", sys.nodes[i].url);
		if (!wait_until(node_serves, call_urls[i], UP_MS))
			return false;
	}
	return true;
}

static bool is_victim(const char *domain)
{
	char name[16];

	snprintf(name, sizeof(name), "d%d", VICTIM);
	return strcmp(domain, name) == 0;
}

/* Runs of the victim's services so far. */
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

static struct load *start_load(bool with_victim)
{
	static const char *urls[SYS_MAX_NODES];
	struct load_opts o = {
		.urls = urls,
		.bearer = key,
		.calls_per_s = CALLS_PER_S,
		.timeout_ms = CALL_MS,
	};

	for (int i = 0; i < sys.n_nodes; i++) {
		if (with_victim || !is_victim(sys.nodes[i].domain))
			urls[o.n_urls++] = call_urls[i];
	}
	return load_start(&o);
}

static double share(const struct load_count *n)
{
	return n->sent ? (double)n->answered / n->sent : 0;
}

static void say(const char *phase, const struct load_count *n)
{
	printf("%s: %d sent, %d answered, %d refused, %d unknown, "
	       "p50 %lld us, p99 %lld us\n",
	       phase, n->sent, n->answered, n->refused, n->unknown,
	       (long long)n->p50_us, (long long)n->p99_us);
}

static bool taken_out(struct load *l, const struct load_count *steady)
{
	const char *const out[] = {"domain",   "out",	      "d2",
				   "--reason", "maintenance", NULL};
	const char *const in[] = {"domain", "in", "d2", NULL};
	struct load_count n;
	long before;
	bool ok;

	if (!ctl(out))
		return false;
	sleep(GRACE_S);
	before = victim_runs();
	sleep(OUT_S);
	ok = bench_check("domain_out_new_runs",
			 (double)(victim_runs() - before), "runs",
			 BENCH_AT_MOST, 0);
	load_take(l, &n);
	say("taken out", &n);
	ok &= bench_check("domain_out_answered", share(&n), "share",
			  BENCH_AT_LEAST, share(steady) * 0.99);
	ok &= bench_check("domain_out_unknown", n.unknown, "calls",
			  BENCH_AT_MOST, 0);
	return ctl(in) && ok;
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

/* The other failure domains' callers notice nothing when it dies at once. */
static bool lost_at_once(const struct load_count *steady)
{
	struct load *l = start_load(false);
	struct load_count n;
	int64_t start;
	bool ok;

	kill_victim();
	sleep(LOST_S);
	load_take(l, &n);
	say("lost", &n);
	ok = bench_check("domain_lost_answered", share(&n), "share",
			 BENCH_AT_LEAST, share(steady) * 0.99);
	start = clock_now_ms();
	ok &= start_victim();
	for (int i = 0; i < sys.n_nodes; i++)
		ok &= wait_until(node_serves, call_urls[i], UP_MS);
	printf("back: every node of it serves after %lld ms\n",
	       (long long)(clock_now_ms() - start));
	load_take(l, &n);
	say("back", &n);
	ok &= bench_check("domain_back_answered", share(&n), "share",
			  BENCH_AT_LEAST, share(steady) * 0.99);
	load_stop(l);
	return ok;
}

static bool run(void)
{
	struct load_count steady;
	struct load *l;
	bool ok;

	if (!set_up())
		return false;
	l = start_load(true);
	sleep(STEADY_S);
	load_take(l, &steady);
	say("steady", &steady);
	ok = bench_check("domain_in_runs", (double)victim_runs(), "runs",
			 BENCH_AT_LEAST, 1);
	ok &= taken_out(l, &steady);
	load_stop(l);
	return lost_at_once(&steady) && ok;
}

int main(void)
{
	bool ok = run();

	sys_stop(&sys);
	return ok ? 0 : 1;
}
