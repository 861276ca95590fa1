// Contact with an external system: a single lost call must not count as an outage.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/contact.h"

static void test_lost_call_is_no_outage(void **state)
{
	struct contact c = {0};

	assert_true(contact_call_succeeded(&c, 100, 90));
	assert_int_equal(c.answering_since_ms, 100);
	contact_call_succeeded(&c, 5000, 4990);
	assert_true(contact_call_failed(&c));
	assert_false(contact_call_failed(&c));
	assert_int_equal(c.answering_since_ms, 0);
	/* The next call is answered within CONTACT_OUTAGE_MIN_MS: no outage. */
	assert_true(contact_call_succeeded(&c, 5300, 5290));
	assert_int_equal(c.answering_since_ms, 100);
}

static void test_long_gap_is_outage(void **state)
{
	struct contact c = {0};

	contact_call_succeeded(&c, 100, 90);
	contact_call_failed(&c);
	contact_call_succeeded(&c, 100 + CONTACT_OUTAGE_MIN_MS, 1090);
	assert_int_equal(c.answering_since_ms, 100 + CONTACT_OUTAGE_MIN_MS);
	/* An older heard_ms does not replace a newer one. */
	contact_call_succeeded(&c, 2000, 50);
	assert_int_equal(c.heard_ms, 1090);
}

/* Fewer than CONTACT_LOST_FAILURES failures are no outage; one answer ends one. */
static void test_consecutive_failures_are_outage(void **state)
{
	struct contact c = {0};

	contact_call_succeeded(&c, 100, 90);
	for (int i = 0; i < CONTACT_LOST_FAILURES; i++) {
		assert_false(contact_is_lost(&c));
		contact_call_failed(&c);
	}
	assert_true(contact_is_lost(&c));
	contact_call_succeeded(&c, 200, 190);
	contact_call_failed(&c);
	assert_false(contact_is_lost(&c));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lost_call_is_no_outage),
		cmocka_unit_test(test_long_gap_is_outage),
		cmocka_unit_test(test_consecutive_failures_are_outage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
