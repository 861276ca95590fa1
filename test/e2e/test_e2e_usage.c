// Usage on running daemons: reports match the answered requests despite frozen
// and killed reporters, lost replies, store outages and cut platform links. No
// window gets two different figures, and no report has an outdated epoch.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>
#include <jansson.h>

#include "base/clock.h"
#include "support/ctl.h"
#include "support/http.h"
#include "support/link.h"
#include "support/sys.h"

enum {
	NODES = 6,
	CALL_PAUSE_MS = 40, ///< between calls of one caller
	COPY_INTERVAL_MS = 100, ///< default of usage.copy_interval
	LOST_PER_KILL_MAX = 2 * COPY_INTERVAL_MS / CALL_PAUSE_MS + 2,
	WAIT_TIMEOUT_MS = 30000,
	FREEZE_MS = 4000, ///< longer than the lease
};

static struct sys sys;
static char key[256];
static atomic_int answered_calls;
static atomic_bool callers_active;

static const char settings[] = "[duty]\nttl = 1500ms\nmargin = 400ms\n"
			       "net_delay = 300ms\n"
			       "[usage]\ncollect_interval = 300ms\n";

struct caller {
	pthread_t thread;
	int node;
};

static struct caller callers[NODES];

static int call_once(int node)
{
	char url[128];
	struct http_res res;
	struct http_opts o = {.method = "POST",
			      .url = url,
			      .bearer = key,
			      .body = "{\"call\":\"u\"}",
			      .timeout_ms = 3000};
	int status;

	snprintf(url, sizeof(url), "%s/v1/call/desk/book", sys.nodes[node].url);
	status = http_call(&o, &res);
	http_free(&res);
	return status;
}

static void *caller_main(void *ctx)
{
	const struct caller *c = ctx;

	while (atomic_load(&callers_active)) {
		if (call_once(c->node) == 200)
			atomic_fetch_add(&answered_calls, 1);
		usleep(CALL_PAUSE_MS * 1000);
	}
	return NULL;
}

static void callers_start(void)
{
	atomic_store(&callers_active, true);
	for (int i = 0; i < NODES; i++) {
		callers[i].node = i;
		pthread_create(&callers[i].thread, NULL, caller_main,
			       &callers[i]);
	}
}

static void callers_stop(void)
{
	atomic_store(&callers_active, false);
	for (int i = 0; i < NODES; i++)
		pthread_join(callers[i].thread, NULL);
}

static int desk_run_count(void)
{
	int runs = 0;

	for (int i = 0; i < sys.n_servers; i++) {
		char url[128];
		json_t *j;

		snprintf(url, sizeof(url), "%s/fake/stats", sys.servers[i].url);
		j = http_json("GET", url, NULL, NULL, NULL);
		runs += (int)json_integer_value(json_object_get(j, "runs"));
		json_decref(j);
	}
	return runs;
}

static json_t *platform_log(void)
{
	char url[128];

	snprintf(url, sizeof(url), "%s/fake/log", sys.platform_url);
	return http_json("GET", url, NULL, NULL, NULL);
}

struct report_summary {
	int requests; ///< sum over the accepted windows
	int windows;
	int conflicts; ///< windows reported again with other figures
	int outdated_epochs; ///< reports of an epoch after one of a newer epoch
	int repeats; ///< windows reported again with the same figures
};

static int requests_of(const json_t *figures)
{
	const char *team;
	json_t *v;
	int sum = 0;

	json_object_foreach((json_t *)figures, team, v)
		sum += (int)json_integer_value(json_object_get(v, "requests"));
	return sum;
}

/// Summarize the usage reports in the platform's log.
static struct report_summary read_reports(void)
{
	struct report_summary r = {0};
	json_t *log = platform_log();
	json_t *seen = json_object();
	json_int_t epoch = 0;
	size_t i;
	json_t *row;

