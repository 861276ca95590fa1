// Whether a batch may be taken over, and which node is a team's home.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "job/takeover.h"

enum {
	HOMES = 10,
	TEAMS = 200,
};

static char home_names[HOMES][16];
static struct job_home homes[HOMES];

static int setup(void **state)
{
	for (int i = 0; i < HOMES; i++) {
		snprintf(home_names[i], sizeof(home_names[i]), "n%d", i);
		homes[i] = (struct job_home){home_names[i], true};
	}
	return 0;
}

/* Guards against waiting 300 ms for a second round when the loss was observed. */
static void test_observed_key_loss_allows_takeover_at_once(void **state)
{
	const struct job_takeover t = {
		.watched = true,
		.store_ms = JOB_STORE_SETTLE_MS,
		.settled = true,
	};

	assert_true(job_takeover_allowed(&t));
}

/* Guards against waiting 1.5 s because a store call of the leader failed after the key
 * had been removed: the store was answering at that time. */
static void test_store_outage_after_key_loss_is_ignored(void **state)
{
	const struct job_takeover t = {
		.watched = true,
		.store_ms = JOB_STORE_SETTLE_MS,
		.settled = false,
	};

	assert_true(job_takeover_allowed(&t));
}

/* Guards against taking over the batches of all nodes after a store outage, in which
 * every liveness key expires. */
static void test_key_loss_in_outage_needs_two_rounds(void **state)
{
	struct job_takeover t = {
		.watched = true,
		.store_ms = JOB_STORE_SETTLE_MS - 1,
	};

	assert_false(job_takeover_allowed(&t));
	t.suspected = true;
	assert_false(job_takeover_allowed(&t));
	t.settled = true;
	assert_true(job_takeover_allowed(&t));
}

/* Guards against a takeover from a node that is about to write its key. */
static void test_unobserved_key_loss_needs_two_rounds(void **state)
{
	struct job_takeover t = {.settled = true};

	assert_false(job_takeover_allowed(&t));
	t.suspected = true;
	assert_true(job_takeover_allowed(&t));
}

/* Guards against a takeover from a live node: a node that is no home lets its key
 * expire when it runs nothing, and writes it again in the same process run. */
static void test_renewed_liveness_key_blocks_takeover(void **state)
{
	struct job_takeover t = {
		.watched = true,
		.owner_rev = 12,
		.lost_rev = 11,
		.store_ms = JOB_STORE_SETTLE_MS,
		.settled = true,
	};

	assert_false(job_takeover_allowed(&t));
	t.owner_rev = 11;
	assert_true(job_takeover_allowed(&t));
}

static void test_own_earlier_process_allows_takeover(void **state)
{
	const struct job_takeover t = {.own = true};

	assert_true(job_takeover_allowed(&t));
}

/* Guards against moving teams whose home is still usable. */
static void test_lost_home_moves_only_its_teams(void **state)
{
	int moved = 0;

	for (int i = 0; i < TEAMS; i++) {
		char team[16];
		int before, after;

		snprintf(team, sizeof(team), "t%d", i);
		homes[3].usable = true;
		before = job_home_choose(team, homes, HOMES);
		homes[3].usable = false;
		after = job_home_choose(team, homes, HOMES);
		assert_in_range(after, 0, HOMES - 1);
		assert_int_not_equal(after, 3);
		moved += before == 3;
		if (before != 3)
			assert_int_equal(before, after);
	}
	assert_in_range(moved, 1, TEAMS / 2);
}

static void test_no_usable_home_returns_none(void **state)
{
	for (int i = 0; i < HOMES; i++)
		homes[i].usable = false;
	assert_int_equal(job_home_choose("t", homes, HOMES), -1);
	assert_int_equal(job_home_choose("t", homes, 0), -1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_observed_key_loss_allows_takeover_at_once),
		cmocka_unit_test(test_store_outage_after_key_loss_is_ignored),
		cmocka_unit_test(test_key_loss_in_outage_needs_two_rounds),
		cmocka_unit_test(test_unobserved_key_loss_needs_two_rounds),
		cmocka_unit_test(test_renewed_liveness_key_blocks_takeover),
		cmocka_unit_test(test_own_earlier_process_allows_takeover),
		cmocka_unit_test_setup(test_lost_home_moves_only_its_teams,
				       setup),
		cmocka_unit_test_setup(test_no_usable_home_returns_none, setup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
