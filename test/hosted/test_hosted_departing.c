// A node that got a response with the Server-Leaving header sends nothing more to that
// server, whatever its entry says and whether the store is reachable or not.
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
#include "support/link.h"

enum {
	DEPART_NODES = 3,
	DEPART_ENTRY = 2, ///< node 1 is cut off from the store
	STORE_LINK_PORT = 8500,
	STORE_CUT_MS = 3000, ///< until the node continues on its cached state
	BOOKING_MS = 2500, ///< of bookings after that response
	REFUSED_MS = 300, ///< longest time to a refusal, on a busy machine
	RESTART_MS = 10000, ///< until a restart of a server is known
};

static struct hosted h;
static struct nodes ns;
static struct link *store_links[DEPART_NODES];
static int n_bookings;

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	nodes_init(&ns, &h, DEPART_NODES, DEPART_ENTRY);
	for (int i = 0; i < DEPART_NODES; i++) {
		store_links[i] = link_start(h.ip, STORE_LINK_PORT + i, h.ip,
					    HOSTED_STORE_PORT);
		if (!store_links[i])
			return -1;
		ns.list[i].store_port = STORE_LINK_PORT + i;
	}
	return nodes_start_all(&ns) ? 0 : -1;
}

static int teardown(void **state)
{
	nodes_stop(&ns);
	for (int i = 0; i < DEPART_NODES; i++)
		link_stop(store_links[i]);
	hosted_stop(&h);
	return 0;
}

static int book(int node, struct response *a)
{
	char id[32];
	int status;

	snprintf(id, sizeof(id), "d%d", n_bookings++);
	node_call(&ns, node, "POST", "/book/a", "k1", id, "x", a);
	status = a->status;
	response_free(a);
	return status;
}

/* Number of runs that a node sent to a booking server. */
static int run_count_at(int server, int node)
{
	int n = 0;

	pthread_mutex_lock(&h.lock);
	for (int i = 0; i < h.n_runs; i++)
		n += h.runs[i].server == HOSTED_ENGINES + server &&
		     node_of_run(&ns, &h.runs[i]) == node;
	pthread_mutex_unlock(&h.lock);
	return n;
}

static void set_sends_leaving(int server, bool sends)
{
	pthread_mutex_lock(&h.lock);
	h.servers[HOSTED_ENGINES + server].sends_leaving = sends;
	pthread_mutex_unlock(&h.lock);
}

/* Book until this booking server runs one of the node's bookings. */
static void book_until_run_at(int server, int node)
{
	int64_t until = clock_now_ms() + RESTART_MS;
	int before = run_count_at(server, node);
	struct response a;

	while (run_count_at(server, node) == before && clock_now_ms() < until)
		assert_int_equal(book(node, &a), 200);
	assert_int_equal(run_count_at(server, node), before + 1);
}

static void test_no_runs_after_leaving_header(void **state)
{
	struct response a;

	link_set_mode(store_links[1], LINK_BLACKHOLE);
	for (int64_t end = clock_now_ms() + STORE_CUT_MS; clock_now_ms() < end;)
		book(1, &a);
	for (int node = 0; node < DEPART_ENTRY; node++) {
		int64_t end;
		int before;

		/* Nodes prefer the server in their failure domain. */
		set_sends_leaving(node, true);
		book_until_run_at(node, node);
		before = run_count_at(node, node);
		/* Its entry still says "ready". */
		hosted_publish(&h, &h.servers[HOSTED_ENGINES + node]);
		for (end = clock_now_ms() + BOOKING_MS; clock_now_ms() < end;)
			assert_int_equal(book(node, &a), 200);
		assert_int_equal(run_count_at(node, node), before);
		set_sends_leaving(node, false);
	}
}

/* All servers leave: bookings are refused immediately, and have not run. */
static void test_refuses_when_all_leave(void **state)
{
	int64_t start_ms;
	struct response a;
	int before;

	set_sends_leaving(1, true);
	book_until_run_at(1, 0);
	before = h.n_runs;
	start_ms = clock_now_ms();
	snprintf(a.retry_after, sizeof(a.retry_after), "%s", "");
	node_call(&ns, 0, "POST", "/book/a", "k1", "all", "x", &a);
	assert_int_equal(a.status, 503);
	assert_true(*a.retry_after);
	assert_true(strstr(a.body, "\"run\":\"no\"") != NULL);
	assert_in_range(clock_now_ms() - start_ms, 0, REFUSED_MS);
	assert_int_equal(h.n_runs, before);
	response_free(&a);
}

static void test_restarted_server_used(void **state)
{
	struct hosted_server *s = &h.servers[HOSTED_ENGINES];
	int64_t until = clock_now_ms() + RESTART_MS;
	int before = run_count_at(0, 0);
	struct response a;

	s->n_restarts++;
	hosted_publish(&h, s);
	while (run_count_at(0, 0) == before && clock_now_ms() < until)
		book(0, &a);
	assert_true(run_count_at(0, 0) > before);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_runs_after_leaving_header),
		cmocka_unit_test(test_refuses_when_all_leave),
		cmocka_unit_test(test_restarted_server_used),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests(tests, setup, teardown);
}
