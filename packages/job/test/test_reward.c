// Reward calls of a batch's items: phases, retries and outcomes, and what survives a
// takeover of the batch.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "job/job_list.h"
#include "job/job_run.h"
#include "job/job_texts.h"
#include "job/response_times.h"
#include "reward_batch.h"

enum {
	ITEMS = 6,
	GROUP_SIZE = 2,
	MAX_FAILURES = 4,
	LONG_EVENTS = 20, ///< events of a text that is worth saving
};

struct fixture {
	struct job_spec *spec;
	struct job_run *run;
};

static int setup(void **state)
{
	struct fixture *f = calloc(1, sizeof(*f));

	f->spec = reward_spec_new(ITEMS, GROUP_SIZE);
	f->run = reward_run_new(f->spec, false);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	job_run_free(f->run);
	job_spec_free(f->spec);
	free(f);
	return 0;
}

static void test_result_is_written_only_with_a_score(void **state)
{
	struct fixture *f = *state;
	struct job_result out[ITEMS];

	assert_int_equal(job_run_next_reward(f->run, 0), -1);
	reward_generate_item(f->run, 3, 1, 10);
	assert_int_equal(job_run_phase(f->run, 3), JOB_GENERATED);
	assert_int_equal(job_run_flush(f->run, 5000, true, SIZE_MAX, out), 0);
	assert_int_equal(job_run_next_reward(f->run, 10), 3);
	job_run_reward_sent(f->run, 3);
	assert_int_equal(job_run_next_reward(f->run, 10), -1);
	assert_int_equal(job_run_flush(f->run, 5000, true, SIZE_MAX, out), 0);
	job_run_reward_ended(f->run, 3, 200, JOB_REWARD_SCORED, MAX_FAILURES,
			     "seal-3");
	assert_int_equal(job_run_flush(f->run, 200, true, SIZE_MAX, out), 1);
	assert_int_equal(out[0].state, JOB_COMPLETED);
	assert_string_equal(out[0].score, "seal-3");
}

/* The late answer of a call that was given up on changes nothing. */
static void test_late_reward_answer_is_ignored(void **state)
{
	struct fixture *f = *state;
	struct job_result out[ITEMS];

	reward_generate_item(f->run, 0, 1, 0);
	job_run_reward_ended(f->run, 0, 5, JOB_REWARD_SCORED, MAX_FAILURES,
			     "early");
	assert_int_equal(job_run_phase(f->run, 0), JOB_GENERATED);
	job_run_reward_sent(f->run, 0);
	job_run_reward_ended(f->run, 0, 10, JOB_REWARD_UNANSWERED, MAX_FAILURES,
			     NULL);
	job_run_reward_ended(f->run, 0, 20, JOB_REWARD_SCORED, MAX_FAILURES,
			     "late");
	assert_int_equal(job_run_phase(f->run, 0), JOB_GENERATED);
	assert_int_equal(job_run_flush(f->run, 5000, true, SIZE_MAX, out), 0);
}

static void end_reward_call(struct job_run *r, int item, int64_t now,
			    enum job_reward_outcome outcome)
{
	job_run_reward_sent(r, item);
	job_run_reward_ended(r, item, now, outcome, MAX_FAILURES, NULL);
}

static void test_only_failed_reward_calls_abandon_item(void **state)
{
	struct fixture *f = *state;
	struct job_result out[ITEMS];
	int64_t now = 0;

	reward_generate_item(f->run, 2, 1, 0);
	for (int i = 0; i < 50; i++)
		end_reward_call(f->run, 2, now += 1000,
				i % 2 ? JOB_REWARD_UNANSWERED
				      : JOB_REWARD_NOT_RUN);
	for (int i = 1; i < MAX_FAILURES; i++)
		end_reward_call(f->run, 2, now += 1000, JOB_REWARD_FAILED);
	assert_int_equal(job_run_phase(f->run, 2), JOB_GENERATED);
	end_reward_call(f->run, 2, now += 1000, JOB_REWARD_FAILED);
	assert_int_equal(job_run_flush(f->run, now, true, SIZE_MAX, out), 1);
	assert_int_equal(out[0].state, JOB_ABANDONED);
	assert_null(out[0].score);
}

