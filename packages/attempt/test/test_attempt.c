// Tests of retries: a table of outcomes, and the number of attempts during a
// total outage.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "attempt/attempt.h"

enum {
	NOW = 1000,
	DEADLINE = 5000,
	REQUESTS = 2000, ///< during an outage
	BUDGET = 10,
	RATIO = 10, ///< retries for each hundred successes
};

struct fault_case {
	const char *name;
	bool idempotent;
	struct attempt_outcome out;
	bool again;
	enum run_state run; ///< expected when there is no retry
};

static const struct fault_case cases[] = {
	{"complete response",
	 false,
	 {.sent = true, .status = 200},
	 false,
	 RUN_DONE},
	{"error of the service",
	 false,
	 {.sent = true, .status = 500},
	 false,
	 RUN_DONE},
	{"503 is a response",
	 false,
	 {.sent = true, .status = 503},
	 false,
	 RUN_DONE},
	{"503, idempotent",
	 true,
	 {.sent = true, .status = 503},
	 true,
	 RUN_DONE},
	{"connection refused", false, {.err = ERR_CLOSED}, true, RUN_NO},
	{"reset after a byte",
	 false,
	 {.err = ERR_CLOSED, .sent = true},
	 false,
	 RUN_MAYBE},
	{"reset, idempotent",
	 true,
	 {.err = ERR_CLOSED, .sent = true},
	 true,
	 RUN_MAYBE},
	{"refused by a peer",
	 false,
	 {.err = ERR_FULL, .sent = true, .not_run = true},
	 true,
	 RUN_NO},
	{"half a stream delivered",
	 true,
	 {.err = ERR_CLOSED, .sent = true, .delivered = true},
	 false,
	 RUN_MAYBE},
	{"timeout",
	 false,
	 {.err = ERR_TIMEOUT, .sent = true},
	 false,
	 RUN_MAYBE},
};

static void begin(struct attempt *a, bool idempotent)
{
	struct attempt_opts o = {
		.idempotent = idempotent,
		.deadline_ms = DEADLINE,
	};

	attempt_init(a, &o);
	attempt_begin(a);
}

static void test_decision_for_each_outcome(void **state)
{
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const struct fault_case *c = &cases[i];
		struct attempt_budget b;
		struct attempt_step s;
		struct attempt a;

		attempt_budget_init(&b, BUDGET);
		begin(&a, c->idempotent);
		s = attempt_end(&a, &b, NOW, &c->out);
		if (s.again != c->again || (!s.again && s.run != c->run))
			fail_msg("%s: again %d run %d", c->name, s.again,
				 s.run);
		/* No retry after the deadline. */
		begin(&a, c->idempotent);
		assert_false(attempt_end(&a, &b, DEADLINE, &c->out).again);
	}
}

static void test_maybe_ran_persists_across_retries(void **state)
{
	struct attempt_outcome reset = {.err = ERR_CLOSED, .sent = true};
	struct attempt_outcome refused = {.err = ERR_CLOSED};
	struct attempt_budget b;
	struct attempt_step s;
	struct attempt a;

	attempt_budget_init(&b, BUDGET);
	begin(&a, true);
	assert_true(attempt_end(&a, &b, NOW, &reset).again);
	attempt_begin(&a);
	assert_true(attempt_end(&a, &b, NOW, &refused).again);
	attempt_begin(&a);
	s = attempt_end(&a, &b, NOW, &refused);
	assert_false(s.again);
	assert_int_equal(s.run, RUN_MAYBE);
	assert_true(s.retry_after_ms > 0);
}

static void test_abandoned_request_outcome(void **state)
{
	struct attempt a;

	begin(&a, false);
	assert_int_equal(attempt_give_up(&a, true, ERR_TIMEOUT).run, RUN_MAYBE);
	assert_int_equal(attempt_give_up(&a, false, ERR_TIMEOUT).run, RUN_NO);
}

/* Number of attempts while every attempt fails. */
static int outage_attempts(struct attempt_budget *b)
{
	struct attempt_outcome reset = {.err = ERR_CLOSED, .sent = true};
	int attempts = 0;

	for (int i = 0; i < REQUESTS; i++) {
		struct attempt a;

		begin(&a, true);
		attempts++;
		while (attempt_end(&a, b, NOW, &reset).again) {
			attempt_begin(&a);
			attempts++;
		}
	}
	return attempts;
}

static void test_budget_limits_retries_in_outage(void **state)
{
	struct attempt_budget b;
	struct attempt_budget unlimited = {
		.credit = INT64_MAX / 2,
		.cap = INT64_MAX / 2,
	};

	attempt_budget_init(&b, BUDGET);
	for (int i = 0; i < REQUESTS; i++)
		attempt_budget_success(&b, RATIO);
	/* At most 1.1 attempts for each request; 3 without a budget. */
	assert_true(10 * outage_attempts(&b) <= 11 * REQUESTS);
	assert_true(10 * outage_attempts(&unlimited) > 11 * REQUESTS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_decision_for_each_outcome),
		cmocka_unit_test(test_maybe_ran_persists_across_retries),
		cmocka_unit_test(test_abandoned_request_outcome),
		cmocka_unit_test(test_budget_limits_retries_in_outage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
