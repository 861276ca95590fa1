// A server sends a late duplicate of a response on a reused connection: no caller gets
// another request's response, and no refusal claims that a request which ran has not
// run.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "copycat.h"
#include "nodes.h"

enum {
	CALLS = 40, ///< for each kind of duplicate
	COPYCAT_PORT = 7940,
	KNOWN_MS = 10000, ///< for each node to learn of the server
};

static struct hosted h;
static struct nodes ns;
static struct copycat cat;

static bool is_served(void *ctx)
{
	struct answer a;
	bool ok;

	node_call(&ns, *(int *)ctx, "POST", "/book/known", "k1", "known", "x",
		  &a);
	ok = a.status == 200;
	answer_free(&a);
	return ok;
}

/* The only booking server is the one that sends duplicates. */
static int setup(void **state)
{
	struct hosted_server *s = &h.servers[HOSTED_ENGINES];

	if (!hosted_start(&h) || !copycat_start(&cat, h.ip, COPYCAT_PORT))
		return -1;
	snprintf(s->addr, sizeof(s->addr), "%s", cat.addr);
	hosted_publish(&h, s);
	hosted_withdraw(&h, &h.servers[HOSTED_ENGINES + 1]);
	if (!nodes_start(&ns, &h))
		return -1;
	for (int i = 0; i < NODES_ENTRY; i++) {
		if (!wait_until(is_served, &i, KNOWN_MS))
			return -1;
	}
	return 0;
}

static int teardown(void **state)
{
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

static bool promises_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

static void check_calls(enum copycat_kind kind, const char *path, bool once)
{
	for (int i = 0; i < CALLS; i++) {
		struct answer a;
		char id[64];

		snprintf(id, sizeof(id), "c%d.%d.%d", kind, once, i);
		node_call(&ns, 0, "POST", path, "k1", id, id, &a);
		if (a.status / 100 == 2 && strcmp(a.body, id) != 0)
			fail_msg("kind %d: %s got %s", kind, id, a.body);
		/* The server ran every request it read. */
		if (once && promises_not_run(a.status))
			fail_msg("kind %d: %s refused with %d", kind, id,
				 a.status);
		if (once && copycat_runs(&cat, id) > 1)
			fail_msg("kind %d: %s ran twice", kind, id);
		/* An idempotent request succeeds by a retry. */
		if (!once)
			assert_int_equal(a.status, 200);
		answer_free(&a);
	}
}

static void test_late_copy_is_nobody_elses_answer(void **state)
{
	for (enum copycat_kind k = 0; k < COPY_KINDS; k++) {
		atomic_store(&cat.kind, k);
		check_calls(k, "/book/c", false);
		check_calls(k, "/pay/c", true);
	}
	assert_true(cat.copies > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_copy_is_nobody_elses_answer),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
