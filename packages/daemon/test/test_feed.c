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
	IN_FLIGHT_MAX = 8,
	RELAY_INTERVAL_MS = 300, ///< between two responses of a relay
	SIMULATED_MS = 5000,
};

enum call_kind {
	CALL_LIST,
	CALL_WATCH,
	CALL_CONFIRM,
};

struct call {
	enum call_kind kind;
	int64_t wait_ms;
	struct kv_cb cb;
};

static int64_t now;
static int64_t unanswered_since_ms; ///< returned by kv_unreachable_since()
static struct call calls[IN_FLIGHT_MAX]; ///< in flight, newest last
static int n_calls;
static int n_calls_started;
static char known_keys[IN_FLIGHT_MAX][16]; ///< keys reported by the feed
static int n_known_keys;
static int n_listed;
static struct feed f;

/* Stubs of the modules below the feed. */
int64_t core_now(const struct core *c)
{
	return now;
}

static enum err add_call(enum call_kind kind, int64_t wait_ms, struct kv_cb cb)
{
	assert_true(n_calls < IN_FLIGHT_MAX);
	calls[n_calls++] = (struct call){kind, wait_ms, cb};
	n_calls_started++;
	return ERR_OK;
}

enum err kv_list_after(struct core *c, const char *prefix, const char *from,
		       struct kv_cb cb)
{
	return add_call(CALL_LIST, 0, cb);
}

enum err kv_watch(struct core *c, const char *prefix, uint64_t after,
		  int64_t wait_ms, struct kv_cb cb)
{
	return add_call(CALL_WATCH, wait_ms, cb);
}

int64_t kv_unreachable_since(struct core *c)
{
	return unanswered_since_ms;
}

enum err kv_watch_direct(struct core *c, const char *prefix, uint64_t after,
			 int64_t wait_ms, struct kv_cb cb)
{
	return add_call(CALL_CONFIRM, wait_ms, cb);
}

static void on_list_begin(struct core *c, void *ctx)
{
	n_known_keys = 0;
}

static void on_item(struct core *c, void *ctx, const struct kv_item *item)
{
	strcpy(known_keys[n_known_keys++], item->key);
}

static void on_deleted(struct core *c, void *ctx, const char *key)
{
	int i = 0;

	while (i < n_known_keys && strcmp(known_keys[i], key) != 0)
		i++;
	if (i < n_known_keys)
		memmove(known_keys[i], known_keys[i + 1],
			sizeof(known_keys[0]) * (size_t)(--n_known_keys - i));
}

static void on_list_end(struct core *c, void *ctx)
{
	n_listed++;
}

static const struct feed_ops ops = {
	.list_begin = on_list_begin,
	.item = on_item,
	.item_deleted = on_deleted,
	.list_end = on_list_end,
};

/* Answer a call and remove it. */
static void respond(int i, const struct kv_result *res)
{
	struct call call = calls[i];

	memmove(&calls[i], &calls[i + 1],
		(size_t)(--n_calls - i) * sizeof(call));
	call.cb.fn(NULL, call.cb.ctx, res);
}

static void advance(int64_t ms)
{
	for (int64_t end = now + ms; now < end; now += 20)
		feed_step(NULL, &f);
}

static int setup(void **state)
{
	const struct feed_opts opts = {
		.prefix = "servers/",
		.refresh_ms = REFRESH_MS,
		.relay_max_age_ms = OVERDUE_MS,
		.overdue_ms = OVERDUE_MS,
		.watch_interval_min_ms = REFRESH_MS,
		.ops = &ops,
	};
	const struct kv_item a = {.key = "servers/a", .value = "", .rev = 90};
	const struct kv_result list = {
		.err = ERR_OK, .rev = 100, .items = &a, .n_items = 1};

	now = 10000;
	unanswered_since_ms = 0;
	n_calls = n_calls_started = n_known_keys = n_listed = 0;
	feed_init(&f, &opts);
	feed_step(NULL, &f);
	assert_int_equal(calls[0].kind, CALL_LIST);
	respond(0, &list);
	feed_step(NULL, &f);
	assert_int_equal(calls[0].kind, CALL_WATCH);
	return 0;
}

static int teardown(void **state)
{
	feed_free(&f);
	return 0;
}

static const struct kv_result no_changes = {.err = ERR_OK, .rev = 100};

/* A watch's connection hangs while new ones work. */
static void test_hung_watch_is_replaced(void **state)
{
	advance(OVERDUE_MS);
	assert_int_equal(n_calls, 1);
	advance(40);
	assert_int_equal(n_calls, 2);
	assert_int_equal(calls[1].kind, CALL_CONFIRM);
	now += calls[1].wait_ms;
	respond(1, &no_changes);
	assert_true(feed_age_ms(NULL, &f) < REFRESH_MS);
	/* The next watch waits; the hung one's response is ignored. */
	assert_int_equal(calls[1].kind, CALL_WATCH);
	respond(0, &(struct kv_result){.err = ERR_KV_UNKNOWN});
	assert_int_equal(f.failures, 0);
}

/* Calls are answered in time: one per refresh, none abandoned. */
static void test_quiet_store_gets_one_call_per_refresh(void **state)
{
	int calls_before = n_calls_started;

	for (int64_t end = now + SIMULATED_MS; now < end;) {
		advance(calls[0].wait_ms);
		respond(0, &no_changes);
		assert_true(feed_age_ms(NULL, &f) <= 20);
	}
	assert_in_range(n_calls_started - calls_before, 1,
			SIMULATED_MS / REFRESH_MS + 2);
}

