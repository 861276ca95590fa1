// Tests of the store's JSON protocol: encoding of requests, decoding of responses.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "../src/platform_wire.h"

struct out_row {
	struct kv_call call;
	const char *method;
	const char *url;
	const char *body;
};

static const struct out_row out_rows[] = {
	{{.op = KV_GET, .key = "a/b"}, "GET", "u/kv/a/b", NULL},
	{{.op = KV_GET, .key = "a b?"}, "GET", "u/kv/a%20b%3F", NULL},
	{{.op = KV_LIST, .key = "a/"}, "GET", "u/kv?prefix=a/", NULL},
	{{.op = KV_PUT, .key = "k", .value = "\"v\"", .len = 3, .rev = 7},
	 "PUT",
	 "u/kv/k",
	 "{\"value\":\"\\\"v\\\"\",\"prev_rev\":7,\"lease\":0}"},
	{{.op = KV_DEL, .key = "k", .rev = 9},
	 "DELETE",
	 "u/kv/k?prev_rev=9",
	 NULL},
	{{.op = KV_WATCH, .key = "d/", .rev = 4, .ms = 50},
	 "GET",
	 "u/watch?prefix=d/&after=4&wait_ms=50",
	 NULL},
	{{.op = KV_GRANT, .ms = 60}, "POST", "u/lease", "{\"ttl_ms\":60}"},
	{{.op = KV_RENEW, .lease = 5}, "POST", "u/lease/5/renew", NULL},
	{{.op = KV_REVOKE, .lease = 5}, "DELETE", "u/lease/5", NULL},
};

static void test_encode_builds_requests(void **state)
{
	for (size_t i = 0; i < sizeof(out_rows) / sizeof(out_rows[0]); i++) {
		const struct out_row *r = &out_rows[i];
		struct kv_wire_req req;
		struct arena a;

		arena_init(&a, 0);
		assert_int_equal(kv_wire_json.encode(&r->call, "u", &a, &req),
				 ERR_OK);
		assert_string_equal(req.method, r->method);
		assert_string_equal(req.url, r->url);
		if (r->body)
			assert_string_equal(req.body, r->body);
		else
			assert_null(req.body);
		arena_free(&a);
	}
}

struct in_row {
	enum kv_op op;
	int status;
	const char *body;
	enum err err;
	uint64_t rev;
	size_t n_items;
};

static const struct in_row in_rows[] = {
	{KV_GET, 200, "{\"key\":\"k\",\"value\":\"v\",\"rev\":3}", ERR_OK, 3,
	 1},
	{KV_GET, 404, "{\"rev\":9}", ERR_NOT_FOUND, 9, 0},
	{KV_GET, 200, "{\"key\":\"k\",\"rev\":3}", ERR_KV_UNKNOWN, 0, 0},
	{KV_GET, 200, "{\"key\":\"k\"", ERR_KV_UNKNOWN, 0, 0},
	{KV_GET, 200, "", ERR_KV_UNKNOWN, 0, 0},
	{KV_LIST, 200, "{\"items\":[],\"rev\":2}", ERR_OK, 2, 0},
	{KV_LIST, 200, "{\"items\":[1],\"rev\":2}", ERR_KV_UNKNOWN, 0, 0},
	{KV_LIST, 200, "{\"rev\":2}", ERR_KV_UNKNOWN, 0, 0},
	{KV_PUT, 200, "{\"rev\":5}", ERR_OK, 5, 0},
	{KV_PUT, 200, "{}", ERR_KV_UNKNOWN, 0, 0},
	{KV_PUT, 409, "{\"rev\":5}", ERR_KV_CONFLICT, 5, 0},
	{KV_PUT, 410, "{}", ERR_KV_LEASE, 0, 0},
	{KV_PUT, 413, "", ERR_TOO_LARGE, 0, 0},
	{KV_PUT, 503, "", ERR_KV_UNKNOWN, 0, 0},
	{KV_PUT, 302, "", ERR_KV_UNKNOWN, 0, 0},
	{KV_WATCH, 200, "{\"items\":[],\"deleted\":[\"k\"],\"rev\":2}", ERR_OK,
	 2, 0},
	{KV_WATCH, 200, "{\"items\":[],\"deleted\":[1],\"rev\":2}",
	 ERR_KV_UNKNOWN, 0, 0},
	{KV_GRANT, 200, "{\"lease\":4,\"ttl_ms\":10}", ERR_OK, 0, 0},
	{KV_GRANT, 200, "{\"ttl_ms\":10}", ERR_KV_UNKNOWN, 0, 0},
	{KV_RENEW, 404, "{}", ERR_NOT_FOUND, 0, 0},
	{KV_RENEW, 200, "{\"ttl_ms\":10}", ERR_OK, 0, 0},
	{KV_REVOKE, 200, "{}", ERR_OK, 0, 0},
};

static void test_decode_maps_responses(void **state)
{
	for (size_t i = 0; i < sizeof(in_rows) / sizeof(in_rows[0]); i++) {
		const struct in_row *r = &in_rows[i];
		const struct kv_call call = {.op = r->op};
		struct kv_result res;
		struct arena a;

		arena_init(&a, 0);
		kv_wire_json.decode(&call, r->status, r->body, strlen(r->body),
				    &a, &res);
		assert_int_equal(res.err, r->err);
		assert_int_equal(res.rev, r->rev);
		assert_int_equal(res.n_items, r->n_items);
		arena_free(&a);
	}
}

static void test_decode_keeps_values_with_nul(void **state)
{
	const char *body = "{\"items\":[{\"key\":\"a\",\"value\":\"x\\u0000y\","
			   "\"rev\":1}],\"deleted\":[\"b\"],\"rev\":2}";
	const struct kv_call call = {.op = KV_WATCH};
	struct kv_result res;
	struct arena a;

	arena_init(&a, 0);
	kv_wire_json.decode(&call, 200, body, strlen(body), &a, &res);
	assert_int_equal(res.items[0].len, 3);
	assert_memory_equal(res.items[0].value, "x\0y", 4);
	assert_string_equal(res.deleted[0], "b");
	arena_free(&a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_encode_builds_requests),
		cmocka_unit_test(test_decode_maps_responses),
		cmocka_unit_test(test_decode_keeps_values_with_nul),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