	json_array_foreach(json_object_get(log, "log"), i, row) {
		json_t *fig = json_object_get(row, "figures");
		json_int_t e =
			json_integer_value(json_object_get(row, "epoch"));
		char window[32];
		json_t *old;

		if (!fig)
			continue;
		r.outdated_epochs += e < epoch;
		epoch = e > epoch ? e : epoch;
		snprintf(window, sizeof(window), "%d",
			 (int)json_integer_value(
				 json_object_get(row, "window")));
		old = json_object_get(seen, window);
		r.repeats += old && json_equal(old, fig);
		r.conflicts += old && !json_equal(old, fig);
		if (old)
			continue;
		json_object_set(seen, window, fig);
		r.requests += requests_of(fig);
		r.windows++;
	}
	json_decref(seen);
	json_decref(log);
	return r;
}

static bool requests_reported(void *ctx)
{
	return read_reports().requests >= *(int *)ctx;
}

static bool is_reporter(int node)
{
	char url[128];
	struct http_opts o = {.method = "GET", .url = url, .timeout_ms = 1000};
	struct http_res res;
	json_t *j;
	bool reporting;

	snprintf(url, sizeof(url), "%s/admin/status", sys.nodes[node].admin);
	http_call(&o, &res);
	j = json_loadb(res.body, res.len, 0, NULL);
	reporting = json_is_true(
		json_object_get(json_object_get(j, "usage"), "reporting"));
	json_decref(j);
	http_free(&res);
	return reporting;
}

static bool find_reporter(void *ctx)
{
	int *node = ctx;

	for (int i = 0; i < NODES; i++) {
		if (!is_reporter(i))
			continue;
		*node = i;
		return true;
	}
	return false;
}

static int wait_for_reporter(void)
{
	int node = -1;

	assert_true(wait_until(find_reporter, &node, WAIT_TIMEOUT_MS));
	return node;
}

static void set_platform_fault(const char *body)
{
	char url[128];

	snprintf(url, sizeof(url), "%s/fake/fault", sys.platform_url);
	json_decref(http_json(body ? "POST" : "DELETE", url, NULL, body, NULL));
}

static bool call_works(void *ctx)
{
	return call_once(*(int *)ctx) == 200;
}

static int setup(void **state)
{
	static const char *const team[] = {"team", "add", "depot", NULL};
	static const char *const route[] = {"route",	 "add",	 "desk",
					    "--service", "desk", NULL};
	static const char *const window[] = {"set", "usage.window", "500ms",
					     NULL};
	struct sys_opts opts = {
		.domains = 3,
		.nodes_per_domain = 2,
		.services_per_domain = 1,
		.settings = settings,
		.platform_links = true,
	};

	if (!sys_start(&sys, &opts))
		return -1;
	assert_true(ctl_run_ok(&sys, team));
	assert_true(ctl_run_ok(&sys, route));
	assert_true(ctl_run_ok(&sys, window));
	assert_int_equal(ctl_grant(&sys, "depot", key, sizeof(key)), 0);
	for (int i = 0; i < NODES; i++)
		assert_true(wait_until(call_works, &i, WAIT_TIMEOUT_MS));
	wait_for_reporter();
	return 0;
}

static int teardown(void **state)
{
	sys_stop(&sys);
	return 0;
}

static void assert_reports_consistent(const struct report_summary *r)
{
	print_message("%d windows, %d repeated, %d requests reported; %d "
		      "answered, %d run\n",
		      r->windows, r->repeats, r->requests,
		      atomic_load(&answered_calls), desk_run_count());
	assert_int_equal(r->conflicts, 0);
	assert_int_equal(r->outdated_epochs, 0);
}

