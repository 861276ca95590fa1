// Rollouts on a local system complete correctly when weights are swapped in
// mid-sample, a swap fails, or the batch's owner or the trainer is killed.
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <jansson.h>
#include <sys/wait.h>

#include "support/ctl.h"
#include "support/http.h"
#include "support/sys.h"

enum {
	UP_MS = 30000,
	BATCH_MS = 60000,
	ARGS = 40,
	SOME_SAMPLES = 20,
};

static struct sys sys;
static char key[256];

static bool node_ready(void *ctx)
{
	char url[96];
	struct http_res res;
	struct http_opts o = {.method = "GET", .url = url};
	const struct sys_node *n = ctx;

	snprintf(url, sizeof(url), "%s/readyz", n->url);
	http_call(&o, &res);
	http_free(&res);
	return res.status == 200;
}

static int start(void **state)
{
	static const char *const engine[] = {
		"--cold", "0", "--slots", "8", "--token-us", "8000", NULL};
	static const char *const team[] = {"team", "add", "ghent", NULL};
	static const char *const route[] = {"route", "add", "policy",
					    "--engine", NULL};
	struct sys_opts o = {
		.domains = 3,
		.nodes_per_domain = 1,
		.engines_per_domain = 2,
		.engine_args = engine,
	};
	char out[4096];

	assert_true(sys_start(&sys, &o));
	assert_int_equal(ctl_run(&sys, team, out, sizeof(out)), 0);
	assert_int_equal(ctl_run(&sys, route, out, sizeof(out)), 0);
	assert_int_equal(ctl_grant(&sys, "ghent", key, sizeof(key)), 0);
	for (int i = 0; i < sys.n_nodes; i++)
		assert_true(wait_until(node_ready, &sys.nodes[i], UP_MS));
	return 0;
}

static int stop(void **state)
{
	sys_stop(&sys);
	return 0;
}

static void trainer_start(struct proc *p, const char *name,
			  const char *const *more)
{
	const char *argv[ARGS] = {"fake_trainer", "--key",  key,
				  "--route",	  "policy", "--groups",
				  "30",		  "--n",    "4",
				  "--max-tokens", "128",    "--limit-ms",
				  "50000",	  "--max",  "8",
				  "--wait-ms",	  "500"};
	int n = 17;

	for (int i = 0; i < sys.n_nodes; i++) {
		argv[n++] = "--node";
		argv[n++] = sys.nodes[i].url;
	}
	for (; *more; more++)
		argv[n++] = *more;
	assert_true(proc_start(p, name, argv));
}

static void trainer_must_be_right(struct proc *p)
{
	int status = -1;
	char line[4096];
	FILE *f;

	if (proc_wait(p, BATCH_MS, &status) && WIFEXITED(status) &&
	    WEXITSTATUS(status) == 0)
		return;
	f = fopen(p->log, "r");
	while (f && fgets(line, sizeof(line), f)) {
		if (!strstr(line, "\"sample\""))
			print_message("%.400s", line);
	}
	if (f)
		fclose(f);
	fail_msg("trainer %s: wait status %d", p->name, status);
}

static int trainer_samples(const struct proc *p)
{
	FILE *f = fopen(p->log, "r");
	char line[4096];
	int n = 0;

	while (f && fgets(line, sizeof(line), f))
		n += strstr(line, "\"sample\"") != NULL;
	if (f)
		fclose(f);
	return n;
}

static bool trainer_has_some(void *ctx)
{
	return trainer_samples(ctx) >= SOME_SAMPLES;
}

static void engine_post(int i, const char *path, const char *body)
{
	char url[128];
	int status = 0;

	snprintf(url, sizeof(url), "%s%s", sys.servers[i].url, path);
	json_decref(http_json("POST", url, NULL, body, &status));
	assert_true(status == 200 || status == 202);
}

static void weights(int version)
{
	char body[64];

	snprintf(body, sizeof(body), "{\"version\":%d,\"epoch\":1}", version);
	for (int i = 0; i < sys.n_servers; i++)
		engine_post(i, "/v1/weights", body);
}

