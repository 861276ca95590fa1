// Evidence against requests under which servers end, and evidence for them.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "suspect/suspect.h"

static struct suspects *t;

static int setup(void **state)
{
	t = suspects_new();
	return t ? 0 : -1;
}

static int teardown(void **state)
{
	suspects_free(t);
	return 0;
}

static struct suspect_id identity(const char *path, const char *body)
{
	const struct suspect_parts parts = {
		.method = "POST",
		.host = "h",
		.path = path,
		.query = "",
		.team = "t1",
		.body = body,
		.body_len = body ? strlen(body) : 0,
	};

	return suspect_identify(&parts);
}

static bool barred(struct suspect_id id, int64_t now)
{
	const struct suspect_entry *e = suspects_find(t, now, id);

	return e && e->barred_ms;
}

static void test_third_server_bars_a_request(void **state)
{
	struct suspect_id id = identity("/a", "x");

	assert_int_equal(suspects_ended(t, 10, id, "s1", 1, 10),
			 SUSPECT_COUNTED);
	assert_true(suspects_may_retry(t, 10, id));
	/* The same start of a server counts once, a new start again. */
	assert_int_equal(suspects_ended(t, 11, id, "s1", 1, 11), SUSPECT_SAME);
	assert_int_equal(suspects_ended(t, 20, id, "s1", 2, 20),
			 SUSPECT_COUNTED);
	assert_false(suspects_may_retry(t, 20, id));
	assert_false(barred(id, 20));
	assert_int_equal(suspects_ended(t, 30, id, "s2", 1, 30),
			 SUSPECT_BARRED);
	assert_true(barred(id, 30));
	assert_false(barred(identity("/a", "y"), 30));
	assert_false(barred(identity("/b", "x"), 30));
}

static void test_parts_of_an_identity_do_not_run_together(void **state)
{
	struct suspect_id a = identity("/ab", "c");

	assert_true(suspect_same(a, identity("/ab", "c")));
	assert_false(suspect_same(a, identity("/a", "bc")));
	assert_false(suspect_same(a, identity("/abc", NULL)));
	assert_true(a.low != 0);
}

/* Load pattern: a failure domain is lost while many callers ask the same. */
static void test_lost_domain_bars_no_request_that_was_answered(void **state)
{
	struct suspect_id common = identity("/rates", NULL);
	struct suspect_id once = identity("/book", "b1");

	suspects_answered(t, 500, common);
	for (int i = 0; i < 5; i++) {
		char server[8];

		snprintf(server, sizeof(server), "s%d", i);
		suspects_ended(t, 1000, common, server, 1, 1000);
	}
	suspects_ended(t, 1000, once, "s0", 1, 1000);
	suspects_ended(t, 1010, once, "s5", 1, 1010);
	assert_false(barred(common, 1010));
	assert_false(barred(once, 1010));
}

/* Load pattern: answers are lost or cut off, and the servers go on. */
static void test_server_that_answers_later_did_not_end(void **state)
{
	struct suspect_id id = identity("/a", "x");
	struct suspect_id changed[2];
	bool known;

	suspects_ended(t, 100, id, "s1", 1, 100);
	suspects_ended(t, 110, id, "s2", 1, 110);
	suspects_ended(t, 120, id, "s3", 1, 120);
	assert_true(barred(id, 120));
	/* Sent before it broke off, or to another start: no evidence. */
	assert_int_equal(suspects_outlived(t, "s1", 1, 90, changed, 2, &known),
			 0);
	assert_false(known);
	assert_int_equal(suspects_outlived(t, "s1", 2, 200, changed, 2, &known),
			 0);
	assert_int_equal(suspects_outlived(t, "s1", 1, 200, changed, 2, &known),
			 1);
	assert_true(known);
	assert_true(suspect_same(changed[0], id));
	assert_false(barred(id, 200));
	/* News from before that do not bar it again. */
	assert_int_equal(suspects_set_barred(t, 210, id, 120, 205),
			 SUSPECT_SAME);
	assert_int_equal(suspects_ended(t, 220, id, "s4", 1, 220),
			 SUSPECT_BARRED);
}

