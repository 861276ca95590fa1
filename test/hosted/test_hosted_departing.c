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
	CUT_MS = 3000, ///< until the node continues on its cached state
	WATCH_MS = 2500, ///< of bookings after that response
	REFUSED_MS = 300, ///< longest time to a refusal, on a busy machine
	BACK_MS = 10000, ///< until a restart of a server is known
};

static struct hosted h;
static struct nodes ns;
static struct link *store[DEPART_NODES];
static int booked;

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	nodes_init(&ns, &h, DEPART_NODES, DEPART_ENTRY);
	for (int i = 0; i < DEPART_NODES; i++) {
		store[i] = link_start(h.ip, STORE_LINK_PORT + i, h.ip,
				      HOSTED_STORE_PORT);
		if (!store[i])
			return -1;
		ns.list[i].store_port = STORE_LINK_PORT + i;
	}
	return nodes_run(&ns) ? 0 : -1;
}

static int teardown(void **state)
{
	nodes_stop(&ns);
	for (int i = 0; i < DEPART_NODES; i++)
		link_stop(store[i]);
	hosted_stop(&h);
	return 0;
}

static int book(int node, struct answer *a)
{
	char id[32];
	int status;

	snprintf(id, sizeof(id), "d%d", booked++);
	node_call(&ns, node, "POST", "/book/a", "k1", id, "x", a);
	status = a->status;
	answer_free(a);
	return status;
}

/* Number of runs that a node sent to a booking server. */
static int runs_at(int desk, int node)
{
	int n = 0;

	pthread_mutex_lock(&h.lock);
	for (int i = 0; i < h.n_runs; i++)
		n += h.runs[i].server == HOSTED_ENGINES + desk &&
		     node_of_run(&ns, &h.runs[i]) == node;
	pthread_mutex_unlock(&h.lock);
	return n;
}

static void say_leaving(int desk, bool says)
{
	pthread_mutex_lock(&h.lock);
	h.servers[HOSTED_ENGINES + desk].says_leaving = says;
	pthread_mutex_unlock(&h.lock);
}

/* Book until this booking server runs one of the node's bookings. */
static void book_at(int desk, int node)
{
	int64_t until = clock_now_ms() + BACK_MS;
	int before = runs_at(desk, node);
	struct answer a;

	while (runs_at(desk, node) == before && clock_now_ms() < until)
		assert_int_equal(book(node, &a), 200);
	assert_int_equal(runs_at(desk, node), before + 1);
}

static void test_nothing_after_its_answer(void **state)
{
	struct answer a;

	link_set(store[1], LINK_SILENT);
	for (int64_t end = clock_now_ms() + CUT_MS; clock_now_ms() < end;)
		book(1, &a);
	for (int node = 0; node < DEPART_ENTRY; node++) {
		int64_t end;
		int before;

		/* Nodes prefer the server in their failure domain. */
		say_leaving(node, true);
		book_at(node, node);
		before = runs_at(node, node);
		/* Its entry still says "ready". */
		hosted_publish(&h, &h.servers[HOSTED_ENGINES + node]);
		for (end = clock_now_ms() + WATCH_MS; clock_now_ms() < end;)
			assert_int_equal(book(node, &a), 200);
		assert_int_equal(runs_at(node, node), before);
		say_leaving(node, false);
	}
}

/* All servers leave: bookings are refused immediately, and have not run. */
static void test_all_leave(void **state)
{
	int64_t begun;
	struct answer a;
	int before;

	say_leaving(1, true);
	book_at(1, 0);
	before = h.n_runs;
	begun = clock_now_ms();
	snprintf(a.retry_after, sizeof(a.retry_after), "%s", "");
	node_call(&ns, 0, "POST", "/book/a", "k1", "all", "x", &a);
	assert_int_equal(a.status, 503);
	assert_true(*a.retry_after);
	assert_true(strstr(a.body, "\"run\":\"no\"") != NULL);
	assert_in_range(clock_now_ms() - begun, 0, REFUSED_MS);
	assert_int_equal(h.n_runs, before);
	answer_free(&a);
}

static void test_new_start_is_used(void **state)
{
	struct hosted_server *s = &h.servers[HOSTED_ENGINES];
	int64_t until = clock_now_ms() + BACK_MS;
	int before = runs_at(0, 0);
	struct answer a;

	s->starts++;
	hosted_publish(&h, s);
	while (runs_at(0, 0) == before && clock_now_ms() < until)
		book(0, &a);
	assert_true(runs_at(0, 0) > before);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_after_its_answer),
		cmocka_unit_test(test_all_leave),
		cmocka_unit_test(test_new_start_is_used),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests(tests, setup, teardown);
}
