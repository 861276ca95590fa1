// Contract of the fake engine: the engine part of docs/PROTOCOLS.md.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>
#include <jansson.h>
#include <pthread.h>
#include <unistd.h>

#include "support/addr.h"
#include "support/http.h"
#include "support/proc.h"

enum {
	PORT = 9000,
	START_TIMEOUT_MS = 20000,
	STREAMS = 3,
};

struct engine {
	struct proc proc;
	char url[64];
};

struct answer {
	json_t *tokens;
	char finish[16];
};

static void engine_start(struct engine *e, int n, const char *cold)
{
	char ip[16];
	char listen[32];
	const char *argv[] = {"fake_engine", "--listen",   listen, "--id",
			      "e",	     "--domain",   "d1",   "--cold",
			      cold,	     "--token-us", "2000", NULL};

	addr_ip(n, ip);
	snprintf(listen, sizeof(listen), "%s:%d", ip, PORT);
	snprintf(e->url, sizeof(e->url), "http://%s", listen);
	assert_true(proc_start(&e->proc, "engine", argv));
	assert_true(wait_port(ip, PORT, START_TIMEOUT_MS));
}

static int post(const struct engine *e, const char *path, const char *body,
		const char *key, struct http_res *res)
{
	char url[128];
	struct http_opts o = {
		.method = "POST",
		.url = url,
		.bearer = key,
		.body = body,
	};

	snprintf(url, sizeof(url), "%s%s", e->url, path);
	return http_call(&o, res);
}

static int post_status(const struct engine *e, const char *path,
		       const char *body)
{
	struct http_res res;
	int status = post(e, path, body, NULL, &res);

	http_free(&res);
	return status;
}

static json_int_t engine_stat(const struct engine *e, const char *name)
{
	char url[128];
	json_int_t v;
	json_t *st;

	snprintf(url, sizeof(url), "%s/fake/stats", e->url);
	st = http_json("GET", url, NULL, NULL, NULL);
	v = json_integer_value(json_object_get(st, name));
	json_decref(st);
	return v;
}

static struct answer generate(const struct engine *e, const char *body)
{
	struct answer a = {json_array(), ""};
	struct http_res res;
	char *save = NULL;

	post(e, "/v1/generate", body, NULL, &res);
	for (char *line = strtok_r(res.body, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save)) {
		json_t *obj = json_loads(line, 0, NULL);
		const char *finish =
			json_string_value(json_object_get(obj, "finish"));

		json_array_extend(a.tokens, json_object_get(obj, "tokens"));
		if (finish)
			snprintf(a.finish, sizeof(a.finish), "%s", finish);
		json_decref(obj);
	}
	http_free(&res);
	return a;
}

/* A resumed generation has the same tokens as an uninterrupted one. */
static void test_resumed_tokens_match(void **state)
{
	struct engine e;
	struct answer full;
	struct answer resumed;

	engine_start(&e, 1, "0");
	full = generate(&e, "{\"id\":\"a\",\"prompt\":[1,2],\"seed\":7,"
			    "\"max_tokens\":8}");
	resumed = generate(&e, "{\"id\":\"b\",\"prompt\":[1,2],\"seed\":7,"
			       "\"max_tokens\":8,\"resume\":[1,1,1]}");
	assert_string_equal(full.finish, "length");
	assert_int_equal(json_array_size(full.tokens), 8);
	assert_int_equal(json_array_size(resumed.tokens), 5);
	for (size_t i = 0; i < 5; i++)
		assert_true(json_equal(json_array_get(resumed.tokens, i),
				       json_array_get(full.tokens, i + 3)));
	json_decref(full.tokens);
	json_decref(resumed.tokens);
	proc_kill(&e.proc);
}

static void test_old_epoch_refused(void **state)
{
	struct engine e;

	engine_start(&e, 2, "0");
	assert_int_equal(
		post_status(&e, "/v1/weights", "{\"version\":2,\"epoch\":5}"),
		202);
	assert_int_equal(
		post_status(&e, "/v1/weights", "{\"version\":1,\"epoch\":4}"),
		409);
	assert_int_equal(engine_stat(&e, "orders_stale"), 1);
	proc_kill(&e.proc);
}

static void *generate_long(void *arg)
{
	struct answer a = generate(arg, "{\"id\":\"c\",\"prompt\":[3],"
					"\"seed\":1,\"max_tokens\":9999}");

	json_decref(a.tokens);
	return NULL;
}

/* A cold engine can run one stream; more make it drop all of them. */
static void test_overloaded_cold_engine_drops_streams(void **state)
{
	struct engine e;
	pthread_t t[STREAMS];

	engine_start(&e, 3, "1");
	for (int i = 0; i < STREAMS; i++)
		assert_int_equal(pthread_create(&t[i], NULL, generate_long, &e),
				 0);
	for (int i = 0; i < STREAMS; i++)
		pthread_join(t[i], NULL);
	for (int i = 0; i < 100 && engine_stat(&e, "capacity") == 0; i++)
		usleep(50000);
	assert_true(engine_stat(&e, "falls") > 0);
	proc_kill(&e.proc);
}

static void test_caller_key_fails_later_requests(void **state)
{
	struct engine e;
	struct http_res res;

	engine_start(&e, 4, "0");
	assert_int_equal(post(&e, "/v1/cancel", "{\"id\":\"x\"}", "k", &res),
			 500);
	http_free(&res);
	assert_int_equal(post_status(&e, "/v1/cancel", "{\"id\":\"x\"}"), 500);
	assert_int_equal(engine_stat(&e, "key_leaks"), 1);
	proc_kill(&e.proc);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_resumed_tokens_match),
		cmocka_unit_test(test_old_epoch_refused),
		cmocka_unit_test(test_overloaded_cold_engine_drops_streams),
		cmocka_unit_test(test_caller_key_fails_later_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
