// Lookups that are alike were refused with 400 at all nodes, for good, after all servers of
// their service had crashed under them once or twice.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "nodes.h"

enum {
	CALLERS = 12, ///< that ask the same at a time
	OUTAGES = 2, ///< of two servers each: three starts end
	BOOKING_MS = 400,
	CRASH_AFTER_MS = 250,
	BACK_MS = 1500, ///< servers are known again
	SERVED_MS = 3000, ///< after the last outage
	LATER_CALLS = 30,
};

static struct hosted h;
static struct nodes ns;

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	for (int i = HOSTED_ENGINES; i < HOSTED_SERVERS; i++)
		h.servers[i].booking_ms = BOOKING_MS;
	return nodes_start_default(&ns, &h) ? 0 : -1;
}

static int teardown(void **state)
{
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

static int ask(int node, int n)
{
	struct response a;
	char id[32];

	snprintf(id, sizeof(id), "later%d", n);
	node_call(&ns, node, "POST", "/book/same", "k1", id, "same", &a);
	n = a.status;
	response_free(&a);
	return n;
}

static void revive(int ms)
{
	int64_t end = clock_now_ms() + ms;

	while (clock_now_ms() < end) {
		hosted_revive(&h);
		usleep(50000);
	}
}

static void crash_all_under_lookups(int outage)
{
	struct node_caller callers[CALLERS];

	for (int i = 0; i < CALLERS; i++) {
		callers[i] = (struct node_caller){.ns = &ns,
						  .node = i % NODES_ENTRY,
						  .method = "POST",
						  .path = "/book/same",
						  .body = "same"};
		snprintf(callers[i].id, sizeof(callers[i].id), "o%d-%d", outage,
			 i);
		node_caller_start(&callers[i]);
	}
	usleep(CRASH_AFTER_MS * 1000);
	h.crash_bookings = true;
	for (int i = 0; i < CALLERS; i++) {
		node_caller_join(&callers[i]);
		response_free(&callers[i].answer);
	}
	h.crash_bookings = false;
	revive(BACK_MS);
}

static void test_lookups_are_served_after_all_servers_crashed(void **state)
{
	int64_t since_ms, served_ms = 0;
	int denied = 0;
	int refused = 0;

	for (int i = 0; i < OUTAGES; i++)
		crash_all_under_lookups(i);
	since_ms = clock_now_ms();
	for (int i = 0; i < LATER_CALLS; i++) {
		int status = ask(i % NODES_ENTRY, i);

		denied += status == 400;
		refused += served_ms && status != 200;
		if (status == 200 && !served_ms)
			served_ms = clock_now_ms() - since_ms;
		usleep(50000);
	}
	print_message(
		"served after %lld ms, %d denied, %d refused after that\n",
		(long long)served_ms, denied, refused);
	assert_int_equal(denied, 0);
	assert_in_range(served_ms, 1, SERVED_MS);
	assert_int_equal(refused, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_lookups_are_served_after_all_servers_crashed),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