/// With faults but no killed node, reported usage is exact.
static void test_usage_exact_without_kills(void **state)
{
	int runs_before = desk_run_count();
	int wanted_requests;
	int node;
	struct report_summary r;

	atomic_store(&answered_calls, 0);
	callers_start();
	set_platform_fault(
		"{\"path\":\"/usage\",\"mode\":\"drop_reply\",\"count\":2}");
	set_platform_fault(
		"{\"path\":\"/kv/usage\",\"method\":\"PUT\",\"mode\":"
		"\"drop_reply\",\"count\":3}");
	sleep(3);
	node = wait_for_reporter();
	print_message("freeze reporter n%d\n", node + 1);
	proc_signal(&sys.nodes[node].proc, SIGSTOP);
	usleep(FREEZE_MS * 1000);
	proc_signal(&sys.nodes[node].proc, SIGCONT);
	set_platform_fault(
		"{\"path\":\"/kv\",\"mode\":\"refuse\",\"count\":-1}");
	sleep(3); /* the outage lasts several windows */
	set_platform_fault(NULL);
	link_set_mode(sys.nodes[4].link, LINK_RESET);
	link_set_mode(sys.nodes[5].link, LINK_RESET);
	sleep(3); /* a failure domain is cut off from the platform */
	link_set_mode(sys.nodes[4].link, LINK_PASS);
	link_set_mode(sys.nodes[5].link, LINK_PASS);
	callers_stop();
	/* Answers of a frozen node after the caller timed out count too. */
	wanted_requests = desk_run_count();
	assert_true(wanted_requests - runs_before >=
		    atomic_load(&answered_calls));
	if (!wait_until(requests_reported, &wanted_requests, WAIT_TIMEOUT_MS))
		print_message("not all requests were reported in time\n");
	sleep(2);
	r = read_reports();
	assert_reports_consistent(&r);
	assert_int_equal(r.requests, wanted_requests);
}

/// With the reporter and other nodes killed, at most the usage that a node
/// counted after its last copy is missing.
static void test_killed_nodes_lose_bounded_usage(void **state)
{
	int reported_before = read_reports().requests;
	int runs_before = desk_run_count();
	int kills = 0;
	int wanted_requests;
	struct report_summary r;

	atomic_store(&answered_calls, 0);
	callers_start();
	for (int i = 0; i < 4; i++) {
		int node = i % 2 ? i : wait_for_reporter();

		usleep(700000);
		proc_kill(&sys.nodes[node].proc);
		kills++;
		usleep(500000);
		assert_true(sys_node_start(&sys, node));
		assert_true(wait_until(call_works, &node, WAIT_TIMEOUT_MS));
	}
	callers_stop();
	wanted_requests = reported_before + atomic_load(&answered_calls) -
			  kills * LOST_PER_KILL_MAX;
	assert_true(wait_until(requests_reported, &wanted_requests,
			       WAIT_TIMEOUT_MS));
	sleep(3);
	r = read_reports();
	assert_reports_consistent(&r);
	print_message("missing %d of %d after %d kills\n",
		      reported_before + atomic_load(&answered_calls) -
			      r.requests,
		      atomic_load(&answered_calls), kills);
	assert_true(r.requests >= wanted_requests);
	assert_true(r.requests - reported_before <=
		    desk_run_count() - runs_before);
}

/// No window is sealed while a stored counter is damaged.
static void test_damaged_counter_seals_no_window(void **state)
{
	char url[128];
	int status;
	json_t *j;
	char body[128];
	int windows;

	snprintf(url, sizeof(url), "%s/kv/usage/node/d1", sys.platform_url);
	j = http_json("GET", url, NULL, NULL, &status);
	snprintf(body, sizeof(body), "{\"value\":\"{\",\"prev_rev\":%d}",
		 (int)json_integer_value(json_object_get(j, "rev")));
	json_decref(j);
	json_decref(http_json("PUT", url, NULL, body, &status));
	assert_int_equal(status, 200);
	sleep(2);
	windows = read_reports().windows;
	sleep(2);
	assert_int_equal(read_reports().windows, windows);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_usage_exact_without_kills),
		cmocka_unit_test(test_killed_nodes_lose_bounded_usage),
		cmocka_unit_test(test_damaged_counter_seals_no_window),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
