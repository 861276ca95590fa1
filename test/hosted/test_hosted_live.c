// Idempotent requests are hedged and a server is ejected if it is slow, unresponsive or
// fails half of its requests. Non-idempotent requests are never sent twice.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <curl/curl.h>

#include "base/clock.h"
#include "nodes.h"

enum {
	LIVE_NODES = 2,
	SERVICE_MS = 22,
	SLOW_MS = 600,
	CALLS = 60,
	/// Latency limit with a bad server, on a busy machine: twice the route's target
	/// of 150 ms. Without a hedged request it is SLOW_MS.
	LATE_MS = 300,
	/// Until the server is ejected, and when the hedging budget is used up.
	LATE_MAX = 4,
};

static struct hosted h;
static struct nodes ns;
static int calls;

static struct hosted_server *booking_server(int i)
{
	return &h.servers[HOSTED_ENGINES + i];
}

static void set_booking_server(int i, int ms, bool unresponsive,
			       bool fails_half)
{
	pthread_mutex_lock(&h.lock);
	booking_server(i)->booking_ms = ms;
	booking_server(i)->unresponsive = unresponsive;
	booking_server(i)->fails_half = fails_half;
	pthread_mutex_unlock(&h.lock);
}

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	nodes_init(&ns, &h, LIVE_NODES, 1);
	ns.settings = "[front]\nhedge_percent = 10\n";
	return nodes_start_all(&ns) ? 0 : -1;
}

static int teardown(void **state)
{
	for (int i = 0; i < HOSTED_BOOKING_SERVERS; i++)
		set_booking_server(i, 0, false, false);
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

static int call(const char *path, char id[32])
{
	struct response a;
	int status;

	snprintf(id, 32, "v%d", calls++);
	node_call(&ns, 0, "POST", path, "k1", id, "x", &a);
	status = a.status;
	response_free(&a);
	return status;
}

/* Number of bookings that took longer than LATE_MS; all must succeed. */
static int count_late(int n)
{
	int n_late = 0;

	for (int i = 0; i < n; i++) {
		int64_t start_ms = clock_now_ms();
		char id[32];

		assert_int_equal(call("/book/a", id), 200);
		n_late += clock_now_ms() - start_ms > LATE_MS;
	}
	return n_late;
}

/* Send requests to two healthy servers, which also earns hedging budget. */
static void warm_up(void)
{
	for (int i = 0; i < HOSTED_BOOKING_SERVERS; i++)
		set_booking_server(i, SERVICE_MS, false, false);
	count_late(CALLS);
}

/* The first booking server is in the node's failure domain. */
static void test_slow_server_hedged(void **state)
{
	warm_up();
	set_booking_server(0, SLOW_MS, false, false);
	assert_in_range(count_late(CALLS), 0, LATE_MAX);
}

static void test_unresponsive_server_hedged(void **state)
{
	warm_up();
	set_booking_server(0, SERVICE_MS, true, false);
	assert_in_range(count_late(CALLS), 0, LATE_MAX);
}

static void test_half_failing_server_hedged(void **state)
{
	warm_up();
	set_booking_server(0, SERVICE_MS, false, true);
	assert_in_range(count_late(CALLS), 0, LATE_MAX);
}

static void test_non_idempotent_not_hedged(void **state)
{
	char id[32];

	warm_up();
	for (int i = 0; i < HOSTED_BOOKING_SERVERS; i++)
		set_booking_server(i, SLOW_MS, false, false);
	assert_int_equal(call("/pay/a", id), 200);
	assert_int_equal(hosted_run_count(&h, id), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_server_hedged),
		cmocka_unit_test(test_unresponsive_server_hedged),
		cmocka_unit_test(test_half_failing_server_hedged),
		cmocka_unit_test(test_non_idempotent_not_hedged),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests(tests, setup, teardown);
}
