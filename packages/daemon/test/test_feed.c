// Feed of a prefix, on a virtual clock and a simulated store.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "site/feed.h"

enum {
	REFRESH_MS = 600,
	OVERDUE_MS = 1200,
	CALLS = 8,
	HELD_MS = 300, ///< between two responses of a relay
	WATCH_MS = 5000, ///< simulated time
};

enum asked {
	ASKED_LIST,
	ASKED_WATCH,
	ASKED_CONFIRM,
};

struct call {
	enum asked what;
	int64_t wait_ms;
	struct kv_cb cb;
};

static int64_t now;
static int64_t vain_ms; ///< of kv_vain_since()
static struct call calls[CALLS]; ///< in flight, newest last
static int n_calls;
static int n_begun;
static char known[CALLS][16]; ///< keys reported by the feed
static int n_known;
static int n_listed;
static struct feed f;

/* Stubs of the modules below the feed. */
int64_t core_now(const struct core *c)
{
	return now;
}

static enum err begin(enum asked what, int64_t wait_ms, struct kv_cb cb)
{
	assert_true(n_calls < CALLS);
	calls[n_calls++] = (struct call){what, wait_ms, cb};
	n_begun++;
	return ERR_OK;
}

enum err kv_list_from(struct core *c, const char *prefix, const char *from,
		      struct kv_cb cb)
{
	return begin(ASKED_LIST, 0, cb);
}

enum err kv_watch(struct core *c, const char *prefix, uint64_t after,
		  int64_t wait_ms, struct kv_cb cb)
{
	return begin(ASKED_WATCH, wait_ms, cb);
}

int64_t kv_vain_since(struct core *c)
{
	return vain_ms;
}

enum err kv_confirm(struct core *c, const char *prefix, uint64_t after,
		    int64_t wait_ms, struct kv_cb cb)
{
	return begin(ASKED_CONFIRM, wait_ms, cb);
}

static void on_begin(struct core *c, void *ctx)
{
	n_known = 0;
}

static void on_item(struct core *c, void *ctx, const struct kv_item *item)
{
	strcpy(known[n_known++], item->key);
}

static void on_gone(struct core *c, void *ctx, const char *key)
{
	int at = 0;

	while (at < n_known && strcmp(known[at], key) != 0)
		at++;
	if (at < n_known)
		memmove(known[at], known[at + 1],
			sizeof(known[0]) * (size_t)(--n_known - at));
}

static void on_listed(struct core *c, void *ctx)
{
	n_listed++;
}

static const struct feed_ops ops = {
	.begin = on_begin,
	.item = on_item,
	.gone = on_gone,
	.listed = on_listed,
};

/* Answer a call and remove it. */
static void answer(int at, const struct kv_result *res)
{
	struct call call = calls[at];

	memmove(&calls[at], &calls[at + 1],
		(size_t)(--n_calls - at) * sizeof(call));
	call.cb.fn(NULL, call.cb.ctx, res);
}

static void pass(int64_t ms)
{
	for (int64_t end = now + ms; now < end; now += 20)
		feed_step(NULL, &f);
}

static int setup(void **state)
{
	const struct feed_opts opts = {
		.prefix = "servers/",
		.refresh_ms = REFRESH_MS,
		.told_ms = OVERDUE_MS,
		.overdue_ms = OVERDUE_MS,
		.pause_ms = REFRESH_MS,
		.ops = &ops,
	};
	const struct kv_item a = {.key = "servers/a", .value = "", .rev = 90};
	const struct kv_result list = {
		.err = ERR_OK, .rev = 100, .items = &a, .n_items = 1};

	now = 10000;
	vain_ms = 0;
	n_calls = n_begun = n_known = n_listed = 0;
	feed_init(&f, &opts);
	feed_step(NULL, &f);
	assert_int_equal(calls[0].what, ASKED_LIST);
	answer(0, &list);
	feed_step(NULL, &f);
	assert_int_equal(calls[0].what, ASKED_WATCH);
	return 0;
}

static int teardown(void **state)
{
	feed_free(&f);
	return 0;
}

static const struct kv_result quiet = {.err = ERR_OK, .rev = 100};

/* A watch's connection hangs while new ones work. */
static void test_hung_watch_is_given_up_on(void **state)
{
	pass(OVERDUE_MS);
	assert_int_equal(n_calls, 1);
	pass(40);
	assert_int_equal(n_calls, 2);
	assert_int_equal(calls[1].what, ASKED_CONFIRM);
	now += calls[1].wait_ms;
	answer(1, &quiet);
	assert_true(feed_age(NULL, &f) < REFRESH_MS);
	/* The next watch waits; the hung one's response is ignored. */
	assert_int_equal(calls[1].what, ASKED_WATCH);
	answer(0, &(struct kv_result){.err = ERR_KV_UNKNOWN});
	assert_int_equal(f.failures, 0);
}

/* Calls are answered in time: one per refresh, none abandoned. */
static void test_quiet_store(void **state)
{
	int begun = n_begun;

	for (int64_t end = now + WATCH_MS; now < end;) {
		pass(calls[0].wait_ms);
		answer(0, &quiet);
		assert_true(feed_age(NULL, &f) <= 20);
	}
	assert_in_range(n_begun - begun, 1, WATCH_MS / REFRESH_MS + 2);
}

