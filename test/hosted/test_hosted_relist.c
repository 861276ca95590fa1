// The store has lost the history of a prefix, so that nodes list its keys again, in pages.
// What they knew holds until the list is whole.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "batches.h"

enum {
	KNOWN_MS = 1500, ///< in which nodes know an operator's key
	HELD_MS = 5000, ///< until the nodes that watch list again
	BOOKINGS = 20, ///< at a node
};

static struct hosted h;
static struct nodes ns;

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

static bool homes_held(void *ctx)
{
	bool held;

	pthread_mutex_lock(&h.lock);
	held = h.n_held >= NODES - NODES_ENTRY;
	pthread_mutex_unlock(&h.lock);
	return held;
}

/* Book at the nodes that list the keys themselves.
 *
 * @return bookings that ran in the first failure domain */
static int book_at_homes(int round)
{
	int n = 0;

	for (int i = 0; i < BOOKINGS * (NODES - NODES_ENTRY); i++) {
		struct response a;
		char id[32];

		snprintf(id, sizeof(id), "e%d-%d", round, i);
		node_call(&ns, NODES_ENTRY + i % (NODES - NODES_ENTRY), "POST",
			  "/book/a", "k1", id, "x", &a);
		response_free(&a);
	}
	pthread_mutex_lock(&h.lock);
	for (int i = 0; i < h.n_runs; i++)
		n += h.runs[i].id[0] == 'e' &&
		     atoi(h.runs[i].id + 1) == round &&
		     h.runs[i].server % 2 == 0;
	pthread_mutex_unlock(&h.lock);
	return n;
}

/* Guards against requests to a failure domain that operators took out of service: its key
 * was forgotten when a new list of the operators' keys began, until its page came. */
static void test_domain_stays_out_while_keys_are_listed(void **state)
{
	assert_true(book_at_homes(0) > 0);
	hosted_put(&h, "op/evacuate/d1", json_object());
	usleep(KNOWN_MS * 1000);
	assert_int_equal(book_at_homes(1), 0);
	hosted_relist_held(&h, "op/");
	assert_true(wait_until(homes_held, NULL, HELD_MS));
	assert_int_equal(book_at_homes(2), 0);
	hosted_relist_release(&h);
	usleep(KNOWN_MS * 1000);
	assert_int_equal(book_at_homes(3), 0);
	hosted_delete(&h, "op/evacuate/d1");
	usleep(KNOWN_MS * 1000);
	assert_true(book_at_homes(4) > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_domain_stays_out_while_keys_are_listed),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
