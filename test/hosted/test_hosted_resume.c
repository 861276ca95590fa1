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
	CUT_US = 700000, ///< after that, runs from the start are not cut
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

/* batch_read_all() compares each text with what the engines generate; the id of the batch
 * names the row that failed. */
static void test_text_resumed_where_it_is_not_continued(void **state)
{
	static const char *const batches[HOSTED_RESUME_REPLIES] = {
		[HOSTED_RESUME_404] = "r404",
		[HOSTED_RESUME_500] = "r500",
		[HOSTED_RESUME_PAGE] = "rpage",
		[HOSTED_RESUME_NO_ID] = "rnoid",
		[HOSTED_RESUME_HEAD] = "rhead",
		[HOSTED_RESUME_OTHER_EVENT] = "rother",
	};

	for (int i = HOSTED_RESUME_404; i < HOSTED_RESUME_REPLIES; i++) {
		pthread_mutex_lock(&h.lock);
		h.cut_after = CUT_AFTER;
		h.resume_reply = (enum hosted_resume_reply)i;
		h.resume_faults_left = FAULTS;
		pthread_mutex_unlock(&h.lock);
		batch_submit(&ns, batches[i], 0, 1);
		usleep(CUT_US);
		pthread_mutex_lock(&h.lock);
		h.cut_after = 0;
		pthread_mutex_unlock(&h.lock);
		json_decref(batch_read_all(&ns, batches[i],
					   clock_now_ms() + BATCH_MS));
		assert_int_equal(h.resume_faults_left, 0);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_text_resumed_where_it_is_not_continued),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
