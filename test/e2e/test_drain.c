// Graceful shutdown: SIGTERM at random points while calls and streams run
// truncates none of them. SIGKILL fails the same check.
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <cmocka.h>
#include <jansson.h>
#include <pthread.h>
#include <sys/wait.h>

#include "base/rng.h"
#include "support/ctl.h"
#include "support/http.h"
#include "support/sys.h"

enum {
	START_TIMEOUT_MS = 30000,
	REQUEST_TIMEOUT_MS = 40000, ///< timeout of one request
	CALLS = 12,
	STREAMS = 12,
	REQUESTS = CALLS + STREAMS,
	CALL_DELAY_MS = 1500, ///< delay of a call at the backend server
	TOKENS = 60, ///< per stream
	TERM_DELAY_MAX_MS = 1200, ///< bound of the random delay of SIGTERM
	ROUNDS = 2,
};

static struct sys sys;

struct request {
	pthread_t thread;
	bool stream;
	bool complete;
	int status;
	int curl_code;
	uint64_t start_ms; ///< on the clock of the daemons' logs
	uint64_t took_ms;
	size_t received; ///< bytes of the answer's body
	char run[16]; ///< Catkin-Run
	char tail[96]; ///< last bytes of the answer's body
};

static int post(const char *base, const char *path, const char *body,
		struct http_res *res)
{
	char url[128];
	struct http_opts opts = {
		.method = "POST",
		.url = url,
		.body = body,
		.timeout_ms = REQUEST_TIMEOUT_MS,
	};

	snprintf(url, sizeof(url), "%s%s", base, path);
	return http_call(&opts, res);
}

static bool desk_route_works(void *ctx)
{
	struct http_res res;
	int status = post(sys.nodes[0].url, "/v1/call/desk/book",
			  "{\"call\":\"up\"}", &res);

	http_free(&res);
	return status == 200;
}

static bool talk_route_works(void *ctx)
{
	struct http_res res;
	int status = post(sys.nodes[0].url, "/v1/generate/talk",
			  "{\"prompt\":[1],\"max_tokens\":1}", &res);

	http_free(&res);
	return status == 200;
}

static uint64_t wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static void note_answer(struct request *r, const struct http_res *res)
{
	size_t from = 0;

	r->took_ms = wall_ms() - r->start_ms;
	r->received = res->len;
	snprintf(r->run, sizeof(r->run), "%s", res->run);
	if (res->len >= sizeof(r->tail))
		from = res->len - sizeof(r->tail) + 1;
	snprintf(r->tail, sizeof(r->tail), "%s",
		 res->body ? res->body + from : "");
}

static void print_requests(const struct request *r)
{
	for (int i = 0; i < REQUESTS; i++) {
		if (r[i].complete)
			continue;
		printf("request %d: %s, status %d, curl %d, %zu bytes, run "
		       "\"%s\", at %llu for %llu ms, ends \"%s\"\n",
		       i, r[i].stream ? "stream" : "call", r[i].status,
		       r[i].curl_code, r[i].received, r[i].run,
		       (unsigned long long)r[i].start_ms,
		       (unsigned long long)r[i].took_ms, r[i].tail);
	}
}

static void *run_request(void *arg)
{
	struct request *r = arg;
	struct http_res res;
	char body[96];

	snprintf(body, sizeof(body), "{\"prompt\":[1,2],\"max_tokens\":%d}",
		 TOKENS);
	r->start_ms = wall_ms();
	if (r->stream)
		r->status =
			post(sys.nodes[0].url, "/v1/generate/talk", body, &res);
	else
		r->status = post(sys.nodes[0].url, "/v1/call/desk/book",
				 "{\"call\":\"slow\"}", &res);
	r->curl_code = res.curl;
	r->complete = r->curl_code == 0 && r->status == 200 && res.body &&
		      (!r->stream || strstr(res.body, "\"end\""));
	note_answer(r, &res);
	http_free(&res);
	return NULL;
}

static int requests_running(void)
{
	char url[128];
	json_t *obj;
	int n;

	snprintf(url, sizeof(url), "%s/admin/status", sys.nodes[0].admin);
	obj = http_json("GET", url, NULL, NULL, NULL);
	n = (int)json_integer_value(json_object_get(obj, "requests"));
	json_decref(obj);
	return n - 1; /* without this status request */
}

/// Slots of the servers as each node sees them.
static void print_slots(void)
{
	for (int i = 0; i < sys.n_nodes; i++) {
		json_t *obj;
		json_t *work;
		char url[128];
		char *text;

		snprintf(url, sizeof(url), "%s/admin/status",
			 sys.nodes[i].admin);
		obj = http_json("GET", url, NULL, NULL, NULL);
		work = json_object_get(obj, "work");
		text = json_dumps(json_object_get(work, "servers"),
				  JSON_COMPACT | JSON_ENCODE_ANY);
		printf("%llu %s: %s\n", (unsigned long long)wall_ms(),
		       sys.nodes[i].id, text ? text : "no status");
		free(text);
		json_decref(obj);
	}
}

static bool all_requests_running(void *ctx)
{
	return requests_running() >= REQUESTS;
}

