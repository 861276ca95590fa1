// Teams whose names are longer than most and differ late only.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "batches.h"

enum {
	NAME_BYTES = 101, ///< of a name, with its NUL
	LONGEST_BYTES = 201, ///< the same, of one that no batch can hold
	KNOWN_MS = 5000, ///< until all nodes know the teams
	REPORTED_MS = 10000,
};

static struct hosted h;
static struct nodes ns;
static char names[2][NAME_BYTES];

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

static int call(int node, const char *path, const char *key, const char *id,
		const char *body)
{
	struct response a;
	int status;

	node_call(&ns, node, "POST", path, key, id, body, &a);
	status = a.status;
	response_free(&a);
	return status;
}

static bool key_known(void *ctx)
{
	int n = 0;

	for (int i = 0; i < NODES_ENTRY; i++)
		n += call(i, "/book/a", ctx, "w", "x") == 200;
	return n == NODES_ENTRY;
}

/* Whether the reports name both teams, and none by a part of its name. */
static bool both_reported(void *ctx)
{
	const char *window, *team;
	json_t *counts, *n;
	int found[2] = {0};
	int others = 0;

	pthread_mutex_lock(&h.lock);
	json_object_foreach(h.reports, window, counts) {
		json_object_foreach(counts, team, n) {
			found[0] += strcmp(team, names[0]) == 0;
			found[1] += strcmp(team, names[1]) == 0;
			others += strcmp(team, names[0]) != 0 &&
				  strcmp(team, names[1]) != 0;
		}
	}
	pthread_mutex_unlock(&h.lock);
	return found[0] && found[1] && !others;
}

/* Guards against teams that are told apart by a part of their names: servers and reports got
 * the first 63 bytes. */
static void test_long_team_names_are_whole(void **state)
{
	int seen[2] = {0};

	for (int i = 0; i < 2; i++) {
		memset(names[i], 'n', NAME_BYTES - 1);
		names[i][NAME_BYTES - 2] = (char)('1' + i);
	}
	hosted_publish_team(&h, names[0], "long1");
	hosted_publish_team(&h, names[1], "long2");
	assert_true(wait_until(key_known, "long2", KNOWN_MS));
	assert_int_equal(call(0, "/book/a", "long1", "a1", "x"), 200);
	assert_int_equal(call(1, "/book/a", "long2", "a2", "x"), 200);
	pthread_mutex_lock(&h.lock);
	for (int i = 0; i < h.n_runs; i++) {
		if (h.runs[i].id[0] == 'a')
			seen[h.runs[i].id[1] - '1'] +=
				strcmp(h.runs[i].team,
				       names[h.runs[i].id[1] - '1']) == 0;
	}
	pthread_mutex_unlock(&h.lock);
	assert_int_equal(seen[0], 1);
	assert_int_equal(seen[1], 1);
	assert_true(wait_until(both_reported, NULL, REPORTED_MS));
}

/* Guards against a batch under a part of its team's name: one that can't be held whole is
 * refused. */
static void test_batch_of_longest_name_refused(void **state)
{
	char name[LONGEST_BYTES] = {0};
	char *body = batch_body("b1", BATCH_ITEMS, 1);

	memset(name, 'n', LONGEST_BYTES - 1);
	hosted_publish_team(&h, name, "long3");
	assert_true(wait_until(key_known, "long3", KNOWN_MS));
	assert_int_equal(call(0, "/learn/b1", "long1", "b1", body), 202);
	assert_int_equal(call(0, "/learn/b2", "long3", "b2", body), 400);
	free(body);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_long_team_names_are_whole),
		cmocka_unit_test(test_batch_of_longest_name_refused),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
