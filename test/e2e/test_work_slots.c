// Cold engines behind several entry VMs: none is overloaded, engines that leave
// and failure domains taken out get no new work, a drain cuts off no request.
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>
#include <jansson.h>
#include <pthread.h>
#include <sys/wait.h>

#include "base/clock.h"
#include "support/ctl.h"
#include "support/http.h"
#include "support/sys.h"

enum {
	START_TIMEOUT_MS = 30000,
	CALLERS = 12,
	LOAD_MS = 6000,
	RETRY_PAUSE_MS = 20, ///< of a caller after a refusal
	TOKENS = 60, ///< per generation
	TOKENS_LONG = 500,
	STOP_BOUND_MS = 3000, ///< until no new work is started on a server
	OBSERVE_MS = 1500, ///< observation after the bound
};

static struct sys sys;
static char key[256];

/// Callers that generate until stop is set.
struct load {
	pthread_t threads[CALLERS];
	_Atomic bool stop;
	_Atomic int complete;
	_Atomic int cut_off; ///< answers that started but did not complete
	_Atomic int refused;
	_Atomic int next_seed; ///< of the next generation, so that lengths vary
	int nodes_used; ///< number of nodes used, from the first
	int tokens; ///< per generation
};

static struct load load;

static int generate(int node, int tokens, struct http_res *res)
{
	char url[128];
	char body[128];
	struct http_opts o = {
		.method = "POST",
		.url = url,
		.bearer = key,
		.body = body,
		.timeout_ms = 20000,
	};

	snprintf(url, sizeof(url), "%s/v1/generate/chat", sys.nodes[node].url);
	snprintf(body, sizeof(body),
		 "{\"prompt\":[1,2,3],\"max_tokens\":%d,\"seed\":%d}", tokens,
		 load.next_seed++);
	return http_call(&o, res);
}

static void sleep_ms(int ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000L};

	nanosleep(&ts, NULL);
}

static void *caller_main(void *arg)
{
	int node = (int)(intptr_t)arg % load.nodes_used;

	while (!load.stop) {
		struct http_res res;
		int status = generate(node, load.tokens, &res);
		bool complete_answer = res.body && strstr(res.body, "\"end\"");

		if (status == 200 && complete_answer)
			load.complete++;
		else if (status == 200)
			load.cut_off++;
		else
			load.refused++;
		http_free(&res);
		if (status != 200)
			sleep_ms(RETRY_PAUSE_MS);
	}
	return NULL;
}

static void load_begin(int nodes, int tokens)
{
	load.stop = false;
	load.complete = 0;
	load.cut_off = 0;
	load.refused = 0;
	load.nodes_used = nodes;
	load.tokens = tokens;
	for (intptr_t i = 0; i < CALLERS; i++)
		pthread_create(&load.threads[i], NULL, caller_main, (void *)i);
}

static void load_end(void)
{
	load.stop = true;
	for (int i = 0; i < CALLERS; i++)
		pthread_join(load.threads[i], NULL);
	print_message("%d complete, %d cut off, %d refused\n", load.complete,
		      load.cut_off, load.refused);
}

static int engine_stat(int server, const char *name)
{
	char url[128];
	json_t *j;
	int v;

	snprintf(url, sizeof(url), "%s/fake/stats", sys.servers[server].url);
	j = http_json("GET", url, NULL, NULL, NULL);
	v = (int)json_integer_value(json_object_get(j, name));
	json_decref(j);
	return v;
}

#define CTL(...) assert_true(CTL_RUN_OK(&sys, __VA_ARGS__))

static bool generate_works(void *ctx)
{
	struct http_res res;
	int status = generate(*(int *)ctx, TOKENS, &res);

	http_free(&res);
	return status == 200;
}

static int start(void **state)
{
	static const char *const args[] = {"--slots", "12", "--token-us",
					   "4000", NULL};
	struct sys_opts o = {
		.domains = 2,
		.nodes_per_domain = 3,
		.engines_per_domain = 2,
		.engine_args = args,
	};
	int node = 0;

	assert_true(sys_start(&sys, &o));
	CTL("team", "add", "depot");
	CTL("route", "add", "chat", "--engine", "--team", "depot");
	assert_int_equal(ctl_grant(&sys, "depot", key, sizeof(key)), 0);
	assert_true(wait_until(generate_works, &node, START_TIMEOUT_MS));
	return 0;
}

static int stop(void **state)
{
	sys_stop(&sys);
	return 0;
}

