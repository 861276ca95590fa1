// Which requests a stopping node takes, and when it answers the rest.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "../src/front/stopping.h"

enum {
	BEGUN_MS = 10000,
	GRACE_MS = 8000,
};

static const struct stopping stop = {BEGUN_MS, BEGUN_MS + GRACE_MS};

/* Requests that came late in the grace were cut off at its end. */
static void test_no_request_is_taken_that_may_outlast_the_grace(void **state)
{
	for (int64_t need = 10; need <= 60000; need += 70) {
		for (int64_t at = 0; at < GRACE_MS; at += 100) {
			bool fits = at + need + STOPPING_MARGIN_MS <= GRACE_MS;
			bool fits_half =
				at + STOPPING_MARGIN_MS <= GRACE_MS / 2;

			assert_int_equal(stopping_takes(&stop, BEGUN_MS + at,
							need, true),
					 fits);
			/* Long deadlines of requests that take milliseconds. */
			assert_int_equal(stopping_takes(&stop, BEGUN_MS + at,
							need, false),
					 fits || fits_half);
		}
	}
}

static void test_all_are_answered_before_the_end(void **state)
{
	const struct stopping none = {0, INT64_MAX};
	int64_t from = stop.end_ms - STOPPING_ANSWER_MS;

	assert_false(stopping_answers_all(&stop, from - 1));
	assert_true(stopping_answers_all(&stop, from));
	assert_false(stopping_answers_all(&none, INT64_MAX - 1));
	assert_true(stopping_takes(&none, 1, INT32_MAX, true));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_no_request_is_taken_that_may_outlast_the_grace),
		cmocka_unit_test(test_all_are_answered_before_the_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
