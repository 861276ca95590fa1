// Odd entries among those of the servers: each costs itself only, and the nodes go on
// following the list.
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
	DRAIN_MS = 2000, ///< in which nodes know that a server left
	LOAD_MS = 4000,
	/// Two of them exceed a message between nodes; base64 of one fits the fake store.
	BIG_BYTES = 700000,
	DEPTH = 100000,
	POLL_US = 10000,
};

#define ENTRY \
	"{\"service\":\"desk\",\"zone\":\"d1\",\"state\":\"ready\",\"version\":\"v1\","

static struct hosted h;
static struct nodes ns;
static long seen_bad[NODES]; ///< ignored entries that each node counted

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	return nodes_start_default(&ns, &h) ? 0 : -1;
}

static int teardown(void **state)
{
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

/* One booking after the other at all entry nodes.
 *
 * @return bookings that failed */
static int book_for(int ms)
{
	static int n;
	int64_t end = clock_now_ms() + ms;
	int failed = 0;

	for (; clock_now_ms() < end; n++) {
		struct response a;
		char id[32];

		snprintf(id, sizeof(id), "o%d", n);
		node_call(&ns, n % NODES_ENTRY, "POST", "/book/a", "k1", id,
			  "x", &a);
		failed += a.status != 200;
		response_free(&a);
		usleep(POLL_US);
	}
	return failed;
}

/* 0 after a restart, -1 if the node does not answer. */
static long bad_entries(int node)
{
	return node_metric(&ns, node, "catkinpath_server_entries_bad_total");
}

/* A server leaves while the odd entry is there: all nodes learn of it in time. */
static void assert_list_followed(const char *what)
{
	struct hosted_server *s = &h.servers[HOSTED_ENGINES];
	int64_t start_ms;

	assert_int_equal(book_for(LOAD_MS / 4), 0);
	start_ms = clock_now_ms();
	hosted_server_leave(&h, s, false);
	book_for(LOAD_MS);
	hosted_server_return(&h, s);
	if (hosted_max_since_leaving_ms(&h, start_ms) > DRAIN_MS)
		fail_msg("%s: a server got requests after it had left", what);
	assert_int_equal(book_for(LOAD_MS / 4), 0);
	for (int i = 0; i < NODES; i++) {
		long bad = bad_entries(i);

		if (bad <= seen_bad[i])
			fail_msg("%s: node %d ignored no entry", what, i);
		seen_bad[i] = bad;
	}
	hosted_delete(&h, "servers/odd");
}

static void put(const char *text)
{
	hosted_put_bytes(&h, "servers/odd", text, strlen(text));
}

static void test_list_followed_despite_deep_nesting(void **state)
{
	char *text = malloc(DEPTH + 1);

	memset(text, '[', DEPTH);
	text[DEPTH] = '\0';
	put(text);
	free(text);
	assert_list_followed("nested");
}

static void test_list_followed_despite_numbers_out_of_range(void **state)
{
	put(ENTRY "\"addr\":\"127.0.0.1:9\",\"slots\":6,"
		  "\"cold_left_ms\":1e300,\"born\":1e300}");
	assert_list_followed("number");
}

static void test_list_followed_despite_port_out_of_range(void **state)
{
	put(ENTRY "\"addr\":\"127.0.0.1:70000\",\"slots\":6}");
	assert_list_followed("port");
}

static void test_list_followed_despite_large_values(void **state)
{
	char *text = malloc(BIG_BYTES);

	memset(text, 'x', BIG_BYTES);
	hosted_put_bytes(&h, "servers/odd", text, BIG_BYTES);
	hosted_put_bytes(&h, "servers/odd2", text, BIG_BYTES);
	free(text);
	assert_list_followed("large");
	/* Homes go on telling the other nodes what changes. */
	for (int i = NODES_ENTRY; i < NODES; i++)
		assert_int_equal(
			node_metric(&ns, i,
				    "catkinpath_relay_replies_unsent_total"),
			0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_list_followed_despite_deep_nesting),
		cmocka_unit_test(
			test_list_followed_despite_numbers_out_of_range),
		cmocka_unit_test(test_list_followed_despite_port_out_of_range),
		cmocka_unit_test(test_list_followed_despite_large_values),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