/* With more generations than the engines of one failure domain may run, the
 * engines of the other one run some of the waiting ones. */
static void test_overflow_runs_in_other_domain(void **state)
{
	CTL("set", "slot.max", "1");
	load_begin(1, TOKENS_LONG);
	sleep_ms(LOAD_MS);
	load_end();
	CTL("set", "slot.max", "64");
	assert_int_equal(load.cut_off, 0);
	assert_true(engine_stat(2, "started") + engine_stat(3, "started") > 0);
	for (int i = 0; i < sys.n_servers; i++)
		assert_int_equal(engine_stat(i, "falls"), 0);
}

/* Twelve callers at three entry VMs on engines that can run one stream at
 * first; one entry VM is killed and restarted under load. */
static void test_cold_engines_not_overloaded(void **state)
{
	load_begin(3, TOKENS);
	sleep_ms(LOAD_MS / 2);
	proc_kill(&sys.nodes[2].proc);
	sleep_ms(LOAD_MS / 2);
	assert_true(sys_node_start(&sys, 2));
	sleep_ms(LOAD_MS);
	load_end();
	for (int i = 0; i < sys.n_servers; i++) {
		print_message("%s: capacity %d, peak %d, peak cold %d\n",
			      sys.servers[i].id, engine_stat(i, "capacity"),
			      engine_stat(i, "peak"),
			      engine_stat(i, "peak_cold"));
		assert_int_equal(engine_stat(i, "falls"), 0);
	}
	assert_true(load.complete > 0);
	assert_true(engine_stat(0, "started") > CALLERS);
}

/* Generations that a server starts in the OBSERVE_MS after the bound. */
static int starts_after_bound(int server)
{
	int before;

	sleep_ms(STOP_BOUND_MS);
	before = engine_stat(server, "started");
	sleep_ms(OBSERVE_MS);
	return engine_stat(server, "started") - before;
}

static void set_vm_state(int server, const char *vm_state)
{
	const struct sys_server *v = &sys.servers[server];
	char url[128];
	char body[256];
	int status;

	snprintf(url, sizeof(url), "%s/fake/vms", sys.platform_url);
	snprintf(body, sizeof(body),
		 "{\"id\":\"%s\",\"addr\":\"%s:%d\",\"domain\":\"%s\","
		 "\"kind\":\"engine\",\"service\":\"\",\"cheap\":false,"
		 "\"state\":\"%s\"}",
		 v->id, v->ip, SYS_SERVER_PORT, v->domain, vm_state);
	json_decref(http_json("POST", url, NULL, body, &status));
	assert_in_range(status, 200, 299);
}

static void test_leaving_engine_gets_no_new_work(void **state)
{
	int late_starts;

	load_begin(3, TOKENS);
	set_vm_state(0, "leaving");
	late_starts = starts_after_bound(0);
	load_end();
	set_vm_state(0, "live");
	assert_int_equal(late_starts, 0);
	assert_int_equal(load.cut_off, 0);
}

static void test_domain_out_gets_no_new_work(void **state)
{
	int late_work;
	int other_starts =
		engine_stat(2, "started") + engine_stat(3, "started");

	load_begin(3, TOKENS);
	CTL("domain", "out", "d1", "--reason", "rack work");
	late_work = starts_after_bound(0) + engine_stat(1, "running");
	load_end();
	CTL("domain", "in", "d1");
	assert_int_equal(late_work, 0);
	assert_int_equal(load.cut_off, 0);
	/* The callers were served by the other failure domain. */
	assert_true(engine_stat(2, "started") + engine_stat(3, "started") >
		    other_starts);
}

/* SIGTERM while requests run: each gets its complete answer. */
static void test_drain_cuts_off_no_request(void **state)
{
	int status = -1;

	load_begin(2, TOKENS);
	sleep_ms(1000);
	proc_signal(&sys.nodes[1].proc, SIGTERM);
	assert_true(proc_wait(&sys.nodes[1].proc, 20000, &status));
	load_end();
	assert_true(WIFEXITED(status));
	assert_int_equal(WEXITSTATUS(status), 0);
	assert_int_equal(load.cut_off, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_overflow_runs_in_other_domain),
		cmocka_unit_test(test_cold_engines_not_overloaded),
		cmocka_unit_test(test_leaving_engine_gets_no_new_work),
		cmocka_unit_test(test_domain_out_gets_no_new_work),
		cmocka_unit_test(test_drain_cuts_off_no_request),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
