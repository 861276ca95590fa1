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
	START_TIMEOUT_MS = 30000,
	BATCH_TIMEOUT_MS = 60000,
	ARGS_MAX = 40,
	SAMPLES_BEFORE_FAULT = 20,
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
		assert_true(wait_until(node_ready, &sys.nodes[i],
				       START_TIMEOUT_MS));
	return 0;
}

static int stop(void **state)
{
	sys_stop(&sys);
	return 0;
}

static void trainer_start(struct proc *p, const char *name,
			  const char *const *extra_args)
{
	const char *argv[ARGS_MAX] = {"fake_trainer", "--key",	key,
				      "--route",      "policy", "--groups",
				      "30",	      "--n",	"4",
				      "--max-tokens", "128",	"--limit-ms",
				      "50000",	      "--max",	"8",
				      "--wait-ms",    "500"};
	int n = 17;

	for (int i = 0; i < sys.n_nodes; i++) {
		argv[n++] = "--node";
		argv[n++] = sys.nodes[i].url;
	}
	for (; *extra_args; extra_args++)
		argv[n++] = *extra_args;
	assert_true(proc_start(p, name, argv));
}

static void assert_trainer_succeeds(struct proc *p)
{
	int status = -1;
	char line[4096];
	FILE *f;

	if (proc_wait(p, BATCH_TIMEOUT_MS, &status) && WIFEXITED(status) &&
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

static int trainer_sample_count(const struct proc *p)
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

static bool trainer_has_samples(void *ctx)
{
	return trainer_sample_count(ctx) >= SAMPLES_BEFORE_FAULT;
}

static void engine_post(int i, const char *path, const char *body)
{
	char url[128];
	int status = 0;

	snprintf(url, sizeof(url), "%s%s", sys.servers[i].url, path);
	json_decref(http_json("POST", url, NULL, body, &status));
	assert_true(status == 200 || status == 202);
}

static void order_weights(int version)
{
	char body[64];

	snprintf(body, sizeof(body), "{\"version\":%d,\"epoch\":1}", version);
	for (int i = 0; i < sys.n_servers; i++)
		engine_post(i, "/v1/weights", body);
}

static void test_batch_survives_weight_swaps(void **state)
{
	static const char *const extra_args[] = {
		"--trainer",	"swaps", "--staleness", "1",
		"--bump-every", "60",	 NULL};
	struct proc p = {0};

	trainer_start(&p, "swaps", extra_args);
	assert_true(wait_until(trainer_has_samples, &p, BATCH_TIMEOUT_MS));
	engine_post(0, "/fake/fault", "{\"mode\":\"swap_fail\",\"count\":1}");
	engine_post(1, "/fake/fault",
		    "{\"mode\":\"swap_late\",\"count\":1,\"delay_ms\":700}");
	order_weights(2);
	engine_post(2, "/fake/fault", "{\"mode\":\"reset_mid\",\"count\":3}");
	assert_trainer_succeeds(&p);
	order_weights(2);
}

/* Index of a node whose status shows open batches, -1 for none. */
static int find_batch_owner(void)
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

static void test_batch_survives_owner_kill(void **state)
{
	static const char *const extra_args[] = {"--trainer", "kill",
						 "--staleness", "5", NULL};
	struct proc p = {0};
	int owner;

	trainer_start(&p, "kill", extra_args);
	assert_true(wait_until(trainer_has_samples, &p, BATCH_TIMEOUT_MS));
	owner = find_batch_owner();
	assert_true(owner >= 0);
	proc_kill(&sys.nodes[owner].proc);
	assert_trainer_succeeds(&p);
	assert_true(sys_node_start(&sys, owner));
	assert_true(
		wait_until(node_ready, &sys.nodes[owner], START_TIMEOUT_MS));
}

static void test_second_session_gets_missing_samples(void **state)
{
	static const char *const first_args[] = {"--trainer", "back",
						 "--staleness", "5", NULL};
	struct proc p = {0};
	struct proc second_trainer = {0};
	const char *second_args[] = {"--trainer", "back",      "--staleness",
				     "5",	  "--session", "2",
				     "--kept",	  p.log,       NULL};

	trainer_start(&p, "first", first_args);
	assert_true(wait_until(trainer_has_samples, &p, BATCH_TIMEOUT_MS));
	proc_kill(&p);
	trainer_start(&second_trainer, "second", second_args);
	assert_trainer_succeeds(&second_trainer);
	print_message("first session %d samples, second %d, of 120\n",
		      trainer_sample_count(&p),
		      trainer_sample_count(&second_trainer));
	assert_int_equal(trainer_sample_count(&p) +
				 trainer_sample_count(&second_trainer),
			 120);
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
	assert_true(wait_until(all_have_version, &version, START_TIMEOUT_MS));
	for (int i = 0; i < sys.n_servers; i++)
		assert_int_equal(engine_stat(i, "orders_stale"), 0);
}

static void test_no_key_reaches_engines(void **state)
{
	for (int i = 0; i < sys.n_servers; i++)
		assert_int_equal(engine_stat(i, "key_leaks"), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_batch_survives_weight_swaps),
		cmocka_unit_test(test_batch_survives_owner_kill),
		cmocka_unit_test(test_second_session_gets_missing_samples),
		cmocka_unit_test(test_weights_reach_all_engines),
		cmocka_unit_test(test_no_key_reaches_engines),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
