// Answers without length and chunks whose connection is closed too early: a text is not
// listed without its last events, nor a score of a response that was cut.
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
	BATCH_MS = 30000,
	CUT_AFTER = 2, ///< events; every text has three at least
	FAULTY_CALLS = 5, ///< reward calls that get a cut response
};

static struct hosted h;
static struct nodes ns;

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	h.event_ms = 5;
	return nodes_start_default(&ns, &h) ? 0 : -1;
}

static int teardown(void **state)
{
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

/* Results of a batch that are not what the servers generated. */
static int count_wrong_results(const char *batch)
{
	int64_t until_ms = clock_now_ms() + BATCH_MS;
	json_t *page = NULL;
	int wrong = 0;

	do {
		json_decref(page);
		page = read_results(&ns, 0, batch, 0);
	} while (json_array_size(json_object_get(page, "results")) <
			 BATCH_ITEMS &&
		 clock_now_ms() < until_ms);
	assert_int_equal(json_array_size(json_object_get(page, "results")),
			 BATCH_ITEMS);
	for (size_t i = 0; i < BATCH_ITEMS; i++) {
		json_t *r = json_array_get(json_object_get(page, "results"), i);
		const char *error = hosted_check_result(r, batch);
		char *text;

		if (!error)
			continue;
		wrong++;
		text = json_dumps(r, JSON_COMPACT);
		print_message("%s: %s\n", error, text);
		free(text);
	}
	json_decref(page);
	return wrong;
}

static void test_stream_closed_between_events_not_completed(void **state)
{
	int wrong;

	pthread_mutex_lock(&h.lock);
	h.cut_after = CUT_AFTER;
	h.unframed_cuts = true;
	pthread_mutex_unlock(&h.lock);
	batch_submit(&ns, "u1", 0, 1);
	wrong = count_wrong_results("u1");
	pthread_mutex_lock(&h.lock);
	h.cut_after = 0;
	h.unframed_cuts = false;
	pthread_mutex_unlock(&h.lock);
	assert_int_equal(wrong, 0);
}

static void test_cut_reward_response_gives_no_score(void **state)
{
	pthread_mutex_lock(&h.lock);
	h.reward_reply = HOSTED_REWARD_UNFRAMED;
	h.reward_faults_left = FAULTY_CALLS;
	pthread_mutex_unlock(&h.lock);
	batch_submit(&ns, "u2", 0, 1);
	assert_int_equal(count_wrong_results("u2"), 0);
	assert_int_equal(h.reward_faults_left, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_stream_closed_between_events_not_completed),
		cmocka_unit_test(test_cut_reward_response_gives_no_score),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
