// Calls and keyed calls on a local system: answers are complete, a call runs at
// most once, a refused call did not run, no key reaches a backend server, and a
// failure domain without servers uses those of the others.
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
	UP_MS = 30000,
	CALLERS = 8,
	CALLS = 25, ///< per caller
	BODY_LEN = 700000, ///< bytes, more than two chunks between daemons
	KEYED = 40,
	ORDER_TRIES = 3,
};

static struct sys sys;
static char key[256];

/* Make a call. Returns the JSON answer; res gets status and headers. */
static json_t *call(int node, const char *body, const char *idem,
		    struct http_res *res)
{
	char url[128];
	char header[192];
	const char *headers[] = {header, NULL};
	struct http_opts o = {
		.method = "POST",
		.url = url,
		.bearer = key,
		.headers = idem ? headers : NULL,
		.body = body,
		.timeout_ms = 15000,
	};
	json_t *j;

	snprintf(url, sizeof(url), "%s/v1/call/desk/book", sys.nodes[node].url);
	snprintf(header, sizeof(header), "Idempotency-Key: %s", idem);
	http_call(&o, res);
	j = json_loadb(res->body, res->len, 0, NULL);
	http_free(res);
	return j;
}

#define CTL(...) assert_true(CTL_OK(&sys, __VA_ARGS__))

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
		if (!wait_until(call_works, &i, UP_MS))
			fail_msg("node %d does not answer calls", i);
	}
	return 0;
}

static int stop(void **state)
{
	sys_stop(&sys);
	return 0;
}

static json_t *stats(int server)
{
	char url[128];

	snprintf(url, sizeof(url), "%s/fake/stats", sys.servers[server].url);
	return http_json("GET", url, NULL, NULL, NULL);
}

/* Runs of a call on all servers; adds the keys they saw to *keys. */
static int runs_of(const char *name, int *keys)
{
	int runs = 0;

	for (int i = 0; i < sys.n_servers; i++) {
		json_t *j = stats(i);
		json_t *calls = json_object_get(j, "calls");

		runs += (int)json_integer_value(json_object_get(calls, name));
		*keys += (int)json_integer_value(
			json_object_get(j, "keys_seen"));
		json_decref(j);
	}
	return runs;
}

static void order_fault(const char *mode, int count, int delay_ms)
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
		for (int n = 0; n < ORDER_TRIES && status != 200; n++)
			json_decref(
				http_json("POST", url, NULL, body, &status));
		assert_int_equal(status, 200);
	}
}

static void *caller(void *arg)
{
	intptr_t me = (intptr_t)arg;
	intptr_t bad = 0;

	for (int i = 0; i < CALLS; i++) {
		char body[64];
		char name[32];
		struct http_res res;
		json_t *j;
		const char *got;

		snprintf(name, sizeof(name), "c%d-%d", (int)me, i);
		snprintf(body, sizeof(body), "{\"call\":\"%s\"}", name);
		j = call((int)me % 3, body, NULL, &res);
		got = json_string_value(json_object_get(j, "call"));
		bad += res.status != 200 || !got || strcmp(got, name) != 0 ||
		       json_integer_value(json_object_get(j, "bytes")) !=
			       (json_int_t)strlen(body);
		json_decref(j);
	}
	return (void *)bad;
}

/* Concurrent callers at all nodes; one node's domain has no server. */
static void test_own_answers(void **state)
{
	pthread_t threads[CALLERS];
	int keys = 0;

	for (intptr_t i = 0; i < CALLERS; i++)
		pthread_create(&threads[i], NULL, caller, (void *)i);
	for (int i = 0; i < CALLERS; i++) {
		void *bad;

		pthread_join(threads[i], &bad);
		assert_int_equal((intptr_t)bad, 0);
	}
	assert_int_equal(runs_of("c2-0", &keys), 1);
	assert_int_equal(keys, 0);
}

static void test_large_body(void **state)
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

static void test_faults(void **state)
{
	for (size_t i = 0; i < sizeof(fault_cases) / sizeof(*fault_cases);
	     i++) {
		const struct fault_case *k = &fault_cases[i];
		char body[64];
		char name[48];
		struct http_res res;
		int keys = 0;
		int runs;

		snprintf(name, sizeof(name), "fault-%s", k->mode);
		snprintf(body, sizeof(body), "{\"call\":\"%s\"}", name);
		order_fault(k->mode, 1, 200);
		json_decref(call(0, body, NULL, &res));
		order_fault("none", 0, 0);
		runs = runs_of(name, &keys);
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
static void test_silence(void **state)
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
	int keys = 0;

	snprintf(url, sizeof(url), "%s/v1/call/desk", sys.nodes[0].url);
	order_fault("hang", 1, 2000);
	http_call(&o, &res);
	http_free(&res);
	order_fault("none", 0, 0);
	assert_int_equal(res.status, 504);
	assert_string_equal(res.run, "maybe");
	assert_true(res.retry_after > 0);
	assert_int_equal(runs_of("silence", &keys), 1);
}

/* Retries with the same idempotency key get the first answer on any node. */
static void test_keyed_repeat(void **state)
{
	json_int_t booking = 0;
	int keys = 0;

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
	assert_int_equal(runs_of("keyed", &keys), 1);
	assert_int_equal(keys, 0);
}

static void test_keyed_mismatch(void **state)
{
	struct http_res res;

	json_decref(call(0, "{\"call\":\"a\"}", "k-2", &res));
	assert_int_equal(res.status, 200);
	json_decref(call(1, "{\"call\":\"b\"}", "k-2", &res));
	assert_int_equal(res.status, 422);
	assert_string_equal(res.run, "no");
}

struct racer {
	int node;
	char name[32];
	int maybe_or_done;
};

static void *race(void *arg)
{
	struct racer *r = arg;
	char body[64];
	struct http_res res;

	snprintf(body, sizeof(body), "{\"call\":\"%s\"}", r->name);
	json_decref(call(r->node, body, r->name, &res));
	r->maybe_or_done = strcmp(res.run, "no") != 0;
	return NULL;
}

/* The same keyed call concurrently at all nodes, with faults; one node is
 * killed while calls are in flight. */
static void test_keyed_race(void **state)
{
	static const char *const modes[] = {"none", "reset_after", "slow",
					    "late", "reset_before"};
	int keys = 0;

	for (int i = 0; i < KEYED; i++) {
		struct racer racers[3];
		pthread_t threads[3];
		bool kill = i == KEYED / 2;
		int runs;

		order_fault(modes[i % 5], 1, 100);
		for (int n = 0; n < 3; n++) {
			racers[n] = (struct racer){.node = n};
			snprintf(racers[n].name, sizeof(racers[n].name),
				 "race-%d", i);
			pthread_create(&threads[n], NULL, race, &racers[n]);
		}
		if (kill)
			proc_kill(&sys.nodes[1].proc);
		for (int n = 0; n < 3; n++)
			pthread_join(threads[n], NULL);
		runs = runs_of(racers[0].name, &keys);
		if (runs > 1)
			fail_msg("%s ran %d times", racers[0].name, runs);
		if (kill) {
			int node = 1;

			assert_true(sys_node_start(&sys, 1));
			assert_true(wait_until(call_works, &node, UP_MS));
		}
	}
	order_fault("none", 0, 0);
	assert_int_equal(keys, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_own_answers),
		cmocka_unit_test(test_large_body),
		cmocka_unit_test(test_faults),
		cmocka_unit_test(test_silence),
		cmocka_unit_test(test_keyed_repeat),
		cmocka_unit_test(test_keyed_mismatch),
		cmocka_unit_test(test_keyed_race),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
