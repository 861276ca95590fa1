// The event loop with its real I/O edges: requests, streamed answers, outgoing
// requests, peer messages.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <jansson.h>

#include "node.h"
#include "support/http.h"
#include "support/proc.h"

enum {
	WAIT_MS = 10000,
	CHUNKS = 200,
};

static const enum core_peer_msg TEST_MSG = (enum core_peer_msg)1;
static struct node a, b;
static atomic_int n_received;
static atomic_int n_aborts;
static char last_received[64];

static void on_echo(struct core *c, struct core_req *r, void *ctx)
{
	json_t *obj = json_pack(
		"{s:s,s:s?,s:s?,s:s?,s:s%}", "path", r->path, "bearer",
		r->bearer, "authorization", core_req_header(r, "Authorization"),
		"q", core_req_query(r, "q"), "body", r->body, r->body_len);

	core_reply_header(c, r->h, "X-Test", "yes");
	core_reply_json(c, r->h, 200, obj);
}

struct streamer {
	htab_handle h;
	int sent;
};

static struct streamer streamer;

static void on_stream(struct core *c, struct core_req *r, void *ctx)
{
	streamer = (struct streamer){.h = r->h};
	core_stream_begin(c, r->h, 200, "text/plain");
}

static void on_tick(struct core *c, void *state, int64_t now_ms)
{
	char line[32];

	for (int i = 0; i < 20 && streamer.sent < CHUNKS; i++) {
		snprintf(line, sizeof(line), "line %d\n", streamer.sent);
		if (core_stream_write(c, streamer.h, line, strlen(line)) !=
		    ERR_OK)
			return;
		if (++streamer.sent == CHUNKS)
			core_stream_end(c, streamer.h, true);
	}
}

static void fetch_done(struct core *c, void *ctx,
		       const struct core_fetch_result *res)
{
	htab_handle h = (htab_handle)(uintptr_t)ctx;

	core_reply_json(c, h, 200,
			json_pack("{s:s,s:b,s:i,s:s%}", "err",
				  err_code(res->err), "sent", (int)res->sent,
				  "status", res->status, "body",
				  res->body ? res->body : "", res->body_len));
}

/// Fetches the URL in the body of the request.
static void on_fetch(struct core *c, struct core_req *r, void *ctx)
{
	const char *headers[] = {"X-Hop: 1", NULL};
	struct core_fetch_opts opts = {
		.method = "GET",
		.url = r->body,
		.headers = headers,
		.timeout_ms = 2000,
		.trace = &r->span.ctx,
		.on_done = fetch_done,
		.ctx = (void *)(uintptr_t)r->h,
	};

	if (core_fetch(c, &opts, NULL) != ERR_OK)
		core_reply_err(c, r->h, ERR_FULL, RUN_NO, 1500, "no call");
}

static void on_msg(struct core *c, void *ctx, const char *from, const void *buf,
		   size_t len)
{
	snprintf(last_received, sizeof(last_received), "%s:%.*s", from,
		 (int)len, (const char *)buf);
	atomic_fetch_add(&n_received, 1);
}

static void on_send(struct core *c, struct core_req *r, void *ctx)
{
	enum err e = core_peer_add(c, "b", b.peer);

	if (e == ERR_OK)
		e = core_peer_send(c, "b", TEST_MSG, r->body, r->body_len);
	core_reply_json(c, r->h, 200, json_pack("{s:s}", "err", err_code(e)));
}

static void hang_abort(struct core *c, struct core_req *r, void *user)
{
	atomic_fetch_add(&n_aborts, 1);
}

static void on_hang(struct core *c, struct core_req *r, void *ctx)
{
	r->on_abort = hang_abort;
}

static enum err test_start(struct core *c, void **state)
{
	static const struct core_route_opts routes[] = {
		{CORE_LISTENER_PUBLIC, NULL, "/echo", on_echo, NULL},
		{CORE_LISTENER_PUBLIC, "GET", "/stream", on_stream, NULL},
		{CORE_LISTENER_PUBLIC, "POST", "/fetch", on_fetch, NULL},
		{CORE_LISTENER_PUBLIC, "POST", "/send", on_send, NULL},
		{CORE_LISTENER_PUBLIC, "GET", "/hang", on_hang, NULL},
	};

	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++)
		core_route(c, &routes[i]);
	return core_peer_on(c, TEST_MSG, on_msg, NULL);
}

static const struct core_mod_ops mod_a = {
	.name = "test",
	.start = test_start,
	.tick = on_tick,
};

static const struct core_mod_ops mod_b = {
	.name = "test",
	.start = test_start,
};

