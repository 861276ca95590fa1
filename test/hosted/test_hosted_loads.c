// Weight load orders of the leader and its notices of them to the homes, with
// daemon processes on the fake platform.
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
	BATCH_MS = 30000, ///< for nodes to connect
	LOAD_MS = 900,
	LONG_LOAD_MS = 1400,
	/// From setting a version: the order, the load, and at most a second load
	/// until the samples run. After 4 s an order that no entry confirms is ignored.
	LOADED_MS = 4000,
	NOTICE_MS = 100, ///< for a load notice to reach the homes
};

static struct hosted h;
static struct nodes ns;

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	nodes_init(&ns, &h, NODES, NODES_ENTRY);
	ns.settings = "[engines]\nshare_from = 4\n";
	hosted_name_other(&h, 1);
	return nodes_run(&ns) ? 0 : -1;
}

static int teardown(void **state)
{
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

static int count_rejects(const int *which)
{
	int n;

	pthread_mutex_lock(&h.lock);
	n = *which;
	pthread_mutex_unlock(&h.lock);
	return n;
}

/* A version is ordered and no server entry shows it yet: a batch that needs it runs
 * on the leader's load notices alone. */
static void run_unseen(const char *batch, uint64_t version, int load_ms)
{
	int64_t named = clock_now_ms();

	pthread_mutex_lock(&h.lock);
	h.load_ms = load_ms;
	pthread_mutex_unlock(&h.lock);
	hosted_name_version(&h, version);
	batch_submit(&ns, batch, 0, (int)version);
	json_decref(batch_read_all(&ns, batch, named + LOADED_MS));
	pthread_mutex_lock(&h.lock);
	h.load_ms = 0;
	pthread_mutex_unlock(&h.lock);
	for (int i = 0; i < HOSTED_ENGINES; i++)
		hosted_publish(&h, &h.servers[i]);
	for (int i = 0; i < BATCH_ITEMS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "%s.%d", batch, i);
		assert_int_equal(hosted_runs(&h, id), 1);
	}
}

/* Guards against samples waiting for a server entry, which shows a load up to 2 s
 * late. */
static void test_runs_before_entry(void **state)
{
	batch_wait_homes(&ns, clock_now_ms() + BATCH_MS);
	run_unseen("p1", 2, LOAD_MS);
	/* The samples waited for the load instead of being sent to a loading engine. */
	assert_int_equal(count_rejects(&h.loading_rejects), 0);
}

static bool engine_loads(void *ctx)
{
	bool loads = false;

	pthread_mutex_lock(&h.lock);
	for (int i = 0; i < HOSTED_ENGINES; i++)
		loads |= h.servers[i].loaded_ms > clock_now_ms();
	pthread_mutex_unlock(&h.lock);
	return loads;
}

static bool notice_came(void *ctx)
{
	return clock_now_ms() >= *(int64_t *)ctx;
}

/* Guards against sending samples to loading engines, which reject them: samples that
 * accept any version go to the other engines. */
static void test_loading_left_alone(void **state)
{
	int before = count_rejects(&h.loading_rejects);
	int64_t noticed;

	pthread_mutex_lock(&h.lock);
	h.load_ms = LOAD_MS;
	pthread_mutex_unlock(&h.lock);
	hosted_name_version(&h, 4);
	assert_true(wait_until(engine_loads, NULL, LOADED_MS));
	noticed = clock_now_ms() + NOTICE_MS;
	assert_true(wait_until(notice_came, &noticed, LOADED_MS));
	batch_submit(&ns, "p3", 0, 1);
	json_decref(batch_read_all(&ns, "p3", clock_now_ms() + LOADED_MS));
	assert_int_equal(count_rejects(&h.loading_rejects), before);
}

/* Guards against runs on an older version than required: the load takes longer than
 * estimated, so the engine rejects requests that expect the new version. */
static void test_long_load(void **state)
{
	run_unseen("p2", 3, LONG_LOAD_MS);
	assert_true(count_rejects(&h.version_rejects) > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_runs_before_entry),
		cmocka_unit_test(test_long_load),
		cmocka_unit_test(test_loading_left_alone),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
