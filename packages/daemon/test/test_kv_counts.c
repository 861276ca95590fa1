// Counts of store calls by operation and key prefix.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "kv_counts.h"

static void test_calls_counted_by_prefix(void **state)
{
	struct kv_counts n = {.n = 0};
	char text[KV_COUNTS_TEXT_SIZE];

	kv_counts_add(&n, KV_PUT, "catkin/record/b1/00000001");
	kv_counts_add(&n, KV_PUT, "catkin/record/b2/00000001");
	kv_counts_add(&n, KV_WATCH, "servers/");
	kv_counts_add(&n, KV_RENEW, NULL);
	kv_counts_format(&n, text);
	assert_string_equal(text,
			    "put:catkin/record=2,watch:servers=1,renew:=1");
	assert_int_equal(kv_counts_sum(&n, KV_PUT), 2);
	assert_int_equal(kv_counts_sum(&n, KV_GET), 0);
}

/* When the table is full, calls count as "other" and in their operation's sum. */
static void test_full_table_counts_as_other(void **state)
{
	struct kv_counts n = {.n = 0};
	char text[KV_COUNTS_TEXT_SIZE];

	for (int i = 0; i < 100; i++) {
		char key[32];

		snprintf(key, sizeof(key), "p%d/x", i);
		kv_counts_add(&n, i % 2 ? KV_GET : KV_PUT, key);
	}
	for (int op = 0; op < KV_OP_COUNT; op++)
		kv_counts_add(&n, (enum kv_op)op, "late/x");
	assert_int_equal(kv_counts_sum(&n, KV_GET), 51);
	assert_int_equal(kv_counts_sum(&n, KV_PUT), 51);
	assert_int_equal(kv_counts_sum(&n, KV_DEL), 1);
	kv_counts_format(&n, text);
	assert_non_null(strstr(text, ":other="));
	assert_null(strstr(text, ":late="));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_calls_counted_by_prefix),
		cmocka_unit_test(test_full_table_counts_as_other),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
