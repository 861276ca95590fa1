// Tests of hedged requests: when they are due, and the node's budget.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "attempt/hedge.h"

enum {
	PERCENT = 10,
};

static int take_all(struct hedge_budget *b, int64_t now, enum hedge_reason why)
{
	int n = 0;

	while (hedge_budget_take(b, now, PERCENT, why))
		n++;
	return n;
}

/* 10 percent of the requests of the last 10 s. */
static void test_budget_is_percentage_of_requests(void **state)
{
	struct hedge_budget b = {0};

	for (int64_t now = 100000; now < 110000; now += 10)
		hedge_budget_request(&b, now);
	assert_int_equal(take_all(&b, 109999, HEDGE_FOR_LATENCY), 100);
	assert_int_equal(take_all(&b, 109999, HEDGE_FOR_SUCCESS), 0);
	/* Half of the requests left the window; their hedges still count. */
	assert_int_equal(take_all(&b, 114500, HEDGE_FOR_LATENCY), 0);
	/* All requests left the window: the minimum. */
	assert_int_equal(take_all(&b, 130000, HEDGE_FOR_LATENCY), 1);
}

/* With few requests, more hedges are allowed where a request would fail. */
static void test_budget_minimum_with_few_requests(void **state)
{
	struct hedge_budget b = {0};

	hedge_budget_request(&b, 50000);
	assert_int_equal(take_all(&b, 50000, HEDGE_FOR_LATENCY), 1);
	assert_int_equal(take_all(&b, 50000, HEDGE_FOR_SUCCESS), 9);
	assert_int_equal(take_all(&b, 59999, HEDGE_FOR_SUCCESS), 0);
	assert_int_equal(take_all(&b, 60000, HEDGE_FOR_SUCCESS), 10);
}

static void test_when_hedge_is_due(void **state)
{
	struct hedge_request req = {
		.idempotent = true,
		.overdue_at_ms = 1000 + hedge_after_ms(25, 150),
		.usual_ms = 25,
		.came_ms = 1000,
		.until_ms = 2500,
		.running = 1,
		.tried = 1,
		.max_servers = 2,
	};

	assert_int_equal(req.overdue_at_ms, 1075);
	assert_int_equal(hedge_after_ms(100, 150), 300);
	assert_int_equal(hedge_after_ms(0, 150), 150);
	assert_false(hedge_due(&req, 1074));
	assert_true(hedge_due(&req, 1075));
	assert_int_equal(hedge_reason_of(&req, 1075), HEDGE_FOR_LATENCY);
	assert_int_equal(hedge_reason_of(&req, 1800), HEDGE_FOR_SUCCESS);
	/* The time left is less than the median latency. */
	assert_false(hedge_due(&req, 2480));
	req.running = 2;
	assert_false(hedge_due(&req, 1100));
	req.running = 1;
	req.tried = 2;
	assert_false(hedge_due(&req, 1100));
	req.tried = 1;
	/* A request that isn't idempotent is never hedged. */
	req.idempotent = false;
	assert_false(hedge_due(&req, 1100));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_budget_is_percentage_of_requests),
		cmocka_unit_test(test_budget_minimum_with_few_requests),
		cmocka_unit_test(test_when_hedge_is_due),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
