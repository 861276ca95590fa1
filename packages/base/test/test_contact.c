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

	assert_true(contact_good(&c, 100, 90));
	assert_int_equal(c.back_ms, 100);
	contact_good(&c, 5000, 4990);
	assert_true(contact_bad(&c));
	assert_false(contact_bad(&c));
	assert_int_equal(c.back_ms, 0);
	/* The next call is answered within CONTACT_BLIP_MS: no outage. */
	assert_true(contact_good(&c, 5300, 5290));
	assert_int_equal(c.back_ms, 100);
}

static void test_long_gap_is_outage(void **state)
{
	struct contact c = {0};

	contact_good(&c, 100, 90);
	contact_bad(&c);
	contact_good(&c, 100 + CONTACT_BLIP_MS, 1090);
	assert_int_equal(c.back_ms, 100 + CONTACT_BLIP_MS);
	/* An older heard_ms does not replace a newer one. */
	contact_good(&c, 2000, 50);
	assert_int_equal(c.heard_ms, 1090);
}

/* Fewer than CONTACT_AWAY_CALLS failures are no outage; one answer ends one. */
static void test_consecutive_failures_are_outage(void **state)
{
	struct contact c = {0};

	contact_good(&c, 100, 90);
	for (int i = 0; i < CONTACT_AWAY_CALLS; i++) {
		assert_false(contact_away(&c));
		contact_bad(&c);
	}
	assert_true(contact_away(&c));
	contact_good(&c, 200, 190);
	contact_bad(&c);
	assert_false(contact_away(&c));
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
