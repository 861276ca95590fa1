// Simulates 15 nodes in 3 failure domains with faults: accepted edits are in
// force within 3 s on nodes with contact, are never reverted, and nodes that
// may have missed an edit refuse keyed work.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "conf_net.h"

enum {
	SEEDS = 600,
	MUTANT_SEEDS = 40,
	RUN_MS = 30000,
	OUTAGE_MS = 600000,
};

static void run_seeds(struct net_opts opts, int seeds, struct net_result *res)
{
	for (int i = 1; i <= seeds; i++) {
		struct net_result before = *res;

		opts.seed = (uint64_t)i;
		net_run(&opts, res);
		if (opts.mutant == NET_MUTANT_NONE &&
		    (res->late_nodes != before.late_nodes ||
		     res->stale_served != before.stale_served ||
		     res->reverted != before.reverted ||
		     res->unconverged != before.unconverged))
			print_message("seed %d breaks a check\n", i);
	}
}

static void print_result(const char *name, const struct net_result *r)
{
	print_message("%s: edits %d late %d reverted %d stale %d "
		      "unconverged %d refused %d worst %lld ms\n",
		      name, r->edits, r->late_nodes, r->reverted,
		      r->stale_served, r->unconverged, r->refused_ticks,
		      (long long)r->max_stale_ms);
}

static void test_guarantees_hold_under_faults(void **state)
{
	struct net_opts opts = {.partitions = true,
				.outages = true,
				.restarts = true,
				.run_ms = RUN_MS};
	struct net_result r = {0};

	run_seeds(opts, SEEDS, &r);
	print_result("faults", &r);
	assert_true(r.edits > SEEDS);
	assert_int_equal(r.late_nodes, 0);
	assert_int_equal(r.reverted, 0);
	assert_int_equal(r.stale_served, 0);
	assert_int_equal(r.unconverged, 0);
}

static void test_no_faults_no_refusals(void **state)
{
	struct net_opts opts = {.run_ms = RUN_MS};
	struct net_result r = {0};

	run_seeds(opts, 100, &r);
	print_result("calm", &r);
	for (int i = 0; i < 16; i++)
		print_message("everywhere within %d ms: %lld edits\n",
			      (i + 1) * 250, (long long)r.lag_ms_hist[i]);
	assert_int_equal(r.late_nodes, 0);
	assert_int_equal(r.refused_ticks, 0);
}

static void test_ten_minute_store_outage_refuses_nothing(void **state)
{
	struct net_opts opts = {.run_ms = OUTAGE_MS + 30000,
				.outage_ms = OUTAGE_MS};
	struct net_result r = {0};

	run_seeds(opts, 5, &r);
	print_result("ten minutes without the store", &r);
	assert_int_equal(r.refused_ticks, 0);
	assert_int_equal(r.unconverged, 0);
}

/// Each deliberate bug fails one of the checks above.
static void test_each_mutant_fails_a_check(void **state)
{
	struct net_opts opts = {.partitions = true,
				.outages = true,
				.restarts = true,
				.run_ms = RUN_MS};
	struct net_result r[NET_MUTANT_IGNORE_CUT_OFF + 1] = {0};

	for (int m = NET_MUTANT_NO_PEERS; m <= NET_MUTANT_IGNORE_CUT_OFF; m++) {
		opts.mutant = (enum net_mutant)m;
		run_seeds(opts, MUTANT_SEEDS, &r[m]);
	}
	print_result("without peers", &r[NET_MUTANT_NO_PEERS]);
	print_result("a reply counts as fresh", &r[NET_MUTANT_REPLY_IS_FRESH]);
	print_result("the last document wins", &r[NET_MUTANT_LAST_DOC_WINS]);
	print_result("serves keyed work while cut off",
		     &r[NET_MUTANT_IGNORE_CUT_OFF]);
	assert_true(r[NET_MUTANT_NO_PEERS].late_nodes > 0);
	assert_true(r[NET_MUTANT_REPLY_IS_FRESH].stale_served > 0);
	assert_true(r[NET_MUTANT_LAST_DOC_WINS].reverted > 0);
	assert_true(r[NET_MUTANT_IGNORE_CUT_OFF].stale_served > 0);
}

static uint64_t watched_after;
static int n_rejections;

static void record_watch(void *ctx, uint64_t after, int64_t wait_ms)
{
	watched_after = after;
}

static void count_rejection(void *ctx, const char *from, enum err e)
{
	n_rejections++;
}

static void ignore_call(void *ctx)
{
}

static void ignore_send(void *ctx, const char *to, const struct conf_msg *m)
{
}

/// Damaged and older documents in the store don't replace or confirm the one in
/// force, and delay the next watch by 1 s.
static void test_rejected_document_confirms_nothing(void **state)
{
	static const struct conf_sync_ops ops = {record_watch, ignore_call,
						 ignore_send, ignore_call,
						 count_rejection};
	static const char *const texts[] = {"", "{\"rev\":9,", "[]",
					    "{\"rev\":4}"};
	struct conf_sync_opts opts = {"n1", "d1", 1, &ops, NULL};
	struct conf_sync_kv_result kv = {
		.asked_ms = 1000, .text = "{\"rev\":5}", .len = 9, .kv_rev = 7};
	struct conf_sync *s;

	assert_int_equal(conf_sync_new(&opts, &s), ERR_OK);
	conf_sync_on_kv(s, 1000, &kv);
	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		kv.asked_ms = 2000;
		kv.text = texts[i];
		kv.len = strlen(texts[i]);
		kv.kv_rev = 8;
		conf_sync_on_kv(s, 2000, &kv);
		assert_int_equal(n_rejections, i + 1);
	}
	assert_int_equal(conf_rev(conf_sync_doc(s)), 5);
	assert_int_equal(conf_sync_age_ms(s, 2000), 1000);
	conf_sync_tick(s, 2500);
	assert_int_equal(watched_after, 0); /* not before 3000 ms */
	conf_sync_tick(s, 3100);
	assert_int_equal(watched_after, 7);
	conf_sync_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_guarantees_hold_under_faults),
		cmocka_unit_test(test_no_faults_no_refusals),
		cmocka_unit_test(test_ten_minute_store_outage_refuses_nothing),
		cmocka_unit_test(test_each_mutant_fails_a_check),
		cmocka_unit_test(test_rejected_document_confirms_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
