// Samples that need a reward, on the fake platform: which responses are accepted,
// and what survives the loss of a node.
#include <setjmp.h>
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
	BATCH_MS = 30000, ///< for a batch to complete, with a lost node
	ATTEMPTS = 4, ///< max_attempts of the reward route
	FAULTY_CALLS = 5, ///< calls that get a faulty response
	REJECT_ALL = 1000000, ///< more calls than are sent before a reset
};

static struct hosted h;
static struct nodes ns;

static int setup(void **state)
{
	return hosted_start(&h) && nodes_start_default(&ns, &h) ? 0 : -1;
}

static int teardown(void **state)
{
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

static void set_reward_reply(enum hosted_reward_reply reply, int calls)
{
	pthread_mutex_lock(&h.lock);
	h.reward_reply = reply;
	h.reward_faults_left = calls;
	pthread_mutex_unlock(&h.lock);
}

static int reward_run_count(const char *batch, int item)
{
	char id[80];

	snprintf(id, sizeof(id), "R%s.%d", batch, item);
	return hosted_run_count(&h, id);
}

static void check_calls(void)
{
	int early, wrong;

	pthread_mutex_lock(&h.lock);
	early = h.early_rewards;
	wrong = h.wrong_rewards;
	pthread_mutex_unlock(&h.lock);
	assert_int_equal(early, 0);
	assert_int_equal(wrong, 0);
}

static void test_rewards_scored_once(void **state)
{
	json_t *seen;

	batch_submit(&ns, "s1", 0, 1);
	seen = batch_read_all(&ns, "s1", clock_now_ms() + BATCH_MS);
	batch_assert_same_results(&ns, "s1", seen);
	for (int i = 0; i < BATCH_ITEMS; i++)
		assert_int_equal(reward_run_count("s1", i), i % 2);
	check_calls();
	json_decref(seen);
}

/* A call that always fails is abandoned after max_attempts of its route. */
static void test_failing_reward_abandoned(void **state)
{
	batch_submit(&ns, "F1", 0, 1);
	json_decref(batch_read_all(&ns, "F1", clock_now_ms() + BATCH_MS));
	assert_int_equal(reward_run_count("F1", 1), ATTEMPTS);
	check_calls();
}

/* An item whose reward matches no route waits; all others are listed. */
static void test_unroutable_reward_waits(void **state)
{
	int64_t until = clock_now_ms() + BATCH_MS;
	size_t n = 0;

	batch_submit(&ns, "N1", 0, 1);
	while (n < BATCH_ITEMS - 1 && clock_now_ms() < until) {
		json_t *page = read_results(&ns, 0, "N1", 0);
		const json_t *results = json_object_get(page, "results");

		n = json_array_size(results);
		for (size_t i = 0; i < n; i++)
			assert_null(hosted_check_result(
				json_array_get(results, i), "N1"));
		json_decref(page);
	}
	assert_int_equal(n, BATCH_ITEMS - 1);
	check_calls();
}

/* Responses that must not be accepted: another call gets each item's score. */
static void test_invalid_responses_not_accepted(void **state)
{
	static const enum hosted_reward_reply replies[] = {
		HOSTED_REWARD_REJECTED,	 HOSTED_REWARD_DROPPED,
		HOSTED_REWARD_TRUNCATED, HOSTED_REWARD_WRONG_ID,
		HOSTED_REWARD_UNSEALED,	 HOSTED_REWARD_DELAYED,
	};

	for (size_t i = 0; i < sizeof(replies) / sizeof(replies[0]); i++) {
		char id[16];
		int left;

		snprintf(id, sizeof(id), "odd%zu", i);
		set_reward_reply(replies[i], FAULTY_CALLS);
		batch_submit(&ns, id, (int)i % NODES_ENTRY, 1);
		json_decref(batch_read_all(&ns, id, clock_now_ms() + BATCH_MS));
		pthread_mutex_lock(&h.lock);
		left = h.reward_faults_left;
		pthread_mutex_unlock(&h.lock);
		assert_int_equal(left, 0);
	}
	check_calls();
}

/* Whether the store has a complete text for every item that needs a reward. */
static bool complete_texts_saved(void *ctx)
{
	char *value = hosted_get_value(&h, "catkin/texts/k1");
	json_t *arr = value ? json_loads(value, 0, NULL) : NULL;
	size_t n = 0;

	for (size_t i = 0; i < json_array_size(arr); i++)
		n += json_is_true(
			json_object_get(json_array_get(arr, i), "whole"));
	json_decref(arr);
	free(value);
	return n == BATCH_ITEMS / 2;
}

/* The owner is killed while no reward call has succeeded: no text is generated again,
 * and no sample is listed without its score. */
static void test_owner_loss_keeps_texts(void **state)
{
	int owner;

	set_reward_reply(HOSTED_REWARD_REJECTED, REJECT_ALL);
	batch_submit(&ns, "k1", 0, 1);
	assert_true(wait_until(complete_texts_saved, NULL, BATCH_MS));
	owner = batch_owner(&ns, "k1");
	assert_in_range(owner, 0, NODES - 1);
	proc_kill(&ns.list[owner].proc);
	set_reward_reply(HOSTED_REWARD_OK, 0);
	assert_true(node_start(&ns, owner));
	json_decref(batch_read_all(&ns, "k1", clock_now_ms() + BATCH_MS));
	for (int i = 1; i < BATCH_ITEMS; i += 2) {
		char id[32];

		snprintf(id, sizeof(id), "k1.%d", i);
		assert_int_equal(hosted_run_count(&h, id), 1);
	}
	check_calls();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rewards_scored_once),
		cmocka_unit_test(test_failing_reward_abandoned),
		cmocka_unit_test(test_unroutable_reward_waits),
		cmocka_unit_test(test_invalid_responses_not_accepted),
		cmocka_unit_test(test_owner_loss_keeps_texts),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
