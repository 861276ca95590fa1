// Latency histograms: buckets are cumulative, bounds are inclusive.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "base/histogram.h"

static void test_buckets_are_cumulative(void **state)
{
	char text[16384];

	histogram_add(H_FORWARD, -3);
	histogram_add(H_FORWARD, 5);
	histogram_add(H_FORWARD, 6);
	histogram_add(H_FORWARD, 10000);
	histogram_add(H_FORWARD, 10001);
	assert_int_equal(histogram_count(H_FORWARD), 5);
	assert_int_equal(histogram_count(H_ITEM), 0);
	assert_true(histogram_render(text, sizeof(text)) < sizeof(text) - 1);
	assert_non_null(
		strstr(text, "catkinpath_forward_ms_bucket{le=\"5\"} 2\n"));
	assert_non_null(
		strstr(text, "catkinpath_forward_ms_bucket{le=\"10\"} 3\n"));
	assert_non_null(
		strstr(text, "catkinpath_forward_ms_bucket{le=\"10000\"} 4\n"));
	assert_non_null(
		strstr(text, "catkinpath_forward_ms_bucket{le=\"+Inf\"} 5\n"));
	assert_non_null(strstr(text, "catkinpath_forward_ms_sum 20012\n"));
	assert_non_null(strstr(text, "catkinpath_forward_ms_count 5\n"));
}

static void test_render_truncates(void **state)
{
	char text[64];

	assert_int_equal(histogram_render(text, sizeof(text)),
			 sizeof(text) - 1);
	assert_int_equal(strlen(text), sizeof(text) - 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_buckets_are_cumulative),
		cmocka_unit_test(test_render_truncates),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