static void test_unscored_item_abandoned_at_give_up_time(void **state)
{
	struct fixture *f = *state;
	struct job_result out[ITEMS];

	reward_generate_item(f->run, 1, 1, 0);
	assert_int_equal(job_run_next_reward(f->run, REWARD_GIVE_UP_MS), -1);
	assert_int_equal(
		job_run_flush(f->run, REWARD_GIVE_UP_MS, true, SIZE_MAX, out),
		1);
	assert_int_equal(out[0].state, JOB_ABANDONED);
}

/* The delay grows with each failed call, so that items whose calls always fail leave
 * the servers' slots to others. */
static void test_failed_reward_calls_back_off(void **state)
{
	struct fixture *f = *state;
	int64_t waits[3];

	reward_generate_item(f->run, 0, 1, 0);
	for (int i = 0; i < 3; i++) {
		int64_t now = 1000 * (i + 1);

		end_reward_call(f->run, 0, now, JOB_REWARD_FAILED);
		waits[i] = 0;
		while (job_run_next_reward(f->run, now + waits[i]) < 0)
			waits[i]++;
	}
	assert_true(waits[0] > 0 && waits[1] > waits[0] && waits[2] > waits[1]);
}

/* A group that only misses rewards goes before one with texts to generate. */
static void test_group_nearest_completion_scored_first(void **state)
{
	struct fixture *f = *state;

	reward_generate_item(f->run, 0, 1, 0);
	reward_generate_item(f->run, 4, 1, 10);
	reward_generate_item(f->run, 5, 1, 20);
	assert_int_equal(job_run_next_reward(f->run, 30), 0);
	/* After one score this group misses one sample, the other two. */
	job_run_reward_sent(f->run, 4);
	job_run_reward_ended(f->run, 4, 30, JOB_REWARD_SCORED, MAX_FAILURES,
			     "s");
	assert_int_equal(job_run_next_reward(f->run, 30), 5);
}

/* A call without a server, as when its route was removed, must not block others. */
static void test_postponed_reward_does_not_block_others(void **state)
{
	struct fixture *f = *state;

	reward_generate_item(f->run, 0, 1, 0);
	reward_generate_item(f->run, 2, 1, 10);
	assert_int_equal(job_run_next_reward(f->run, 20), 0);
	job_run_reward_postpone(f->run, 0, 20);
	assert_int_equal(job_run_next_reward(f->run, 20), 2);
	job_run_reward_sent(f->run, 2);
	assert_int_equal(job_run_next_reward(f->run, 20), -1);
	assert_int_equal(job_run_next_reward(f->run, 100), 0);
}

static struct job_run *take_over_run(struct fixture *f, bool one_version,
				     int *n)
{
	struct job_run *next = reward_run_new(f->spec, one_version);
	char *value = job_texts_encode(f->run, f->spec, 1 << 20);

	assert_non_null(value);
	assert_int_equal(job_texts_decode(next, value, strlen(value), n),
			 ERR_OK);
	free(value);
	return next;
}

/* The owner is lost between text and score: no text is generated again, no result is
 * written without a score, and an existing score is kept. */
static void test_takeover_between_text_and_score(void **state)
{
	struct fixture *f = *state;
	struct job_result out[ITEMS];
	struct job_run *next;
	int n;

	reward_generate_item(f->run, 0, 1, 0);
	reward_generate_item(f->run, 1, LONG_EVENTS, 0);
	job_run_reward_sent(f->run, 1);
	reward_generate_item(f->run, 2, 3, 0);
	job_run_reward_sent(f->run, 2);
	job_run_reward_ended(f->run, 2, 10, JOB_REWARD_SCORED, MAX_FAILURES,
			     "seal-2");
	next = take_over_run(f, false, &n);
	assert_int_equal(n, 3);
	assert_int_equal(job_run_phase(next, 0), JOB_GENERATED);
	assert_int_equal(job_run_phase(next, 1), JOB_GENERATED);
	assert_int_equal(job_run_phase(next, 2), JOB_FINISHED);
	assert_int_equal(job_run_flush(next, 10, true, SIZE_MAX, out), 1);
	assert_string_equal(out[0].id, "i2");
	assert_string_equal(out[0].score, "seal-2");
	job_run_free(next);
	/* With one_version, complete texts are kept as well. */
	next = take_over_run(f, true, &n);
	assert_int_equal(n, 3);
	job_run_free(next);
}

