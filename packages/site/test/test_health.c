// Outlier ejection: when outcomes eject a server, and how a probe ends the ejection.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "site/health.h"

enum {
	BAD_STREAK = 2,
};

static bool end(struct site_health *h, int64_t now, enum site_outcome outcome)
{
	return site_health_end(h, now, outcome, BAD_STREAK, false);
}

static void test_streak_or_share_of_failures_ejects(void **state)
{
	struct site_health h = {0};

	/* One late answer does not eject; two in a row do. */
	assert_false(end(&h, 0, SITE_CALL_BAD));
	assert_false(end(&h, 0, SITE_CALL_GOOD));
	assert_false(end(&h, 0, SITE_CALL_BAD));
	assert_true(end(&h, 0, SITE_CALL_BAD));
	assert_true(site_health_ejected(&h, 999));
	/* A server that fails every second request. */
	h = (struct site_health){0};
	for (int i = 0; i < 2; i++) {
		assert_false(end(&h, 0, SITE_CALL_BAD));
		assert_false(end(&h, 0, SITE_CALL_GOOD));
	}
	assert_true(end(&h, 0, SITE_CALL_BAD));
	/* One failure in four stays below the limit of a third. */
	h = (struct site_health){0};
	for (int i = 0; i < 40; i++)
		assert_false(
			end(&h, 0, i % 4 ? SITE_CALL_GOOD : SITE_CALL_BAD));
}

/* After 1 s a single probe call is let through, and no other until it has ended. */
static void test_one_probe_at_a_time(void **state)
{
	struct site_health h = {0};

	end(&h, 0, SITE_CALL_BAD);
	end(&h, 0, SITE_CALL_BAD);
	assert_false(site_health_begin(&h, 999));
	assert_false(site_health_ejected(&h, 1000));
	assert_true(site_health_begin(&h, 1000));
	assert_true(site_health_ejected(&h, 1001));
	assert_false(site_health_begin(&h, 1001));
	/* Calls begun before the ejection do not end the probe. */
	assert_false(end(&h, 1100, SITE_CALL_GOOD));
	assert_true(site_health_ejected(&h, 1100));
	site_health_end(&h, 1200, SITE_CALL_BAD, BAD_STREAK, true);
	assert_true(site_health_ejected(&h, 1200 + 999));
	assert_false(site_health_ejected(&h, 1200 + 4000));
	/* A cancelled probe has no outcome: the next call is a probe. */
	assert_true(site_health_begin(&h, 6000));
	site_health_end(&h, 6010, SITE_CALL_UNKNOWN, BAD_STREAK, true);
	assert_true(site_health_begin(&h, 6020));
	site_health_end(&h, 6050, SITE_CALL_GOOD, BAD_STREAK, true);
	assert_false(site_health_ejected(&h, 6050));
	/* A good probe does not clear the record: one more failure ejects again. */
	assert_true(end(&h, 6100, SITE_CALL_BAD));
}

/* Guards against a permanent ejection by a probe whose outcome is never recorded. */
static void test_probe_without_outcome_expires(void **state)
{
	struct site_health h = {0};

	end(&h, 0, SITE_CALL_BAD);
	end(&h, 0, SITE_CALL_BAD);
	assert_true(site_health_begin(&h, 1000));
	assert_true(site_health_ejected(&h, 5999));
	assert_false(site_health_ejected(&h, 6000));
	assert_true(site_health_begin(&h, 6000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_streak_or_share_of_failures_ejects),
		cmocka_unit_test(test_one_probe_at_a_time),
		cmocka_unit_test(test_probe_without_outcome_expires),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
