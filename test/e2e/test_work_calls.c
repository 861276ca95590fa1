// Calls and keyed calls on a local system: complete answers, at most one run, no
// run if refused, no key at a backend server, use of other failure domains.
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
#include <pthread.h>

#include "base/clock.h"
#include "support/ctl.h"
#include "support/http.h"
#include "support/sys.h"

enum {
	START_TIMEOUT_MS = 30000,
	CALLERS = 8,
	CALLS = 25, ///< per caller
	BODY_LEN = 700000, ///< bytes, more than two chunks between daemons
	KEYED_CALLS = 40,
	FAULT_TRIES = 3,
};

static struct sys sys;
static char key[256];

/* Make a call. Returns the JSON answer; res gets status and headers. */
static json_t *call(int node, const char *body, const char *idempotency_key,
		    struct http_res *res)
{
	char url[128];
	char header[192];
	const char *headers[] = {header, NULL};
	struct http_opts o = {
		.method = "POST",
		.url = url,
		.bearer = key,
		.headers = idempotency_key ? headers : NULL,
		.body = body,
		.timeout_ms = 15000,
	};
	json_t *j;

	snprintf(url, sizeof(url), "%s/v1/call/desk/book", sys.nodes[node].url);
	snprintf(header, sizeof(header), "Idempotency-Key: %s",
		 idempotency_key);
	http_call(&o, res);
	j = json_loadb(res->body, res->len, 0, NULL);
	http_free(res);
	return j;
}

#define CTL(...) assert_true(CTL_RUN_OK(&sys, __VA_ARGS__))

static bool call_works(void *ctx)
{
	struct http_res res;

	json_decref(call(*(int *)ctx, "{\"call\":\"up\"}", NULL, &res));
	return res.status == 200;
}

static int start(void **state)
{
	struct sys_opts o = {
		.domains = 3,
		.nodes_per_domain = 1,
		.services_per_domain = 1,
		.empty_domain = 3,
	};

	assert_true(sys_start(&sys, &o));
	CTL("team", "add", "depot");
	CTL("route", "add", "desk", "--service", "desk", "--team", "depot");
	assert_int_equal(ctl_grant(&sys, "depot", key, sizeof(key)), 0);
	for (int i = 0; i < sys.n_nodes; i++) {
		if (!wait_until(call_works, &i, START_TIMEOUT_MS))
			fail_msg("node %d does not answer calls", i);
	}
	return 0;
}

static int stop(void **state)
{
	sys_stop(&sys);
	return 0;
}

static json_t *server_stats(int server)
{
	char url[128];

	snprintf(url, sizeof(url), "%s/fake/stats", sys.servers[server].url);
	return http_json("GET", url, NULL, NULL, NULL);
}

/* Runs of a call on all servers; adds the keys they saw to *keys_seen. */
static int run_count(const char *name, int *keys_seen)
{
	int runs = 0;

	for (int i = 0; i < sys.n_servers; i++) {
		json_t *j = server_stats(i);
		json_t *calls = json_object_get(j, "calls");

		runs += (int)json_integer_value(json_object_get(calls, name));
		*keys_seen += (int)json_integer_value(
			json_object_get(j, "keys_seen"));
		json_decref(j);
	}
	return runs;
}

static void set_server_fault(const char *mode, int count, int delay_ms)
{
	char body[128];
	char url[128];
	int status;

	snprintf(body, sizeof(body),
		 "{\"mode\":\"%s\",\"count\":%d,\"delay_ms\":%d}", mode, count,
		 delay_ms);
	for (int i = 0; i < sys.n_servers; i++) {
		snprintf(url, sizeof(url), "%s/fake/fault", sys.servers[i].url);
		/* A fault set earlier may refuse this connection. */
		status = 0;
		for (int n = 0; n < FAULT_TRIES && status != 200; n++)
			json_decref(
				http_json("POST", url, NULL, body, &status));
		assert_int_equal(status, 200);
	}
}