static void test_answer_clears_a_request(void **state)
{
	struct suspect_id id = identity("/a", "x");

	suspects_ended(t, 100, id, "s1", 1, 100);
	suspects_ended(t, 110, id, "s2", 1, 110);
	assert_int_equal(suspects_answered(t, 120, id), SUSPECT_CLEARED);
	assert_int_equal(suspects_answered(t, 121, id), SUSPECT_SAME);
	assert_int_equal(suspects_ended(t, 130, id, "s3", 1, 130),
			 SUSPECT_SAME);
	assert_int_equal(suspects_ended(t, 121 + SUSPECT_ANSWERED_MS, id, "s3",
					1, 121 + SUSPECT_ANSWERED_MS),
			 SUSPECT_COUNTED);
}

static void test_news_of_other_nodes_bar_and_clear(void **state)
{
	struct suspect_id id = identity("/a", "x");

	assert_int_equal(suspects_set_barred(t, 1000, id, 900, 950),
			 SUSPECT_BARRED);
	assert_true(barred(id, 1000));
	assert_int_equal(suspects_clear(t, 1100, id), SUSPECT_CLEARED);
	assert_false(barred(id, 1100));
	assert_int_equal(suspects_set_barred(t, 1200, id, 900, 1150),
			 SUSPECT_SAME);
	assert_int_equal(suspects_set_barred(t, 1300, id, 1250, 1250),
			 SUSPECT_BARRED);
}

/* Load pattern: servers end under requests that many callers send alike; a home, to which
 * no caller comes, knows of no answers. */
static void test_news_do_not_bar_what_was_answered_here(void **state)
{
	struct suspect_id id = identity("/rates", NULL);

	suspects_answered(t, 1000, id);
	assert_int_equal(suspects_set_barred(t, 2000, id, 1900, 1900),
			 SUSPECT_SAME);
	assert_true(suspects_answered_lately(t, 2000, id));
	assert_false(barred(id, 2000));
	assert_int_equal(suspects_set_barred(t, 1000 + SUSPECT_ANSWERED_MS, id,
					     1900, 5000),
			 SUSPECT_BARRED);
}

/* Nodes repeat to each other what they know; only a return renews it. */
static void test_request_forgotten_when_it_no_longer_comes(void **state)
{
	struct suspect_id id = identity("/a", "x");
	int64_t now;

	suspects_set_barred(t, 1000, id, 1000, 1000);
	for (now = 1000; now < 1000 + SUSPECT_KEEP_MS; now += 1000)
		suspects_set_barred(t, now, id, 1000, 1000);
	assert_false(barred(id, now));
	assert_int_equal(suspects_set_barred(t, now, id, 1000, 1000),
			 SUSPECT_SAME);
}

/* Load pattern: the worst caller sends a new body each time. */
static void test_many_suspects_do_not_evict_a_barred_one(void **state)
{
	struct suspect_id id = identity("/a", "x");
	size_t iter = 0;
	int n = 0;

	for (int i = 0; i < SUSPECT_SERVERS; i++) {
		char server[8];

		snprintf(server, sizeof(server), "s%d", i);
		suspects_ended(t, i, id, server, 1, i);
	}
	for (int i = 0; i < 3 * SUSPECT_ENTRIES_MAX; i++) {
		char body[16];

		snprintf(body, sizeof(body), "b%d", i);
		suspects_ended(t, 100 + i, identity("/a", body), "s9", 1,
			       100 + i);
	}
	assert_true(barred(id, 5000));
	while (suspects_next(t, &iter))
		n++;
	assert_int_equal(n, SUSPECT_ENTRIES_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_third_server_bars_a_request, setup, teardown),
		cmocka_unit_test(test_parts_of_an_identity_do_not_run_together),
		cmocka_unit_test_setup_teardown(
			test_lost_domain_bars_no_request_that_was_answered,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_server_that_answers_later_did_not_end, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_answer_clears_a_request,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_news_of_other_nodes_bar_and_clear, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_news_do_not_bar_what_was_answered_here, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_request_forgotten_when_it_no_longer_comes, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_many_suspects_do_not_evict_a_barred_one, setup,
			teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
