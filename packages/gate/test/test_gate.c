// The gate against a fake platform: orders are sent before the deadline, and
// none after it.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <cmocka.h>
#include <curl/curl.h>
#include <jansson.h>

#include "base/clock.h"
#include "gate/gate.h"
#include "support/addr.h"
#include "support/cut_server.h"
#include "support/http.h"
#include "support/proc.h"

enum {
	PORT = 7000,
	CUT_PORT = 7001,
	WAIT_TIMEOUT_MS = 20000,
	SHORT_MS = 1500,
	LONG_MS = 60000,
};

static struct proc platform;
static char base_url[64];

static struct gate *open_gate(const char *url, int64_t deadline_ms)
{
	const struct gate_opts opts = {
		.url = url,
		.deadline_ms = deadline_ms,
		.connect_timeout_ms = LONG_MS,
		.timeout_ms = LONG_MS,
		.user_timeout_ms = 1000,
	};
	struct gate *g = NULL;

	assert_int_equal(gate_open(&opts, &g), ERR_OK);
	return g;
}

static enum err send_usage(struct gate *g, uint64_t tag)
{
	char body[96];
	const struct gate_order o = {
		.tag = tag,
		.path = "/usage",
		.body = body,
		.len = (size_t)snprintf(body, sizeof(body),
					"{\"window\":%d,\"epoch\":1,"
					"\"figures\":{}}",
					(int)tag),
	};

	return gate_send(g, &o);
}

struct waiter {
	struct gate *gate;
	struct gate_reply reply;
};

static bool replied(void *ctx)
{
	struct waiter *w = ctx;

	return gate_reply(w->gate, &w->reply);
}

static struct gate_reply wait_reply(struct gate *g)
{
	struct waiter w = {.gate = g};

	assert_true(wait_until(replied, &w, WAIT_TIMEOUT_MS));
	free(w.reply.body);
	return w.reply;
}

static bool ended(void *ctx)
{
	return gate_ended(ctx);
}

static int fake_request(const char *method, const char *path, const char *body)
{
	char url[128];
	int status;

	snprintf(url, sizeof(url), "%s%s", base_url, path);
	json_decref(http_json(method, url, NULL, body, &status));
	return status;
}

/* Whether the fake platform received a usage report of this window. */
static bool was_reported(int window)
{
	char url[128];
	json_t *j, *row;
	size_t i;
	bool found = false;

	snprintf(url, sizeof(url), "%s/fake/log", base_url);
	j = http_json("GET", url, NULL, NULL, NULL);
	json_array_foreach(json_object_get(j, "log"), i, row) {
		json_t *w = json_object_get(row, "window");

		found |= json_integer_value(w) == window;
	}
	json_decref(j);
	return found;
}

static void test_sends_while_open(void **state)
{
	struct gate *g = open_gate(base_url, clock_now_ms() + LONG_MS);
	struct gate_reply r;

	assert_int_equal(send_usage(g, 1), ERR_OK);
	r = wait_reply(g);
	assert_int_equal(r.err, ERR_OK);
	assert_int_equal(r.status, 200);
	assert_int_equal(r.tag, 1);
	assert_true(was_reported(1));
	gate_free(g);
}

static void test_closes_at_deadline(void **state)
{
	struct gate *g = open_gate(base_url, clock_now_ms() + 50);

	assert_true(wait_until(ended, g, WAIT_TIMEOUT_MS));
	assert_int_equal(send_usage(g, 2), ERR_CLOSED);
	gate_free(g);
	assert_false(was_reported(2));
}

static void test_extend_moves_deadline(void **state)
{
	int64_t start = clock_now_ms();
	struct gate *g = open_gate(base_url, start + SHORT_MS);
	const struct timespec poll_interval = {0, 20000000};

	gate_extend(g, start + LONG_MS);
	gate_extend(g, start);
	while (clock_now_ms() < start + SHORT_MS + 100)
		nanosleep(&poll_interval, NULL);
	assert_int_equal(send_usage(g, 3), ERR_OK);
	assert_int_equal(wait_reply(g).err, ERR_OK);
	gate_free(g);
}

/* An order in flight when the gate closes is returned at once. */
static void test_close_returns_running_order(void **state)
{
	struct gate *g = open_gate(base_url, clock_now_ms() + SHORT_MS);
	int64_t start = clock_now_ms();
	struct gate_reply r;

	fake_request("POST", "/fake/fault",
		     "{\"path\":\"/usage\",\"mode\":\"hang\",\"count\":-1}");
	assert_int_equal(send_usage(g, 4), ERR_OK);
	assert_int_equal(send_usage(g, 5), ERR_OK);
	r = wait_reply(g);
	assert_int_equal(r.err, ERR_CLOSED);
	assert_int_equal(r.status, 0);
	assert_true(r.sent);
	r = wait_reply(g);
	assert_int_equal(r.err, ERR_CLOSED);
	assert_false(r.sent);
	assert_true(clock_now_ms() - start < LONG_MS / 2);
	fake_request("DELETE", "/fake/fault", NULL);
	gate_free(g);
	assert_false(was_reported(5));
}

