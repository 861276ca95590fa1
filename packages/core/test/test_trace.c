// One span for each hop: traceparent is parsed on arrival and sent on outgoing
// requests.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>
#include <jansson.h>

#include "node.h"
#include "support/http.h"

enum {
	SPANS_MAX = 8,
};

static const char trace_id[] = "0af7651916cd43dd8448eb211c80319c";
static const char caller_span[] = "b7ad6b7169203331";

static struct node node;
static char path[256];

static void test_parse(void **state)
{
	static const char *const bad[] = {
		NULL,
		"",
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
		"00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
		"00-00000000000000000000000000000000-b7ad6b7169203331-01",
		"00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01x",
		"xx-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
	};
	static const char good[] =
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";
	char buf[TRACE_PARENT_LEN + 1];
	struct trace_ctx ctx;

	assert_true(trace_parse(&ctx, good));
	assert_false(ctx.sampled);
	trace_format(&ctx, buf);
	assert_string_equal(buf, good);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		assert_false(trace_parse(&ctx, bad[i]));
		assert_true(ctx.sampled);
	}
}

static void on_inner(struct core *c, struct core_req *r, void *ctx)
{
	const char *parent = core_req_header(r, "traceparent");

	core_reply(c, r->h, 200, "text/plain", parent, strlen(parent));
}

static void outer_done(struct core *c, void *ctx,
		       const struct core_fetch_result *res)
{
	core_reply(c, (htab_handle)(uintptr_t)ctx, 200, "text/plain", res->body,
		   res->body_len);
}

static void on_outer(struct core *c, struct core_req *r, void *ctx)
{
	char url[128];
	struct core_fetch_opts opts = {
		.method = "GET",
		.url = url,
		.trace = &r->span.ctx,
		.on_done = outer_done,
		.ctx = (void *)(uintptr_t)r->h,
	};

	snprintf(url, sizeof(url), "%s/inner", node.url);
	assert_int_equal(core_fetch(c, &opts, NULL), ERR_OK);
}

static enum err trace_start(struct core *c, void **state)
{
	static const struct core_route_opts routes[] = {
		{CORE_LISTENER_PUBLIC, "GET", "/outer", on_outer, NULL},
		{CORE_LISTENER_PUBLIC, "GET", "/inner", on_inner, NULL},
	};

	core_route(c, &routes[0]);
	return core_route(c, &routes[1]);
}

static const struct core_mod_ops mod = {.name = "t", .start = trace_start};

static int read_spans(json_t **spans)
{
	FILE *f = fopen(path, "r");
	char line[1024];
	int n = 0;

	assert_non_null(f);
	while (n < SPANS_MAX && fgets(line, sizeof(line), f)) {
		spans[n] = json_loads(line, 0, NULL);
		assert_non_null(spans[n++]);
	}
	fclose(f);
	unlink(path);
	return n;
}

static const char *text(json_t *span, const char *key)
{
	return json_string_value(json_object_get(span, key));
}

/// Find the span with a name and parent.
static json_t *find_span(json_t **spans, int n, const char *name,
			 const char *parent)
{
	for (int i = 0; i < n; i++) {
		if (strcmp(text(spans[i], "name"), name) == 0 &&
		    strcmp(text(spans[i], "parent"), parent) == 0)
			return spans[i];
	}
	fail_msg("no span %s below %s", name, parent);
	return NULL;
}

/// The spans caller -> request -> fetch -> request form one trace.
static void test_chain(void **state)
{
	char url[128], header[128];
	const char *headers[] = {header, NULL};
	struct http_opts opts = {
		.method = "GET",
		.url = url,
		.headers = headers,
	};
	struct http_res res;
	json_t *spans[SPANS_MAX];
	json_t *span;
	int n;

	snprintf(url, sizeof(url), "%s/outer", node.url);
	snprintf(header, sizeof(header), "traceparent: 00-%s-%s-01", trace_id,
		 caller_span);
	assert_int_equal(http_call(&opts, &res), 200);
	node_stop(&node);
	trace_close();
	n = read_spans(spans);
	assert_int_equal(n, 3);
	span = find_span(spans, n, "request", caller_span);
	span = find_span(spans, n, "fetch", text(span, "span"));
	/* The next hop received the fetch span as its parent. */
	assert_non_null(strstr(res.body, text(span, "span")));
	find_span(spans, n, "request", text(span, "span"));
	for (int i = 0; i < n; i++) {
		assert_string_equal(text(spans[i], "trace"), trace_id);
		assert_string_equal(text(spans[i], "status"), "ok");
		json_decref(spans[i]);
	}
	http_free(&res);
}

static int start(void **state)
{
	const char *dir = getenv("TMPDIR");

	snprintf(path, sizeof(path), "%s/catkin-spans-%d", dir ? dir : "/tmp",
		 (int)getpid());
	return trace_open(path) && node_start(&node, 0, "a", &mod, NULL) ? 0
									 : -1;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_parse),
		cmocka_unit_test(test_chain),
	};

	return cmocka_run_group_tests(tests, start, NULL);
}