static json_t *call(const char *method, const char *path, const char *body)
{
	char url[128];
	int status;
	json_t *obj;

	snprintf(url, sizeof(url), "%s%s", a.url, path);
	obj = http_json(method, url, "secret", body, &status);
	assert_int_equal(status, 200);
	assert_non_null(obj);
	return obj;
}

static const char *text(json_t *obj, const char *key)
{
	const char *s = json_string_value(json_object_get(obj, key));

	return s ? s : "(none)";
}

static void test_request(void **state)
{
	json_t *obj = call("POST", "/echo/x%2Fy?q=a%20b", "hello");

	assert_string_equal(text(obj, "path"), "/echo/x%2Fy");
	assert_string_equal(text(obj, "q"), "a b");
	assert_string_equal(text(obj, "body"), "hello");
	assert_string_equal(text(obj, "bearer"), "secret");
	assert_string_equal(text(obj, "authorization"), "(none)");
	json_decref(obj);
}

static void test_unknown_path(void **state)
{
	struct http_opts opts = {.method = "GET"};
	struct http_res res;
	char url[128];

	snprintf(url, sizeof(url), "%s/nothing", a.url);
	opts.url = url;
	assert_int_equal(http_call(&opts, &res), 404);
	assert_string_equal(res.run, "no");
	assert_non_null(strstr(res.body, "no-such-path"));
	http_free(&res);
}

static void test_stream(void **state)
{
	struct http_opts opts = {.method = "GET"};
	struct http_res res;
	char url[128];

	snprintf(url, sizeof(url), "%s/stream", a.url);
	opts.url = url;
	assert_int_equal(http_call(&opts, &res), 200);
	assert_int_equal(res.curl, 0);
	assert_non_null(strstr(res.body, "line 0\n"));
	assert_non_null(strstr(res.body, "line 199\n"));
	http_free(&res);
}

static void test_fetch(void **state)
{
	char url[128];
	json_t *obj;

	snprintf(url, sizeof(url), "%s/echo", b.url);
	obj = call("POST", "/fetch", url);
	assert_string_equal(text(obj, "err"), "ok");
	assert_true(json_is_true(json_object_get(obj, "sent")));
	assert_non_null(strstr(text(obj, "body"), "/echo"));
	json_decref(obj);
}

static void test_fetch_connection_refused(void **state)
{
	char url[128];
	json_t *obj;

	snprintf(url, sizeof(url), "http://%s:9999/", b.ip);
	obj = call("POST", "/fetch", url);
	assert_string_equal(text(obj, "err"), "connect-failed");
	assert_true(json_is_false(json_object_get(obj, "sent")));
	json_decref(obj);
}

static bool msg_received(void *ctx)
{
	json_t *obj = call("POST", "/send", "\xa4ping");

	json_decref(obj);
	return atomic_load(&n_received) > 0;
}

static void test_peer(void **state)
{
	assert_true(wait_until(msg_received, NULL, WAIT_MS));
	assert_string_equal(last_received, "a:\xa4ping");
}

static bool abort_reported(void *ctx)
{
	return atomic_load(&n_aborts) > 0;
}

static void test_abort(void **state)
{
	struct http_opts opts = {.method = "GET", .timeout_ms = 200};
	struct http_res res;
	char url[128];

	snprintf(url, sizeof(url), "%s/hang", a.url);
	opts.url = url;
	assert_int_equal(http_call(&opts, &res), 0);
	http_free(&res);
	assert_true(wait_until(abort_reported, NULL, WAIT_MS));
}

static void test_status(void **state)
{
	char url[128];
	int status;
	json_t *obj;

	snprintf(url, sizeof(url), "%s/admin/status", a.admin);
	obj = http_json("GET", url, NULL, NULL, &status);
	assert_int_equal(status, 200);
	assert_string_equal(text(obj, "node"), "a");
	assert_int_equal(strlen(text(obj, "incarnation")), 16);
	json_decref(obj);
}

static int setup(void **state)
{
	return node_start(&a, 0, "a", &mod_a, NULL) &&
			       node_start(&b, 1, "b", &mod_b, NULL)
		       ? 0
		       : -1;
}

static int teardown(void **state)
{
	node_stop(&a);
	node_stop(&b);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request),
		cmocka_unit_test(test_unknown_path),
		cmocka_unit_test(test_stream),
		cmocka_unit_test(test_fetch),
		cmocka_unit_test(test_fetch_connection_refused),
		cmocka_unit_test(test_peer),
		cmocka_unit_test(test_abort),
		cmocka_unit_test(test_status),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