static void *caller_main(void *arg)
{
	intptr_t caller_index = (intptr_t)arg;
	intptr_t failed = 0;

	for (int i = 0; i < CALLS; i++) {
		char body[64];
		char name[32];
		struct http_res res;
		json_t *j;
		const char *answered;

		snprintf(name, sizeof(name), "c%d-%d", (int)caller_index, i);
		snprintf(body, sizeof(body), "{\"call\":\"%s\"}", name);
		j = call((int)caller_index % 3, body, NULL, &res);
		answered = json_string_value(json_object_get(j, "call"));
		failed += res.status != 200 || !answered ||
			  strcmp(answered, name) != 0 ||
			  json_integer_value(json_object_get(j, "bytes")) !=
				  (json_int_t)strlen(body);
		json_decref(j);
	}
	return (void *)failed;
}

/* Concurrent callers at all nodes; one node's domain has no server. */
static void test_callers_get_own_answers(void **state)
{
	pthread_t threads[CALLERS];
	int keys_seen = 0;

	for (intptr_t i = 0; i < CALLERS; i++)
		pthread_create(&threads[i], NULL, caller_main, (void *)i);
	for (int i = 0; i < CALLERS; i++) {
		void *failed;

		pthread_join(threads[i], &failed);
		assert_int_equal((intptr_t)failed, 0);
	}
	assert_int_equal(run_count("c2-0", &keys_seen), 1);
	assert_int_equal(keys_seen, 0);
}

static void test_large_body_complete(void **state)
{
	char *body = malloc(BODY_LEN + 64);
	struct http_res res;
	json_t *j;

	memset(body, 'x', BODY_LEN);
	body[BODY_LEN] = '\0';
	j = call(2, body, NULL, &res);
	assert_int_equal(res.status, 200);
	assert_int_equal(json_integer_value(json_object_get(j, "bytes")),
			 BODY_LEN);
	json_decref(j);
	free(body);
}

struct fault_case {
	const char *mode;
	int status; ///< 0: not checked
	const char *run; ///< Catkin-Run
	int runs; ///< -1: 0 or 1
};

static const struct fault_case fault_cases[] = {
	{"refuse", 0, NULL, -1},	{"reset_before", 0, "maybe", 0},
	{"reset_after", 0, "maybe", 1}, {"drop_half", 0, "maybe", 1},
	{"error", 500, "done", 1},	{"slow", 200, "done", 1},
	{"late", 200, "done", 1},
};

static void test_faulted_call_runs_at_most_once(void **state)
{
	for (size_t i = 0; i < sizeof(fault_cases) / sizeof(*fault_cases);
	     i++) {
		const struct fault_case *k = &fault_cases[i];
		char body[64];
		char name[48];
		struct http_res res;
		int keys_seen = 0;
		int runs;

		snprintf(name, sizeof(name), "fault-%s", k->mode);
		snprintf(body, sizeof(body), "{\"call\":\"%s\"}", name);
		set_server_fault(k->mode, 1, 200);
		json_decref(call(0, body, NULL, &res));
		set_server_fault("none", 0, 0);
		runs = run_count(name, &keys_seen);
		print_message("%s: status %d run %s runs %d\n", k->mode,
			      res.status, res.run, runs);
		if (k->status)
			assert_int_equal(res.status, k->status);
		if (k->run)
			assert_string_equal(res.run, k->run);
		if (k->runs >= 0)
			assert_int_equal(runs, k->runs);
		assert_true(runs <= 1);
		if (strcmp(res.run, "no") == 0)
			assert_int_equal(runs, 0);
		if (strcmp(res.run, "maybe") == 0)
			assert_true(res.retry_after > 0);
	}
}

/* A server never answers: the caller gets 504 at its own deadline. */
static void test_silent_server_hits_deadline(void **state)
{
	char url[128];
	const char *headers[] = {"X-Deadline-Ms: 500", NULL};
	struct http_opts o = {
		.method = "POST",
		.url = url,
		.bearer = key,
		.headers = headers,
		.body = "{\"call\":\"silence\"}",
	};
	struct http_res res;
	int keys_seen = 0;

	snprintf(url, sizeof(url), "%s/v1/call/desk", sys.nodes[0].url);
	set_server_fault("hang", 1, 2000);
	http_call(&o, &res);
	http_free(&res);
	set_server_fault("none", 0, 0);
	assert_int_equal(res.status, 504);
	assert_string_equal(res.run, "maybe");
	assert_true(res.retry_after > 0);
	assert_int_equal(run_count("silence", &keys_seen), 1);
}