/* Constant changes cause no more than one call per refresh. */
static void test_changes_cause_one_call_per_refresh(void **state)
{
	const struct kv_item a = {.key = "servers/a", .value = "", .rev = 101};
	int calls_before = n_calls_started;

	for (int64_t end = now + SIMULATED_MS; now < end;) {
		struct kv_result change = {.err = ERR_OK,
					   .rev = f.rev + 1,
					   .items = &a,
					   .n_items = 1};

		n_known_keys = 0;
		respond(0, &change);
		while (!n_calls)
			advance(20);
	}
	assert_in_range(n_calls_started - calls_before, 1,
			SIMULATED_MS / REFRESH_MS + 2);
}

/* The store can't be reached: no further calls on new connections. Once it is back,
 * the data is confirmed at once even if older calls still hang. */
static void test_store_return_is_confirmed_at_once(void **state)
{
	advance(OVERDUE_MS + 20);
	assert_int_equal(calls[1].kind, CALL_CONFIRM);
	unanswered_since_ms = now;
	respond(1, &(struct kv_result){.err = ERR_KV_UNKNOWN});
	advance(REFRESH_MS);
	assert_int_equal(calls[n_calls - 1].kind, CALL_WATCH);
	unanswered_since_ms = 0;
	feed_reconfirm(&f);
	feed_step(NULL, &f);
	assert_int_equal(calls[n_calls - 1].kind, CALL_CONFIRM);
	now += calls[n_calls - 1].wait_ms;
	respond(n_calls - 1, &no_changes);
	assert_true(feed_age_ms(NULL, &f) <= 20);
}

static void relay_update(uint64_t after, uint64_t rev, int64_t as_of_ms,
			 const char *const *deleted)
{
	const struct feed_update news = {
		.from = "relay",
		.after = after,
		.rev = rev,
		.as_of_ms = as_of_ms,
		.deleted = deleted,
		.n_deleted = deleted ? 1 : 0,
	};

	feed_apply(NULL, &f, &news);
}

/* A relay answers, but its data grows old: the store is called once it is overdue. */
static void test_overdue_relay_causes_own_call(void **state)
{
	int64_t as_of;
	int calls_before;

	respond(0, &no_changes);
	respond(0, &(struct kv_result){.err = ERR_KV_UNKNOWN});
	f.overdue_only = true;
	calls_before = n_calls_started;
	for (int i = 0; i < 10; i++) {
		relay_update(100, 100, now, NULL);
		advance(RELAY_INTERVAL_MS);
	}
	assert_int_equal(n_calls_started, calls_before);
	as_of = now;
	while (n_calls_started == calls_before) {
		relay_update(100, 100, as_of, NULL);
		advance(20);
	}
	assert_int_equal(calls[0].kind, CALL_CONFIRM);
	assert_in_range(now - as_of, OVERDUE_MS, OVERDUE_MS + 40);
}

/* An own watch is answered after a relay reported the deletion of the entry. */
static void test_late_watch_restores_no_deleted_key(void **state)
{
	static const char *const deleted_keys[] = {"servers/a"};
	const struct kv_item a = {.key = "servers/a", .value = "", .rev = 105};
	const struct kv_result late = {
		.err = ERR_OK, .rev = 105, .items = &a, .n_items = 1};

	assert_int_equal(n_known_keys, 1);
	relay_update(100, 110, now, deleted_keys);
	assert_int_equal(n_known_keys, 0);
	respond(0, &late);
	assert_int_equal(n_known_keys, 0);
	assert_int_equal(f.rev, 110);
}

/* A relay answers after an own watch got newer data. */
static void test_late_relay_update_is_discarded(void **state)
{
	static const char *const deleted_keys[] = {"servers/a"};
	const struct kv_item b = {.key = "servers/b", .value = "", .rev = 120};
	const struct kv_result change = {
		.err = ERR_OK, .rev = 120, .items = &b, .n_items = 1};
	const struct feed_update older = {
		.from = "relay", .full = true, .after = 120, .rev = 110};

	respond(0, &change);
	assert_int_equal(n_known_keys, 2);
	relay_update(100, 110, now, deleted_keys);
	assert_int_equal(n_known_keys, 2);
	feed_apply(NULL, &f, &older);
	assert_int_equal(n_known_keys, 2);
	assert_int_equal(f.rev, 120);
}

/* A later page of an own list arrives after a relay's full list: it is ignored. */
static void test_overtaken_page_is_discarded(void **state)
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
	const struct feed_update all = {.from = "relay",
					.full = true,
					.rev = 140,
					.items = &a,
					.n_items = 1};

	respond(0, &(struct kv_result){.err = ERR_KV_HISTORY});
	advance(400);
	respond(0, &page);
	feed_step(NULL, &f);
	feed_apply(NULL, &f, &all);
	n_listed = 0;
	respond(0, &last);
	assert_int_equal(n_listed, 0);
	assert_int_equal(n_known_keys, 1);
	assert_string_equal(known_keys[0], "servers/a");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_hung_watch_is_replaced,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_quiet_store_gets_one_call_per_refresh, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_changes_cause_one_call_per_refresh, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_store_return_is_confirmed_at_once, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_overdue_relay_causes_own_call, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_late_watch_restores_no_deleted_key, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_late_relay_update_is_discarded, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_overtaken_page_is_discarded, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
