// Tests of arena, mailbox, handle table, error and metric tables, msgpack check.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "base/arena.h"
#include "base/err.h"
#include "base/htab.h"
#include "base/log.h"
#include "base/mbox.h"
#include "base/metric.h"
#include "base/msgpack_check.h"
#include "base/table_full.h"

static void test_arena_enforces_limit(void **state)
{
	struct arena a;

	arena_init(&a, 64);
	assert_non_null(arena_alloc(&a, 48));
	assert_null(arena_alloc(&a, 48));
	arena_free(&a);
	assert_string_equal(arena_strdup(&a, "again"), "again");
	arena_free(&a);
}

static void test_mbox_refuses_when_full(void **state)
{
	struct mbox *m = mbox_new(4);
	int v[4];

	assert_int_equal(mbox_put(m, &v[0]), ERR_OK);
	assert_int_equal(mbox_put(m, &v[1]), ERR_OK);
	assert_int_equal(mbox_put(m, &v[2]), ERR_OK);
	assert_int_equal(mbox_put(m, &v[3]), ERR_FULL);
	assert_ptr_equal(mbox_get(m), &v[0]);
	assert_int_equal(mbox_put(m, &v[3]), ERR_OK);
	mbox_free(m);
}

static void test_htab_detects_stale_handles(void **state)
{
	struct htab *t = htab_new(2, sizeof(int));
	htab_handle a, b, c;

	assert_non_null(htab_add(t, &a));
	assert_non_null(htab_add(t, &b));
	assert_null(htab_add(t, &c));
	assert_true(htab_del(t, a));
	assert_false(htab_del(t, a));
	assert_non_null(htab_add(t, &c));
	assert_null(htab_get(t, a));
	assert_non_null(htab_get(t, c));
	assert_int_equal(htab_count(t), 2);
	htab_free(t);
}

static void test_err_lookups(void **state)
{
	assert_string_equal(err_code(ERR_FULL), "full");
	assert_int_equal(err_http(ERR_TOO_LARGE), 413);
	assert_int_equal(err_run(ERR_TIMEOUT), RUN_MAYBE);
	assert_string_equal(err_code((enum err)99999), "unknown");
}

static void test_metric_render(void **state)
{
	char buf[65536];

	metric_add(M_HTTP_REQUESTS, 3);
	metric_render(buf, sizeof(buf));
	assert_non_null(strstr(buf, "catkinpath_http_requests_total 3\n"));
}

static void test_packed_rejects_malformed(void **state)
{
	static const struct {
		const char *bytes;
		size_t len;
		bool ok;
	} cases[] = {
		{"\x93\x01\xa2hi\xc0", 6, true},
		{"\x81\xa1k\xcd\x01\x00", 6, true},
		{"\xdc\x00\x01\xc3", 4, true},
		{"", 0, false},
		{"\x01\x01", 2, false}, /* two objects */
		{"\x92\x01", 2, false}, /* an element is missing */
		{"\xa5hi", 3, false}, /* truncated string */
		{"\xcd\x01", 2, false}, /* truncated number */
		{"\xc1", 1, false}, /* reserved byte */
		{"\xdd\xff\xff\xff\xff", 5,
		 false}, /* a count of 2^32 - 1 without elements */
		{"\xdf\xff\xff\xff\xff\x01", 6, false},
		{"\xdb\xff\xff\xff\xff", 5, false},
	};
	char deep[64];

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(msgpack_is_valid(cases[i].bytes, cases[i].len),
				 cases[i].ok);
	memset(deep, 0x91, sizeof(deep));
	deep[sizeof(deep) - 1] = 1;
	assert_false(msgpack_is_valid(deep, sizeof(deep)));
}

static void test_table_full_counts(void **state)
{
	uint64_t before = metric_get(M_TABLE_FULL);

	table_full("t", "a", 1);
	table_full("t", "a", 1);
	table_full("t", "b", 1);
	assert_int_equal(metric_get(M_TABLE_FULL) - before, 3);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_arena_enforces_limit),
		cmocka_unit_test(test_mbox_refuses_when_full),
		cmocka_unit_test(test_htab_detects_stale_handles),
		cmocka_unit_test(test_err_lookups),
		cmocka_unit_test(test_metric_render),
		cmocka_unit_test(test_packed_rejects_malformed),
		cmocka_unit_test(test_table_full_counts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
