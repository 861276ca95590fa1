// Intents: a decoded intent carries the reader's epoch; malformed values are
// rejected.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "../src/duty_intent.h"

static void test_decode_replaces_epoch(void **state)
{
	const char *body = "{\"id\":\"a\",\"epoch\":3}";
	char *text =
		duty_intent_encode("/orders", body, strlen(body), 77, true);
	struct duty_intent in;

	assert_true(duty_intent_decode(text, strlen(text), 9, &in));
	assert_string_equal(in.path, "/orders");
	assert_string_equal(in.body, "{\"id\":\"a\",\"epoch\":9}");
	assert_int_equal(in.wall_ms, 77);
	assert_true(in.answered);
	duty_intent_free(&in);
	free(text);
}

static void test_malformed_rejected(void **state)
{
	static const char *const values[] = {
		"",
		"{",
		"null",
		"[]",
		"{\"path\":\"/orders\"}",
		"{\"path\":1,\"order\":{}}",
		"{\"path\":\"/orders\",\"order\":[]}",
	};

	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		struct duty_intent in;

		assert_false(duty_intent_decode(values[i], strlen(values[i]), 1,
						&in));
		duty_intent_free(&in);
	}
	assert_null(duty_intent_encode("/orders", "[1]", 3, 0, false));
}

static void test_order_id(void **state)
{
	static const struct {
		const char *body;
		const char *id; ///< NULL: rejected
	} rows[] = {
		{"{\"id\":\"x-1\"}", "x-1"},
		{"{\"window\":42}", "42"},
		{"{\"id\":\"\"}", NULL},
		{"{\"window\":\"42\"}", NULL},
		{"{}", NULL},
		{"{\"id\":\"0123456789abcdef\"}", NULL},
		{"", NULL},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		char buf[12];
		bool ok = duty_intent_order_id(
			rows[i].body, strlen(rows[i].body), buf, sizeof(buf));

		assert_int_equal(ok, rows[i].id != NULL);
		if (ok)
			assert_string_equal(buf, rows[i].id);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_decode_replaces_epoch),
		cmocka_unit_test(test_malformed_rejected),
		cmocka_unit_test(test_order_id),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
