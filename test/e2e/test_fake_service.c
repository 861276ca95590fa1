// The fake service detects a caller's key in headers and in the body, so tests
// that assert on its keys_seen counter can fail.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>
#include <jansson.h>

#include "support/http.h"
#include "support/sys.h"

static struct sys sys;

static const char sample_key[] =
	"ck_abcdefghijkl_0123456789abcdefghijklmnopqrstuvwxyz0123456";

static int keys_seen(void)
{
	char url[96];
	json_t *j;
	int n;

	snprintf(url, sizeof(url), "%s/fake/stats", sys.servers[0].url);
	j = http_json("GET", url, NULL, NULL, NULL);
	n = (int)json_integer_value(json_object_get(j, "keys_seen"));
	json_decref(j);
	return n;
}

static int book(const char *bearer, const char *header, const char *body)
{
	char url[96];
	const char *headers[] = {header, NULL};
	struct http_opts o = {
		.method = "POST",
		.url = url,
		.bearer = bearer,
		.headers = headers,
		.body = body,
	};
	struct http_res res;
	int status;

	snprintf(url, sizeof(url), "%s/book", sys.servers[0].url);
	status = http_call(&o, &res);
	http_free(&res);
	return status;
}

static void test_caller_keys_counted(void **state)
{
	char body[128];

	assert_int_equal(book(NULL, NULL, "{\"call\":\"plain\"}"), 200);
	assert_int_equal(keys_seen(), 0);
	assert_int_equal(book("secret", NULL, "{\"call\":\"a\"}"), 500);
	assert_int_equal(keys_seen(), 1);
	assert_int_equal(book(NULL, "Idempotency-Key: k", "{\"call\":\"b\"}"),
			 500);
	assert_int_equal(keys_seen(), 2);
	snprintf(body, sizeof(body), "{\"call\":\"%s\"}", sample_key);
	assert_int_equal(book(NULL, NULL, body), 500);
	assert_int_equal(keys_seen(), 3);
}

static int start(void **state)
{
	const struct sys_opts o = {
		.domains = 1,
		.nodes_per_domain = 1,
		.services_per_domain = 1,
	};

	return sys_start(&sys, &o) ? 0 : -1;
}

static int stop(void **state)
{
	sys_stop(&sys);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_caller_keys_counted),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
