// Tests of the admission queue: order, limits, fairness, and random steps
// against a model.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

#include "admit/admit.h"
#include "base/rng.h"

enum {
	CAP = 300,
	SEEDS = 200,
	STEPS = 2000,
	TEAMS = 5,
};

static const struct admit_bounds no_limits = {CAP, CAP};

static struct admit_result push(struct admit *a, uint64_t team,
				enum admit_level level, int64_t deadline,
				uint64_t cost, uint32_t user)
{
	struct admit_request r = {
		.level = level,
		.team = team,
		.weight = 100,
		.cost = cost,
		.deadline_ms = deadline,
		.user = user,
	};

	return admit_push(a, 0, &r, &no_limits);
}

static void test_level_then_deadline_order(void **state)
{
	static const uint32_t expected[] = {3, 2, 4, 1};
	struct admit *a = admit_new(CAP);
	uint32_t user;

	push(a, 1, ADMIT_FAIR_SHARE, 900, 10, 1);
	push(a, 1, ADMIT_FAIR_SHARE, 500, 10, 2);
	push(a, 1, ADMIT_PRIORITY, 9000, 1, 3);
	push(a, 1, ADMIT_FAIR_SHARE, 600, 10, 4);
	for (int i = 0; i < 4; i++) {
		assert_true(admit_pop(a, &user));
		assert_int_equal(user, expected[i]);
	}
	assert_false(admit_pop(a, &user));
	admit_free(a);
}

/* Fairness is by served cost, not by count: team 1's requests cost 10 times as
 * much. */
static void test_teams_share_by_cost(void **state)
{
	struct admit *a = admit_new(CAP);
	int served[3] = {0};
	uint32_t user;

	for (int i = 0; i < 100; i++) {
		push(a, 1, ADMIT_FAIR_SHARE, i, 100, 1);
		push(a, 2, ADMIT_FAIR_SHARE, i, 10, 2);
	}
	for (int i = 0; i < 55; i++) {
		admit_pop(a, &user);
		served[user] += user == 1 ? 100 : 10;
	}
	assert_in_range(served[1], 400, 600);
	assert_in_range(served[2], 400, 600);
	admit_free(a);
}

static void test_idle_team_gains_no_credit(void **state)
{
	struct admit *a = admit_new(CAP);
	int team2_served = 0;
	uint32_t user;

	for (int i = 0; i < 100; i++)
		push(a, 1, ADMIT_FAIR_SHARE, i, 10, 1);
	for (int i = 0; i < 60; i++)
		admit_pop(a, &user);
	for (int i = 0; i < 40; i++)
		push(a, 2, ADMIT_FAIR_SHARE, i, 10, 2);
	for (int i = 0; i < 20; i++) {
		admit_pop(a, &user);
		team2_served += user == 2;
	}
	assert_in_range(team2_served, 9, 11);
	admit_free(a);
}

static void test_limits_and_eviction(void **state)
{
	struct admit *a = admit_new(CAP);
	struct admit_bounds b = {.total = 10, .team = 8};
	struct admit_request r = {
		.level = ADMIT_FAIR_SHARE, .weight = 1, .cost = 1};
	struct admit_result res;

	r.team = 1;
	for (int i = 0; i < 8; i++)
		assert_int_equal(admit_push(a, 0, &r, &b).err, ERR_OK);
	res = admit_push(a, 0, &r, &b);
	assert_int_equal(res.err, ERR_ADMIT_TEAM_FULL);
	assert_true(res.retry_after_ms > 0);
	r.team = 2;
	for (int i = 0; i < 2; i++)
		assert_int_equal(admit_push(a, 0, &r, &b).err, ERR_OK);
	/* Full: a request of the team with the most queued is evicted. */
	res = admit_push(a, 0, &r, &b);
	assert_int_equal(res.err, ERR_OK);
	assert_true(res.evicted);
	assert_int_equal(admit_count(a), 10);
	admit_free(a);
}

static void test_stalled_pool_refuses_until_progress(void **state)
{
	struct admit *a = admit_new(CAP);
	struct admit_request r = {.team = 1, .weight = 1, .cost = 1};

	assert_int_equal(admit_push(a, 0, &r, &no_limits).err, ERR_OK);
	assert_false(admit_stalled(a, ADMIT_STALL_MS - 1));
	assert_true(admit_stalled(a, ADMIT_STALL_MS));
	assert_int_equal(admit_push(a, ADMIT_STALL_MS, &r, &no_limits).err,
			 ERR_ADMIT_STALLED);
	admit_progress(a, ADMIT_STALL_MS, 1);
	assert_int_equal(admit_push(a, ADMIT_STALL_MS, &r, &no_limits).err,
			 ERR_OK);
	admit_free(a);
}

struct model {
	bool queued;
	admit_handle h;
	uint64_t team;
	int64_t deadline;
};

/* Whether a queued request of the same team has an earlier deadline. */
static bool model_has_earlier(const struct model *m, uint32_t n,
			      uint32_t popped)
{
	for (uint32_t i = 0; i < n; i++) {
		if (m[i].queued && i != popped && m[i].team == m[popped].team &&
		    m[i].deadline < m[popped].deadline)
			return true;
	}
	return false;
}

/* Random pushes, pops and cancels: no request is lost or returned twice, each
 * team's requests run by deadline, stale handles are refused. */
static void test_random_steps_match_model(void **state)
{
	static struct model m[STEPS];

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct rng rng = {seed};
		struct admit *a = admit_new(CAP);
		uint32_t n = 0;
		size_t queued = 0;

		for (int s = 0; s < STEPS; s++) {
			uint64_t step = rng_below(&rng, 5);
			uint32_t user = 0;

			if (step < 3 && queued < CAP - 1) {
				m[n] = (struct model){
					.queued = true,
					.team = 1 + rng_below(&rng, TEAMS),
					.deadline =
						(int64_t)rng_below(&rng, 1000),
				};
				m[n].h = push(a, m[n].team, ADMIT_FAIR_SHARE,
					      m[n].deadline, 1, n)
						 .h;
				n++;
				queued++;
			} else if (step == 3 && n > 0) {
				user = (uint32_t)rng_below(&rng, n);
				assert_int_equal(admit_cancel(a, m[user].h),
						 m[user].queued);
				queued -= m[user].queued;
				m[user].queued = false;
			} else if (admit_pop(a, &user)) {
				assert_true(m[user].queued);
				assert_false(model_has_earlier(m, n, user));
				m[user].queued = false;
				queued--;
			}
			assert_int_equal(admit_count(a), queued);
		}
		admit_free(a);
	}
	printf("seeds 1..%d, %d steps each\n", SEEDS, STEPS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_level_then_deadline_order),
		cmocka_unit_test(test_teams_share_by_cost),
		cmocka_unit_test(test_idle_team_gains_no_credit),
		cmocka_unit_test(test_limits_and_eviction),
		cmocka_unit_test(test_stalled_pool_refuses_until_progress),
		cmocka_unit_test(test_random_steps_match_model),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