/* Constant changes cause no more than one call per refresh. */
static void test_burst_of_changes(void **state)
{
	const struct kv_item a = {.key = "servers/a", .value = "", .rev = 101};
	int begun = n_begun;

	for (int64_t end = now + WATCH_MS; now < end;) {
		struct kv_result change = {.err = ERR_OK,
					   .rev = f.rev + 1,
					   .items = &a,
					   .n_items = 1};

		n_known = 0;
		answer(0, &change);
		while (!n_calls)
			pass(20);
	}
	assert_in_range(n_begun - begun, 1, WATCH_MS / REFRESH_MS + 2);
}

/* The store can't be reached: no further calls on new connections. Once it is back,
 * the data is confirmed at once even if older calls still hang. */
static void test_outage_and_return(void **state)
{
	pass(OVERDUE_MS + 20);
	assert_int_equal(calls[1].what, ASKED_CONFIRM);
	vain_ms = now;
	answer(1, &(struct kv_result){.err = ERR_KV_UNKNOWN});
	pass(REFRESH_MS);
	assert_int_equal(calls[n_calls - 1].what, ASKED_WATCH);
	vain_ms = 0;
	feed_renew(&f);
	feed_step(NULL, &f);
	assert_int_equal(calls[n_calls - 1].what, ASKED_CONFIRM);
	now += calls[n_calls - 1].wait_ms;
	answer(n_calls - 1, &quiet);
	assert_true(feed_age(NULL, &f) <= 20);
}

static void tell(uint64_t after, uint64_t rev, int64_t as_of_ms,
		 const char *const *deleted)
{
	const struct feed_news news = {
		.from = "relay",
		.after = after,
		.rev = rev,
		.as_of_ms = as_of_ms,
		.deleted = deleted,
		.n_deleted = deleted ? 1 : 0,
	};

	feed_take(NULL, &f, &news);
}

/* A relay answers, but its data grows old: the store is called once it is overdue. */
static void test_relay_that_hangs(void **state)
{
	int64_t as_of;
	int begun;

	answer(0, &quiet);
	answer(0, &(struct kv_result){.err = ERR_KV_UNKNOWN});
	f.quiet = true;
	begun = n_begun;
	for (int i = 0; i < 10; i++) {
		tell(100, 100, now, NULL);
		pass(HELD_MS);
	}
	assert_int_equal(n_begun, begun);
	as_of = now;
	while (n_begun == begun) {
		tell(100, 100, as_of, NULL);
		pass(20);
	}
	assert_int_equal(calls[0].what, ASKED_CONFIRM);
	assert_in_range(now - as_of, OVERDUE_MS, OVERDUE_MS + 40);
}

/* An own watch is answered after a relay reported the deletion of the entry. */
static void test_late_answer_revives_nothing(void **state)
{
	static const char *const gone[] = {"servers/a"};
	const struct kv_item a = {.key = "servers/a", .value = "", .rev = 105};
	const struct kv_result late = {
		.err = ERR_OK, .rev = 105, .items = &a, .n_items = 1};

	assert_int_equal(n_known, 1);
	tell(100, 110, now, gone);
	assert_int_equal(n_known, 0);
	answer(0, &late);
	assert_int_equal(n_known, 0);
	assert_int_equal(f.rev, 110);
}

/* A relay answers after an own watch got newer data. */
static void test_late_relay_undoes_nothing(void **state)
{
	static const char *const gone[] = {"servers/a"};
	const struct kv_item b = {.key = "servers/b", .value = "", .rev = 120};
	const struct kv_result change = {
		.err = ERR_OK, .rev = 120, .items = &b, .n_items = 1};
	const struct feed_news older = {
		.from = "relay", .full = true, .after = 120, .rev = 110};

	answer(0, &change);
	assert_int_equal(n_known, 2);
	tell(100, 110, now, gone);
	assert_int_equal(n_known, 2);
	feed_take(NULL, &f, &older);
	assert_int_equal(n_known, 2);
	assert_int_equal(f.rev, 120);
}

/* A page of an own list arrives after a relay's full list: it is ignored. */
static void test_page_that_was_overtaken(void **state)
{
	const struct kv_item a = {.key = "servers/a", .value = "", .rev = 130};
	const struct kv_item z = {.key = "servers/z", .value = "", .rev = 90};
	const struct kv_result page = {.err = ERR_OK,
				       .rev = 131,
				       .more = true,
				       .items = &a,
				       .n_items = 1};
	const struct kv_result last = {
		.err = ERR_OK, .rev = 131, .items = &z, .n_items = 1};
	const struct feed_news all = {.from = "relay",
				      .full = true,
				      .rev = 140,
				      .items = &a,
				      .n_items = 1};

	answer(0, &(struct kv_result){.err = ERR_KV_HISTORY});
	pass(400);
	answer(0, &page);
	feed_step(NULL, &f);
	feed_take(NULL, &f, &all);
	n_listed = 0;
	answer(0, &last);
	assert_int_equal(n_listed, 0);
	assert_int_equal(n_known, 1);
	assert_string_equal(known[0], "servers/a");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_hung_watch_is_given_up_on,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_quiet_store, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_burst_of_changes, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_outage_and_return, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_relay_that_hangs, setup,
						teardown),
		cmocka_unit_test_setup_teardown(
			test_late_answer_revives_nothing, setup, teardown),
		cmocka_unit_test_setup_teardown(test_late_relay_undoes_nothing,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_page_that_was_overtaken,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
