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
static const struct stopping none = {0, INT64_MAX};

static void test_node_that_does_not_stop_takes_all(void **state)
{
	assert_true(stopping_takes(&none, 1, INT32_MAX, true));
	assert_false(stopping_answers_all(&none, INT64_MAX - 1));
}

/* Requests that came late in the grace were cut off at its end. */
static void test_no_request_is_taken_that_may_outlast_the_grace(void **state)
{
	for (int64_t need = 10; need <= 60000; need += 70) {
		for (int64_t at = 0; at < GRACE_MS; at += 100) {
			int64_t now = BEGUN_MS + at;
			bool fits = at + need + STOPPING_MARGIN_MS <= GRACE_MS;

			assert_int_equal(stopping_takes(&stop, now, need, true),
					 fits);
			if (fits)
				assert_true(stopping_takes(&stop, now, need,
							   false));
			if (at > GRACE_MS / 2 && !fits)
				assert_false(stopping_takes(&stop, now, need,
							    false));
		}
	}
}

/* Long deadlines of requests that take milliseconds: the node serves on at first. */
static void test_repeatable_requests_are_taken_at_first(void **state)
{
	assert_true(stopping_takes(&stop, BEGUN_MS + 3000, 12000, false));
	assert_false(stopping_takes(&stop, BEGUN_MS + 4000, 12000, false));
	assert_false(stopping_takes(&stop, BEGUN_MS, 12000, true));
}

static void test_all_are_answered_before_the_end(void **state)
{
	assert_false(stopping_answers_all(
		&stop, stop.end_ms - STOPPING_ANSWER_MS - 1));
	assert_true(
		stopping_answers_all(&stop, stop.end_ms - STOPPING_ANSWER_MS));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_node_that_does_not_stop_takes_all),
		cmocka_unit_test(
			test_no_request_is_taken_that_may_outlast_the_grace),
		cmocka_unit_test(test_repeatable_requests_are_taken_at_first),
		cmocka_unit_test(test_all_are_answered_before_the_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
