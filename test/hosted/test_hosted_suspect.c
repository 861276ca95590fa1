// A request that ends each server which runs it is soon sent to none, at no node, while
// other requests are served and items are owed.
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "batches.h"

enum {
	ENDED_MAX = 3, ///< servers that such a request may end
	CONTACT_MS = 3000, ///< in which nodes learn of the third one
	MORE_MAX = 3, ///< requests to servers after that
	LOAD_MS = 9000,
	RETURN_US = 120000, ///< between two returns of the request
	BATCH_MS = 30000,
	READY_MS = 2500, ///< for all nodes to know a server again
};

static struct hosted h;
static struct nodes ns;

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	h.event_ms = 15;
	return nodes_start_default(&ns, &h) ? 0 : -1;
}

static int teardown(void **state)
{
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

static int book(int node, const char *key, const char *id, const char *body)
{
	struct response a;
	int status;

	hosted_revive(&h);
	node_call(&ns, node, "POST", "/book/a", key, id, body, &a);
	status = a.status;
	response_free(&a);
	return status;
}

/* Runs whose id begins so, from a time on. */
static int runs_since(const char *prefix, int64_t since)
{
	int n = 0;

	pthread_mutex_lock(&h.lock);
	for (int i = 0; i < h.n_runs; i++)
		n += h.runs[i].start_ms >= since &&
		     strncmp(h.runs[i].id, prefix, strlen(prefix)) == 0;
	pthread_mutex_unlock(&h.lock);
	return n;
}

/* Time of the nth run whose id begins so, 0 if there were fewer. */
static int64_t time_of_run(const char *prefix, int nth)
{
	int64_t ms = 0;

	pthread_mutex_lock(&h.lock);
	for (int i = 0; i < h.n_runs && !ms; i++) {
		if (strncmp(h.runs[i].id, prefix, strlen(prefix)) == 0 &&
		    !--nth)
			ms = h.runs[i].start_ms;
	}
	pthread_mutex_unlock(&h.lock);
	return ms;
}

static void wait_until_served(void)
{
	int64_t end = clock_now_ms() + READY_MS;
	char id[32];

	for (int i = 0; clock_now_ms() < end; i++) {
		snprintf(id, sizeof(id), "w%lld", (long long)clock_now_ms());
		book(i % NODES_ENTRY, "k1", id, id);
		usleep(20000);
	}
}

static void test_request_that_ends_servers_returns_at_all_nodes(void **state)
{
	int64_t end = clock_now_ms() + LOAD_MS;
	int64_t third_ms;
	int status = 0;
	char id[32];

	for (int i = 0; clock_now_ms() < end; i++) {
		snprintf(id, sizeof(id), "end%d", i);
		status = book(i % NODES_ENTRY, "k1", id, "end-server");
		usleep(RETURN_US);
	}
	third_ms = time_of_run("end", ENDED_MAX);
	print_message("%d servers ended, %d of them %d ms after the third\n",
		      runs_since("end", 0),
		      runs_since("end", third_ms + CONTACT_MS), CONTACT_MS);
	assert_true(third_ms > 0);
	assert_in_range(runs_since("end", third_ms + CONTACT_MS), 0, MORE_MAX);
	/* No client takes this as a reason to send it again. */
	assert_int_equal(status, 400);
	/* Callers with other bodies, and other callers, are served. */
	wait_until_served();
	assert_int_equal(book(0, "k1", "after1", "x"), 200);
	assert_int_equal(book(1, "k1", "after2", "y"), 200);
}

/* Items under which servers end are owed. */
static void test_items_are_owed_after_their_servers_ended(void **state)
{
	batch_submit(&ns, "owed", 0, 1);
	json_decref(batch_read_all(&ns, "owed", clock_now_ms() + BATCH_MS));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_request_that_ends_servers_returns_at_all_nodes),
		cmocka_unit_test(test_items_are_owed_after_their_servers_ended),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