static void delay_calls(void)
{
	struct http_res res;
	char body[96];

	snprintf(body, sizeof(body),
		 "{\"mode\":\"slow\",\"count\":%d,\"delay_ms\":%d}", CALLS,
		 CALL_DELAY_MS);
	for (int i = 0; i < sys.n_servers; i++) {
		if (sys.servers[i].engine)
			continue;
		assert_int_equal(
			post(sys.servers[i].url, "/fake/fault", body, &res),
			200);
		http_free(&res);
	}
}

/// @return number of complete answers
static int join_requests(struct request *r)
{
	int complete = 0;

	for (int i = 0; i < REQUESTS; i++) {
		pthread_join(r[i].thread, NULL);
		complete += r[i].complete;
	}
	return complete;
}

static void start_requests(struct request *r)
{
	bool running;

	memset(r, 0, REQUESTS * sizeof(*r));
	delay_calls();
	for (int i = 0; i < REQUESTS; i++) {
		r[i].stream = i >= CALLS;
		assert_int_equal(
			pthread_create(&r[i].thread, NULL, run_request, &r[i]),
			0);
	}
	running = wait_until(all_requests_running, NULL, START_TIMEOUT_MS);
	if (!running) {
		printf("requests at the node: %d\n", requests_running());
		print_slots();
		printf("%d of %d complete\n", join_requests(r), REQUESTS);
		print_requests(r);
	}
	assert_true(running);
}

static void sleep_ms(uint64_t ms)
{
	struct timespec ts = {(time_t)(ms / 1000), (long)(ms % 1000) * 1000000};

	nanosleep(&ts, NULL);
}

/// A draining node is not ready and refuses new calls, which do not run.
static void check_drain_refusals(void)
{
	struct http_res res;
	char url[128];

	snprintf(url, sizeof(url), "%s/readyz", sys.nodes[0].url);
	assert_true(sys_wait_status(url, 503, 2000));
	assert_int_equal(post(sys.nodes[0].url, "/v1/call/desk/book",
			      "{\"call\":\"new\"}", &res),
			 503);
	assert_string_equal(res.run, "no");
	assert_non_null(strstr(res.body, "draining"));
	assert_true(res.retry_after >= 1);
	http_free(&res);
}

static int run_count(const char *call)
{
	int runs = 0;

	for (int i = 0; i < sys.n_servers; i++) {
		char url[128];
		json_t *obj;

		if (sys.servers[i].engine)
			continue;
		snprintf(url, sizeof(url), "%s/fake/stats", sys.servers[i].url);
		obj = http_json("GET", url, NULL, NULL, NULL);
		runs += (int)json_integer_value(
			json_object_get(json_object_get(obj, "calls"), call));
		json_decref(obj);
	}
	return runs;
}

static void restart_node(void)
{
	assert_true(sys_node_start(&sys, 0));
	assert_true(wait_until(desk_route_works, NULL, START_TIMEOUT_MS));
	assert_true(wait_until(talk_route_works, NULL, START_TIMEOUT_MS));
}

static void test_sigterm_completes_requests(void **state)
{
	struct rng rng = {20261204};

	for (int round = 0; round < ROUNDS; round++) {
		struct request r[REQUESTS];
		uint64_t term_delay_ms = rng_below(&rng, TERM_DELAY_MAX_MS);
		int status = -1;
		int complete;

		start_requests(r);
		sleep_ms(term_delay_ms);
		proc_signal(&sys.nodes[0].proc, SIGTERM);
		check_drain_refusals();
		complete = join_requests(r);
		printf("round %d: SIGTERM after %d ms, %d of %d complete\n",
		       round, (int)term_delay_ms, complete, REQUESTS);
		if (complete < REQUESTS) {
			print_requests(r);
			print_slots();
		}
		assert_int_equal(complete, REQUESTS);
		assert_true(proc_wait(&sys.nodes[0].proc, START_TIMEOUT_MS,
				      &status));
		assert_int_equal(status, 0);
		restart_node();
	}
	assert_int_equal(run_count("new"), 0);
}

/// Control: the check can fail, as SIGKILL breaks off requests.
static void test_sigkill_breaks_off_requests(void **state)
{
	struct request r[REQUESTS];
	int complete;

	start_requests(r);
	proc_kill(&sys.nodes[0].proc);
	complete = join_requests(r);
	printf("SIGKILL: %d of %d complete\n", complete, REQUESTS);
	assert_true(complete < REQUESTS);
	restart_node();
}

static int start(void **state)
{
	static const char *const engine[] = {
		"--cold", "0", "--slots", "32", "--token-us", "30000", NULL};
	struct sys_opts opts = {
		.domains = 1,
		.nodes_per_domain = 2,
		.engines_per_domain = 1,
		.services_per_domain = 1,
		.engine_args = engine,
	};

	assert_true(sys_start(&sys, &opts));
	assert_true(CTL_RUN_OK(&sys, "route", "add", "desk", "--service",
			       "desk", "--open"));
	assert_true(
		CTL_RUN_OK(&sys, "route", "add", "talk", "--engine", "--open"));
	assert_true(CTL_RUN_OK(&sys, "set", "slot.start", "64"));
	assert_true(wait_until(desk_route_works, NULL, START_TIMEOUT_MS));
	assert_true(wait_until(talk_route_works, NULL, START_TIMEOUT_MS));
	return 0;
}

static int stop(void **state)
{
	sys_stop(&sys);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sigterm_completes_requests),
		cmocka_unit_test(test_sigkill_breaks_off_requests),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
