// A stream that broke off is resumed at another server whose answer is no continuation:
// nothing of that answer gets into the text, which becomes whole.
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
	BATCH_MS = 30000,
	CUT_AFTER = 2, ///< events; every text has three at least
	FAULTS = 12, ///< of the resumed runs of a batch
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

/* batch_read_all() compares each text with what the engines generate. */
static void assert_texts_whole(enum hosted_resume_reply reply, const char *id)
{
	json_t *seen;

	pthread_mutex_lock(&h.lock);
	h.cut_after = CUT_AFTER;
	h.resume_reply = reply;
	h.resume_faults_left = FAULTS;
	pthread_mutex_unlock(&h.lock);
	batch_submit(&ns, id, 0, 1);
	/* The later runs from the start are not cut. */
	usleep(700000);
	pthread_mutex_lock(&h.lock);
	h.cut_after = 0;
	pthread_mutex_unlock(&h.lock);
	seen = batch_read_all(&ns, id, clock_now_ms() + BATCH_MS);
	json_decref(seen);
	assert_int_equal(h.resume_faults_left, 0);
}

static void test_text_resumed_at_a_server_that_answers_404(void **state)
{
	assert_texts_whole(HOSTED_RESUME_404, "r404");
}

static void test_text_resumed_at_a_server_that_answers_500(void **state)
{
	assert_texts_whole(HOSTED_RESUME_500, "r500");
}

static void test_text_resumed_at_a_server_that_answers_a_page(void **state)
{
	assert_texts_whole(HOSTED_RESUME_PAGE, "rpage");
}

static void test_text_resumed_at_a_server_that_names_no_item(void **state)
{
	assert_texts_whole(HOSTED_RESUME_NO_ID, "rnoid");
}

static void test_text_resumed_at_a_server_that_sends_a_head_only(void **state)
{
	assert_texts_whole(HOSTED_RESUME_HEAD, "rhead");
}

static void test_text_resumed_from_another_event(void **state)
{
	assert_texts_whole(HOSTED_RESUME_OTHER_EVENT, "rother");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_text_resumed_at_a_server_that_answers_404),
		cmocka_unit_test(
			test_text_resumed_at_a_server_that_answers_500),
		cmocka_unit_test(
			test_text_resumed_at_a_server_that_answers_a_page),
		cmocka_unit_test(
			test_text_resumed_at_a_server_that_names_no_item),
		cmocka_unit_test(
			test_text_resumed_at_a_server_that_sends_a_head_only),
		cmocka_unit_test(test_text_resumed_from_another_event),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
