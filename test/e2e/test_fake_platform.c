// Contract of the fake platform, which the platform clients rely on.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>
#include <jansson.h>

#include "support/addr.h"
#include "support/http.h"
#include "support/proc.h"

enum {
	PORT = 7000,
	START_TIMEOUT_MS = 20000,
};

static struct proc platform;
static char base[64];

/* Make a call; return the status, and an integer field of the answer. */
static int call_for_int(const char *method, const char *path, const char *body,
			const char *field, json_int_t *out)
{
	char url[256];
	int status;
	json_t *j;

	snprintf(url, sizeof(url), "%s%s", base, path);
	j = http_json(method, url, NULL, body, &status);
	if (field)
		*out = json_integer_value(json_object_get(j, field));
	json_decref(j);
	return status;
}

static int call_for_status(const char *method, const char *path,
			   const char *body)
{
	return call_for_int(method, path, body, NULL, NULL);
}

static size_t array_size(const char *path, const char *field)
{
	char url[256];
	json_t *j;
	size_t n;

	snprintf(url, sizeof(url), "%s%s", base, path);
	j = http_json("GET", url, NULL, NULL, NULL);
	n = json_array_size(json_object_get(j, field));
	json_decref(j);
	return n;
}

static void test_compare_and_swap(void **state)
{
	json_int_t rev, current_rev;

	assert_int_equal(call_for_int("PUT", "/kv/a/x",
				      "{\"value\":\"1\",\"prev_rev\":0}", "rev",
				      &rev),
			 200);
	assert_int_equal(call_for_int("PUT", "/kv/a/x",
				      "{\"value\":\"2\",\"prev_rev\":0}", "rev",
				      &current_rev),
			 409);
	assert_int_equal(current_rev, rev);
	assert_int_equal(call_for_status("GET", "/kv/a/y", NULL), 404);
	assert_int_equal(array_size("/kv?prefix=a/", "items"), 1);
	assert_int_equal(
		call_for_status("DELETE", "/kv/a/x?prev_rev=999", NULL), 409);
	assert_int_equal(call_for_status("DELETE", "/kv/a/x", NULL), 200);
	assert_int_equal(call_for_status("DELETE", "/kv/a/x", NULL), 404);
	assert_int_equal(
		array_size("/watch?prefix=a/&after=0&wait_ms=0", "deleted"), 1);
}

static void test_lease_expiry_deletes_keys(void **state)
{
	char body[96];
	json_int_t lease;

	assert_int_equal(call_for_int("POST", "/lease", "{\"ttl_ms\":150}",
				      "lease", &lease),
			 200);
	snprintf(body, sizeof(body),
		 "{\"value\":\"me\",\"prev_rev\":0,\"lease\":%d}", (int)lease);
	assert_int_equal(call_for_status("PUT", "/kv/b/x", body), 200);
	/* A watch after the latest revision returns no items. */
	assert_int_equal(
		array_size("/watch?prefix=b/&after=1000000&wait_ms=1", "items"),
		0);
	while (call_for_status("GET", "/kv/b/x", NULL) == 200) {
		/* Wait for the lease to expire. */
	}
	assert_int_equal(call_for_status("PUT", "/kv/b/x", body), 410);
	snprintf(body, sizeof(body), "/lease/%d/renew", (int)lease);
	assert_int_equal(call_for_status("POST", body, NULL), 404);
}

static void test_write_with_dropped_reply_takes_effect(void **state)
{
	assert_int_equal(
		call_for_status("POST", "/fake/fault",
				"{\"path\":\"/kv\",\"method\":\"PUT\","
				"\"mode\":\"drop_reply\",\"count\":1}"),
		200);
	assert_int_equal(call_for_status("PUT", "/kv/c", "{\"value\":\"1\"}"),
			 0);
	assert_int_equal(call_for_status("GET", "/kv/c", NULL), 200);
	assert_int_equal(call_for_status("POST", "/fake/fault",
					 "{\"path\":\"/kv\",\"mode\":\"error\","
					 "\"count\":-1}"),
			 200);
	assert_int_equal(call_for_status("GET", "/kv/c", NULL), 503);
	assert_int_equal(call_for_status("DELETE", "/fake/fault", NULL), 200);
	assert_int_equal(call_for_status("GET", "/kv/c", NULL), 200);
}

static bool vm_listed(void *ctx)
{
	return array_size("/vms", "vms") == *(size_t *)ctx;
}

static void test_repeated_order_starts_one_server(void **state)
{
	const char *start_order =
		"{\"id\":\"o1\",\"epoch\":1,\"domain\":\"d1\","
		"\"op\":\"start\",\"kind\":\"engine\","
		"\"service\":\"\",\"cheap\":false}";
	const char *stop_order = "{\"id\":\"o2\",\"epoch\":1,\"domain\":\"d1\","
				 "\"op\":\"stop\",\"server\":\"e1\"}";
	size_t one = 1, none = 0;

	assert_int_equal(call_for_status("POST", "/orders", start_order), 503);
	assert_int_equal(
		call_for_status("POST", "/fake/vms",
				"{\"id\":\"e1\",\"addr\":\"127.0.0.1:1\","
				"\"domain\":\"d1\",\"kind\":\"engine\","
				"\"state\":\"spare\"}"),
		200);
	assert_true(vm_listed(&none));
	assert_int_equal(call_for_status("POST", "/orders", start_order), 200);
	assert_int_equal(call_for_status("POST", "/orders", start_order), 200);
	assert_true(wait_until(vm_listed, &one, START_TIMEOUT_MS));
	assert_int_equal(call_for_status("POST", "/orders", stop_order), 200);
	assert_true(wait_until(vm_listed, &none, START_TIMEOUT_MS));
	assert_int_equal(array_size("/fake/log", "log"), 4);
}

static void test_usage_window_refuses_other_figures(void **state)
{
	assert_int_equal(call_for_status("POST", "/usage",
					 "{\"window\":1,\"epoch\":1,"
					 "\"figures\":{\"a\":1}}"),
			 200);
	assert_int_equal(call_for_status("POST", "/usage",
					 "{\"window\":1,\"epoch\":1,"
					 "\"figures\":{\"a\":1}}"),
			 200);
	assert_int_equal(call_for_status("POST", "/usage",
					 "{\"window\":1,\"epoch\":1,"
					 "\"figures\":{\"a\":2}}"),
			 409);
}

static int setup(void **state)
{
	char ip[16], listen[32];
	const char *argv[] = {
		"fake_platform", "--listen", listen,	 "--boot", "50",
		"--leave",	 "50",	     "--vm-lag", "50",	   NULL};

	snprintf(listen, sizeof(listen), "%s:%d", addr_ip(0, ip), PORT);
	snprintf(base, sizeof(base), "http://%s", listen);
	return proc_start(&platform, "platform", argv) &&
			       wait_port(ip, PORT, START_TIMEOUT_MS)
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
		cmocka_unit_test(test_compare_and_swap),
		cmocka_unit_test(test_lease_expiry_deletes_keys),
		cmocka_unit_test(test_write_with_dropped_reply_takes_effect),
		cmocka_unit_test(test_repeated_order_starts_one_server),
		cmocka_unit_test(test_usage_window_refuses_other_figures),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