static void test_record_preserves_scores(void **state)
{
	const struct job_result r[] = {
		{.id = "a", .text = "x", .text_len = 1, .score = "seal"},
		{.id = "b", .text = "y", .text_len = 1},
	};
	char *text = job_record_encode("w", r, 2);
	struct job_list l;

	job_list_init(&l);
	assert_int_equal(job_list_add(&l, 0, text, strlen(text)), ERR_OK);
	assert_string_equal(l.results[0].score, "seal");
	assert_null(l.results[1].score);
	job_list_free(&l);
	free(text);
}

static void test_timeout_follows_recent_response_times(void **state)
{
	struct response_times p = {0};

	/* Too few answers are known. */
	assert_int_equal(response_timeout_ms(&p, 0, 800, 3000), 1600);
	for (int i = 0; i < RESPONSE_TIMES_MAX; i++)
		response_times_add(&p, 200);
	assert_int_equal(response_timeout_ms(&p, 0, 800, 3000), 800);
	/* A third of the servers turns slow: the timeout covers them. */
	for (int i = 0; i < RESPONSE_TIMES_MAX; i++)
		response_times_add(&p, i % 3 ? 200 : 760);
	assert_int_equal(response_timeout_ms(&p, 0, 800, 3000), 3 * 760);
	assert_int_equal(response_timeout_ms(&p, 0, 800, 1000), 1000);
	/* The timeout doubles after an unanswered call. */
	assert_int_equal(response_timeout_ms(&p, 1, 800, 3000), 3000);
	assert_int_equal(response_timeout_ms(&p, 1, 800, 9000), 6 * 760);
	/* The servers have recovered. */
	for (int i = 0; i < RESPONSE_TIMES_MAX; i++)
		response_times_add(&p, 200);
	assert_int_equal(response_timeout_ms(&p, 0, 800, 3000), 800);
}

static void test_few_servers_are_retried(void **state)
{
	uint32_t tried[JOB_REWARD_TRIED_MAX] = {0};

	for (uint32_t s = 1; s <= JOB_REWARD_TRIED_MAX + 2; s++)
		job_reward_tried_add(tried, s);
	assert_int_equal(tried[0], JOB_REWARD_TRIED_MAX + 2);
	assert_int_equal(tried[JOB_REWARD_TRIED_MAX - 1], 3);
	assert_int_equal(job_reward_avoid_count(0), 0);
	assert_int_equal(job_reward_avoid_count(1), 0);
	assert_int_equal(job_reward_avoid_count(2), 1);
	assert_int_equal(job_reward_avoid_count(100), JOB_REWARD_TRIED_MAX);
}

#define REWARD_TEST(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		REWARD_TEST(test_result_is_written_only_with_a_score),
		REWARD_TEST(test_late_reward_answer_is_ignored),
		REWARD_TEST(test_only_failed_reward_calls_abandon_item),
		REWARD_TEST(test_unscored_item_abandoned_at_give_up_time),
		REWARD_TEST(test_failed_reward_calls_back_off),
		REWARD_TEST(test_group_nearest_completion_scored_first),
		REWARD_TEST(test_postponed_reward_does_not_block_others),
		REWARD_TEST(test_takeover_between_text_and_score),
		cmocka_unit_test(test_few_servers_are_retried),
		cmocka_unit_test(test_record_preserves_scores),
		cmocka_unit_test(test_timeout_follows_recent_response_times),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