static void test_lost_reply_or_refused_connect_times_out(void **state)
{
	struct gate *g = open_gate(base_url, clock_now_ms() + LONG_MS);
	struct gate_reply r;

	fake_request(
		"POST", "/fake/fault",
		"{\"path\":\"/usage\",\"mode\":\"drop_reply\",\"count\":1}");
	assert_int_equal(send_usage(g, 6), ERR_OK);
	r = wait_reply(g);
	assert_int_equal(r.err, ERR_TIMEOUT);
	assert_true(r.sent);
	assert_true(was_reported(6));
	gate_free(g);
	g = open_gate("http://127.0.0.1:1", clock_now_ms() + LONG_MS);
	assert_int_equal(send_usage(g, 7), ERR_OK);
	r = wait_reply(g);
	assert_int_equal(r.err, ERR_TIMEOUT);
	assert_false(r.sent);
	gate_free(g);
}

static void test_outstanding_orders_limited(void **state)
{
	struct gate *g = open_gate(base_url, clock_now_ms() + LONG_MS);

	fake_request("POST", "/fake/fault",
		     "{\"path\":\"/usage\",\"mode\":\"hang\",\"count\":-1}");
	for (int i = 0; i < GATE_ORDERS_MAX; i++)
		assert_int_equal(send_usage(g, 100), ERR_OK);
	assert_int_equal(send_usage(g, 100), ERR_FULL);
	gate_close(g);
	for (int i = 0; i < GATE_ORDERS_MAX; i++)
		assert_int_equal(wait_reply(g).err, ERR_CLOSED);
	fake_request("DELETE", "/fake/fault", NULL);
	gate_free(g);
}

/* Answers. The line end behind the last, empty chunk may lack its last byte: libcurl has
 * seen the body's end by then. */
static const struct {
	const char *text;
	int spare; ///< bytes that a whole one may lack at its end; -1: its end is unknown
} answers[] = {
	{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{ } ", 0},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	 "4\r\n{ } \r\n0\r\n\r\n",
	 1},
	{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n", 0},
	{"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n{ } ", -1},
};

/* Cuts of an answer that were taken for whole, and whole ones that were not. */
static int misjudged(struct gate *g, struct cut_server *s, const char *text,
		     int spare)
{
	size_t len = strlen(text);
	int wrong = 0;

	for (size_t n = 0; n <= len; n++) {
		bool whole = spare >= 0 && n + (size_t)spare >= len;
		struct gate_reply r;

		cut_server_set(s, text, n);
		assert_int_equal(send_usage(g, n), ERR_OK);
		r = wait_reply(g);
		assert_true(r.sent);
		if ((r.err == ERR_OK) == whole && (r.status != 0) == whole)
			continue;
		wrong++;
		print_message("%zu of %zu bytes: %s, status %d: %s\n", n, len,
			      err_code(r.err), r.status, text);
	}
	return wrong;
}

static void test_cut_answer_not_taken_for_whole(void **state)
{
	char ip[16], url[64];
	struct cut_server *s = cut_server_start(addr_ip(1, ip), CUT_PORT);
	struct gate *g;
	int wrong = 0;

	assert_non_null(s);
	snprintf(url, sizeof(url), "http://%s:%d", ip, CUT_PORT);
	g = open_gate(url, clock_now_ms() + LONG_MS);
	for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++)
		wrong += misjudged(g, s, answers[i].text, answers[i].spare);
	gate_free(g);
	print_message("%d of %d wrong\n", wrong, cut_server_requests(s));
	cut_server_stop(s);
	assert_int_equal(wrong, 0);
}

static int setup(void **state)
{
	char ip[16], listen[32];
	const char *argv[] = {"fake_platform", "--listen", listen, NULL};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	snprintf(listen, sizeof(listen), "%s:%d", addr_ip(0, ip), PORT);
	snprintf(base_url, sizeof(base_url), "http://%s", listen);
	return proc_start(&platform, "platform", argv) &&
			       wait_port(ip, PORT, WAIT_TIMEOUT_MS)
		       ? 0
		       : -1;
}

static int teardown(void **state)
{
	proc_kill(&platform);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sends_while_open),
		cmocka_unit_test(test_closes_at_deadline),
		cmocka_unit_test(test_extend_moves_deadline),
		cmocka_unit_test(test_close_returns_running_order),
		cmocka_unit_test(test_lost_reply_or_refused_connect_times_out),
		cmocka_unit_test(test_outstanding_orders_limited),
		cmocka_unit_test(test_cut_answer_not_taken_for_whole),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