/* Retries with the same idempotency key get the first answer on any node. */
static void test_keyed_retry_gets_first_answer(void **state)
{
	json_int_t booking = 0;
	int keys_seen = 0;

	for (int i = 0; i < 6; i++) {
		struct http_res res;
		json_t *j = NULL;

		/* 409 until the outcome is stored, after the first answer. */
		for (int n = 0; n < 100; n++) {
			j = call(i % 3, "{\"call\":\"keyed\"}", "k-1", &res);
			if (res.status != 409)
				break;
			json_decref(j);
			j = NULL;
		}
		assert_int_equal(res.status, 200);
		if (i == 0)
			booking = json_integer_value(
				json_object_get(j, "booking"));
		assert_int_equal(
			json_integer_value(json_object_get(j, "booking")),
			booking);
		json_decref(j);
	}
	assert_int_equal(run_count("keyed", &keys_seen), 1);
	assert_int_equal(keys_seen, 0);
}

static void test_keyed_body_mismatch_refused(void **state)
{
	struct http_res res;

	json_decref(call(0, "{\"call\":\"a\"}", "k-2", &res));
	assert_int_equal(res.status, 200);
	json_decref(call(1, "{\"call\":\"b\"}", "k-2", &res));
	assert_int_equal(res.status, 422);
	assert_string_equal(res.run, "no");
}

struct keyed_caller {
	int node;
	char name[32];
	int may_have_run;
};

static void *keyed_caller_main(void *arg)
{
	struct keyed_caller *r = arg;
	char body[64];
	struct http_res res;

	snprintf(body, sizeof(body), "{\"call\":\"%s\"}", r->name);
	json_decref(call(r->node, body, r->name, &res));
	r->may_have_run = strcmp(res.run, "no") != 0;
	return NULL;
}

/* The same keyed call concurrently at all nodes, with faults; one node is
 * killed while calls are in flight. */
static void test_concurrent_keyed_calls_run_at_most_once(void **state)
{
	static const char *const modes[] = {"none", "reset_after", "slow",
					    "late", "reset_before"};
	int keys_seen = 0;

	for (int i = 0; i < KEYED_CALLS; i++) {
		struct keyed_caller keyed_callers[3];
		pthread_t threads[3];
		bool kill_node = i == KEYED_CALLS / 2;
		int runs;

		set_server_fault(modes[i % 5], 1, 100);
		for (int n = 0; n < 3; n++) {
			keyed_callers[n] = (struct keyed_caller){.node = n};
			snprintf(keyed_callers[n].name,
				 sizeof(keyed_callers[n].name), "race-%d", i);
			pthread_create(&threads[n], NULL, keyed_caller_main,
				       &keyed_callers[n]);
		}
		if (kill_node)
			proc_kill(&sys.nodes[1].proc);
		for (int n = 0; n < 3; n++)
			pthread_join(threads[n], NULL);
		runs = run_count(keyed_callers[0].name, &keys_seen);
		if (runs > 1)
			fail_msg("%s ran %d times", keyed_callers[0].name,
				 runs);
		if (kill_node) {
			int node = 1;

			assert_true(sys_node_start(&sys, 1));
			assert_true(wait_until(call_works, &node,
					       START_TIMEOUT_MS));
		}
	}
	set_server_fault("none", 0, 0);
	assert_int_equal(keys_seen, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_callers_get_own_answers),
		cmocka_unit_test(test_large_body_complete),
		cmocka_unit_test(test_faulted_call_runs_at_most_once),
		cmocka_unit_test(test_silent_server_hits_deadline),
		cmocka_unit_test(test_keyed_retry_gets_first_answer),
		cmocka_unit_test(test_keyed_body_mismatch_refused),
		cmocka_unit_test(test_concurrent_keyed_calls_run_at_most_once),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