static void test_weights_swap_in_mid_sample(void **state)
{
	static const char *const more[] = {
		"--trainer",	"swaps", "--staleness", "1",
		"--bump-every", "60",	 NULL};
	struct proc p = {0};

	trainer_start(&p, "swaps", more);
	assert_true(wait_until(trainer_has_some, &p, BATCH_MS));
	engine_post(0, "/fake/fault", "{\"mode\":\"swap_fail\",\"count\":1}");
	engine_post(1, "/fake/fault",
		    "{\"mode\":\"swap_late\",\"count\":1,\"delay_ms\":700}");
	weights(2);
	engine_post(2, "/fake/fault", "{\"mode\":\"reset_mid\",\"count\":3}");
	trainer_must_be_right(&p);
	weights(2);
}

/* Index of a node whose status shows open batches, -1 for none. */
static int owner_of_open_batch(void)
{
	for (int i = 0; i < sys.n_nodes; i++) {
		char url[96];
		json_t *st;
		json_int_t open;

		if (sys.nodes[i].proc.pid == 0)
			continue;
		snprintf(url, sizeof(url), "%s/admin/status",
			 sys.nodes[i].admin);
		st = http_json("GET", url, NULL, NULL, NULL);
		open = json_integer_value(json_object_get(
			json_object_get(st, "rollout"), "open_batches"));
		json_decref(st);
		if (open > 0)
			return i;
	}
	return -1;
}

static void test_owner_killed(void **state)
{
	static const char *const more[] = {"--trainer", "kill", "--staleness",
					   "5", NULL};
	struct proc p = {0};
	int owner;

	trainer_start(&p, "kill", more);
	assert_true(wait_until(trainer_has_some, &p, BATCH_MS));
	owner = owner_of_open_batch();
	assert_true(owner >= 0);
	proc_kill(&sys.nodes[owner].proc);
	trainer_must_be_right(&p);
	assert_true(sys_node_start(&sys, owner));
	assert_true(wait_until(node_ready, &sys.nodes[owner], UP_MS));
}

static void test_trainer_killed(void **state)
{
	static const char *const first[] = {"--trainer", "back", "--staleness",
					    "5", NULL};
	struct proc p = {0};
	struct proc again = {0};
	const char *second[] = {"--trainer", "back",	  "--staleness",
				"5",	     "--session", "2",
				"--kept",    p.log,	  NULL};

	trainer_start(&p, "first", first);
	assert_true(wait_until(trainer_has_some, &p, BATCH_MS));
	proc_kill(&p);
	trainer_start(&again, "second", second);
	trainer_must_be_right(&again);
	print_message("first session %d samples, second %d, of 120\n",
		      trainer_samples(&p), trainer_samples(&again));
	assert_int_equal(trainer_samples(&p) + trainer_samples(&again), 120);
}

static json_int_t engine_stat(int i, const char *name)
{
	char url[128];
	json_int_t v;
	json_t *st;

	snprintf(url, sizeof(url), "%s/fake/stats", sys.servers[i].url);
	st = http_json("GET", url, NULL, NULL, NULL);
	v = json_integer_value(json_object_get(st, name));
	json_decref(st);
	return v;
}

static bool all_have_version(void *ctx)
{
	for (int i = 0; i < sys.n_servers; i++) {
		if (engine_stat(i, "version") != *(int *)ctx)
			return false;
	}
	return true;
}

static void test_weights_reach_all_engines(void **state)
{
	char url[96];
	int status = 0;
	int version = 9;

	engine_post(0, "/fake/fault", "{\"mode\":\"swap_fail\",\"count\":1}");
	engine_post(1, "/fake/fault",
		    "{\"mode\":\"swap_late\",\"count\":1,\"delay_ms\":900}");
	snprintf(url, sizeof(url), "%s/admin/weights", sys.nodes[1].admin);
	json_decref(http_json("POST", url, NULL, "{\"version\":9}", &status));
	assert_int_equal(status, 202);
	assert_true(wait_until(all_have_version, &version, UP_MS));
	for (int i = 0; i < sys.n_servers; i++)
		assert_int_equal(engine_stat(i, "orders_stale"), 0);
}

static void test_no_key_at_an_engine(void **state)
{
	for (int i = 0; i < sys.n_servers; i++)
		assert_int_equal(engine_stat(i, "key_leaks"), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_weights_swap_in_mid_sample),
		cmocka_unit_test(test_owner_killed),
		cmocka_unit_test(test_trainer_killed),
		cmocka_unit_test(test_weights_reach_all_engines),
		cmocka_unit_test(test_no_key_at_an_engine),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
