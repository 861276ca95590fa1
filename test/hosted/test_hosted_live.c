// Idempotent requests while one server is slow, unresponsive or fails half of its
// requests: they are hedged to another server, and the bad server is ejected.
// Non-idempotent requests are never sent twice.
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
	WORK_MS = 22,
	SLOW_MS = 600,
	CALLS = 60,
	/// Latency limit with a bad server, on a busy machine: twice the route's target
	/// of 150 ms. Without a hedged request it is SLOW_MS.
	LATE_MS = 300,
	/// Until the server is ejected, and when the hedging budget is used up.
	LATE_MOST = 4,
};

static struct hosted h;
static struct nodes ns;
static int calls;

static struct hosted_server *desk(int i)
{
	return &h.servers[HOSTED_ENGINES + i];
}

static void set_desk(int i, int ms, bool dark, bool grey)
{
	pthread_mutex_lock(&h.lock);
	desk(i)->book_ms = ms;
	desk(i)->dark = dark;
	desk(i)->grey = grey;
	pthread_mutex_unlock(&h.lock);
}

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	nodes_init(&ns, &h, LIVE_NODES, 1);
	ns.settings = "[front]\nhedge_percent = 10\n";
	return nodes_run(&ns) ? 0 : -1;
}

static int teardown(void **state)
{
	for (int i = 0; i < HOSTED_DESKS; i++)
		set_desk(i, 0, false, false);
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

static int call(const char *path, char id[32])
{
	struct answer a;
	int status;

	snprintf(id, 32, "v%d", calls++);
	node_call(&ns, 0, "POST", path, "k1", id, "x", &a);
	status = a.status;
	answer_free(&a);
	return status;
}

/* Number of bookings that took longer than LATE_MS; all must succeed. */
static int late_of(int n)
{
	int late = 0;

	for (int i = 0; i < n; i++) {
		int64_t begun = clock_now_ms();
		char id[32];

		assert_int_equal(call("/book/a", id), 200);
		late += clock_now_ms() - begun > LATE_MS;
	}
	return late;
}

/* Send requests to two healthy servers, which also earns hedging budget. */
static void warm_up(void)
{
	for (int i = 0; i < HOSTED_DESKS; i++)
		set_desk(i, WORK_MS, false, false);
	late_of(CALLS);
}

/* The first booking server is in the node's failure domain. */
static void test_slow_server(void **state)
{
	warm_up();
	set_desk(0, SLOW_MS, false, false);
	assert_in_range(late_of(CALLS), 0, LATE_MOST);
}

static void test_silent_server(void **state)
{
	warm_up();
	set_desk(0, WORK_MS, true, false);
	assert_in_range(late_of(CALLS), 0, LATE_MOST);
}

static void test_grey_server(void **state)
{
	warm_up();
	set_desk(0, WORK_MS, false, true);
	assert_in_range(late_of(CALLS), 0, LATE_MOST);
}

static void test_once_only_is_not_hedged(void **state)
{
	char id[32];

	warm_up();
	for (int i = 0; i < HOSTED_DESKS; i++)
		set_desk(i, SLOW_MS, false, false);
	assert_int_equal(call("/pay/a", id), 200);
	assert_int_equal(hosted_runs(&h, id), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_server),
		cmocka_unit_test(test_silent_server),
		cmocka_unit_test(test_grey_server),
		cmocka_unit_test(test_once_only_is_not_hedged),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests(tests, setup, teardown);
}
