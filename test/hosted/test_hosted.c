// Requests and batches end to end on the fake platform, also when the home of a
// batch is killed.
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "batches.h"

enum {
	BATCH_MS = 30000, ///< for a batch to complete, with a lost node
	REFUSED_MS = 250, ///< longest time for an immediate refusal
	MEMBERSHIP_US = 2500000, ///< until all nodes know a server change
	POLL_US = 20000, ///< between two requests of a polling loop
	FULL_BATCHES_MAX = 40, ///< most batches until servers are ordered
	REVOKE_MS = 5000, ///< after which a revoked key must be refused
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

static void test_booking_runs_once(void **state)
{
	struct response a;

	node_call(&ns, 0, "POST", "/book/a/../b?x=%2F", "k1", "r1", "body", &a);
	assert_int_equal(a.status, 200);
	assert_string_equal(a.seal, "seal");
	assert_string_equal(a.x_own, "kept");
	assert_string_equal(a.body, "body");
	assert_int_equal(hosted_run_count(&h, "r1"), 1);
	response_free(&a);
	node_call(&ns, 1, "POST", "/book/a", "nobody", "r2", "x", &a);
	assert_int_equal(a.status, 401);
	assert_int_equal(hosted_run_count(&h, "r2"), 0);
	response_free(&a);
	node_call(&ns, 2, "POST", "/none/a", "k1", "r3", "x", &a);
	assert_int_equal(a.status, 404);
	response_free(&a);
}

/* One server accepts connections and never responds: every caller is served. */
static void test_unresponsive_server_avoided(void **state)
{
	struct hosted_server *s = &h.servers[HOSTED_ENGINES];

	pthread_mutex_lock(&h.lock);
	s->unresponsive = true;
	pthread_mutex_unlock(&h.lock);
	for (int i = 0; i < 4; i++) {
		struct response a;
		char id[16];

		snprintf(id, sizeof(id), "d%d", i);
		node_call(&ns, i % NODES_ENTRY, "POST", "/book/d", "k1", id,
			  "x", &a);
		assert_int_equal(a.status, 200);
		response_free(&a);
	}
	pthread_mutex_lock(&h.lock);
	s->unresponsive = false;
	pthread_mutex_unlock(&h.lock);
}

static void test_batch(void **state)
{
	struct response a;
	json_t *seen;

	batch_submit(&ns, "b1", 0, 1);
	/* A duplicate submission at another node is idempotent. */
	batch_submit(&ns, "b1", 1, 1);
	node_call(&ns, 2, "GET", "/catkinpath/items/b1?id=b1.3", "k1", NULL,
		  NULL, &a);
	assert_int_equal(a.status, 200);
	assert_int_equal(a.len, 3);
	assert_memory_equal(a.body, "\x00\x01\x02", 3);
	response_free(&a);
	seen = batch_read_all(&ns, "b1", clock_now_ms() + BATCH_MS);
	batch_assert_same_results(&ns, "b1", seen);
	for (int i = 0; i < BATCH_ITEMS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "b1.%d", i);
		assert_int_equal(hosted_run_count(&h, id), 1);
	}
	for (int i = 0; i < 2; i++) {
		node_call(&ns, i, "DELETE", "/catkinpath/lots/b1", "k1", NULL,
			  NULL, &a);
		assert_int_equal(a.status, 200);
		response_free(&a);
	}
	node_call(&ns, 0, "GET", "/catkinpath/lots/none", "k1", NULL, NULL, &a);
	assert_int_equal(a.status, 404);
	response_free(&a);
	batch_assert_same_results(&ns, "b1", seen);
	json_decref(seen);
}

/* An invalid batch is refused and stores nothing. */
static void test_invalid_batch_refused(void **state)
{
	struct response a;

	node_call(&ns, 0, "POST", "/learn/bad", "k1", "bad", "{\"items\":7}",
		  &a);
	assert_int_equal(a.status, 400);
	response_free(&a);
	node_call(&ns, 0, "GET", "/catkinpath/lots/bad", "k1", NULL, NULL, &a);
	assert_int_equal(a.status, 404);
	response_free(&a);
}

/* Both candidate homes are killed one after another while a batch runs. */
static void test_batch_survives_home_loss(void **state)
{
	json_t *first_page;
	json_t *seen;

	batch_submit(&ns, "b2", 0, 1);
	first_page = read_results(&ns, 1, "b2", 0);
	assert_true(nodes_restart_homes(&ns));
	seen = batch_read_all(&ns, "b2", clock_now_ms() + BATCH_MS);
	for (size_t i = 0;
	     i < json_array_size(json_object_get(first_page, "results")); i++)
		assert_true(json_equal(
			json_array_get(json_object_get(first_page, "results"),
				       i),
			json_array_get(seen, i)));
	batch_assert_same_results(&ns, "b2", seen);
	json_decref(first_page);
	json_decref(seen);
}

static bool version_loaded(void *ctx)
{
	int n = 0;

	pthread_mutex_lock(&h.lock);
	for (int i = 0; i < HOSTED_ENGINES; i++)
		n += h.servers[i].version == 3;
	pthread_mutex_unlock(&h.lock);
	return n == HOSTED_ENGINES;
}

static void test_new_version_loaded(void **state)
{
	json_t *seen;

	hosted_set_version(&h, 2);
	hosted_set_version(&h, 3);
	batch_submit(&ns, "b3", 2, 2);
	seen = batch_read_all(&ns, "b3", clock_now_ms() + BATCH_MS);
	json_decref(seen);
	assert_true(wait_until(version_loaded, NULL, BATCH_MS));
	for (int i = 0; i < HOSTED_ENGINES; i++)
		assert_int_equal(h.servers[i].stale_orders, 0);
}

static bool key_refused(void *ctx)
{
	static int n;
	struct response a;
	char id[16];
	bool refused = true;

	for (int i = 0; i < NODES_ENTRY; i++) {
		snprintf(id, sizeof(id), "w%d", n++);
		node_call(&ns, i, "POST", "/book/a", "k2", id, "x", &a);
		refused &= a.status == 401;
		response_free(&a);
	}
	return refused;
}

static void test_revoked_key_refused(void **state)
{
	static const char *const keys[] = {"k1", NULL};

	assert_false(key_refused(NULL));
	hosted_publish_conf(&h, keys);
	assert_true(wait_until(key_refused, NULL, REVOKE_MS));
}

static bool window_reported(void *ctx)
{
	json_int_t sum = 0;
	const char *window;
	json_t *counts;

	pthread_mutex_lock(&h.lock);
	json_object_foreach(h.reports, window, counts)
		sum += json_integer_value(json_object_get(counts, "t1"));
	pthread_mutex_unlock(&h.lock);
	return sum == *(json_int_t *)ctx;
}

/* Every booking that ran is reported exactly once; batches are not reported. */
static void test_usage_reported_once(void **state)
{
	json_int_t ran = 0;

	pthread_mutex_lock(&h.lock);
	for (int i = 0; i < h.n_runs; i++)
		ran += h.runs[i].server >= HOSTED_ENGINES &&
		       strcmp(h.runs[i].team, "t1") == 0;
	pthread_mutex_unlock(&h.lock);
	assert_true(ran > 0);
	assert_true(wait_until(window_reported, &ran, BATCH_MS));
	assert_int_equal(h.usage_conflicts, 0);
}

/* Submit a batch in an outage of seconds: 503 with Retry-After of at least 1 s. */
static void submit_refused(const char *id)
{
	char *body = batch_body(id, BATCH_ITEMS, 1);
	struct response a;
	char path[64];

	snprintf(path, sizeof(path), "/learn/%s", id);
	node_call(&ns, 0, "POST", path, "k1", id, body, &a);
	assert_int_equal(a.status, 503);
	assert_true(atof(a.retry_after) >= 1.0);
	response_free(&a);
	free(body);
}

/* The store does not respond: running batches continue, requests are refused as not
 * run once their API keys can't be confirmed, and service recovers afterwards. */
static void test_store_outage_recovers(void **state)
{
	struct response a = {0};
	int64_t end;

	batch_submit(&ns, "b4", 0, 1);
	pthread_mutex_lock(&h.lock);
	h.store_down = 2;
	pthread_mutex_unlock(&h.lock);
	for (end = clock_now_ms() + REVOKE_MS;
	     clock_now_ms() < end && a.status != 503;) {
		response_free(&a);
		usleep(POLL_US);
		node_call(&ns, 0, "POST", "/book/a", "k1", "s1", "x", &a);
	}
	assert_int_equal(a.status, 503);
	assert_true(a.retry_after[0] != '\0');
	response_free(&a);
	submit_refused("b6");
	pthread_mutex_lock(&h.lock);
	h.store_down = 0;
	pthread_cond_broadcast(&h.changed);
	pthread_mutex_unlock(&h.lock);
	json_decref(batch_read_all(&ns, "b4", clock_now_ms() + BATCH_MS));
	assert_int_equal(hosted_run_count(&h, "b6.0"), 0);
	assert_true(node_wait_ready(&ns, 0, BATCH_MS));
	batch_submit(&ns, "b6", 0, 1);
	json_decref(batch_read_all(&ns, "b6", clock_now_ms() + BATCH_MS));
}

/* The service has no servers: requests are refused immediately as not run, with a
 * Retry-After, not at the caller's deadline. */
static void test_refuses_without_servers(void **state)
{
	struct response a;
	int64_t start;

	for (int i = HOSTED_ENGINES; i < HOSTED_SERVERS; i++)
		hosted_withdraw(&h, &h.servers[i]);
	usleep(MEMBERSHIP_US);
	start = clock_now_ms();
	node_call(&ns, 0, "POST", "/book/a", "k1", "n1", "x", &a);
	assert_int_equal(a.status, 503);
	assert_true(a.retry_after[0] != '\0');
	assert_true(clock_now_ms() - start < REFUSED_MS);
	assert_int_equal(hosted_run_count(&h, "n1"), 0);
	response_free(&a);
	for (int i = HOSTED_ENGINES; i < HOSTED_SERVERS; i++)
		hosted_publish(&h, &h.servers[i]);
	usleep(MEMBERSHIP_US);
	node_call(&ns, 0, "POST", "/book/a", "k1", "n2", "x", &a);
	assert_int_equal(a.status, 200);
	response_free(&a);
}

static bool size_ordered(void *ctx)
{
	bool enough;

	pthread_mutex_lock(&h.lock);
	enough = json_integer_value(
			 json_object_get(h.ordered_sizes, "engines/d1")) +
			 json_integer_value(json_object_get(h.ordered_sizes,
							    "engines/d2")) >=
		 2;
	pthread_mutex_unlock(&h.lock);
	return enough;
}

/* Only one engine remains and its slots are full: more engines are ordered. */
static void test_servers_ordered_when_full(void **state)
{
	char id[16];

	for (int i = 1; i < HOSTED_ENGINES; i++)
		hosted_withdraw(&h, &h.servers[i]);
	usleep(MEMBERSHIP_US);
	for (int i = 0; i < FULL_BATCHES_MAX && !size_ordered(NULL); i++) {
		snprintf(id, sizeof(id), "z%d", i);
		batch_submit(&ns, id, i % NODES_ENTRY, 1);
		json_decref(batch_read_all(&ns, id, clock_now_ms() + BATCH_MS));
	}
	assert_true(wait_until(size_ordered, NULL, BATCH_MS));
	for (int i = 1; i < HOSTED_ENGINES; i++)
		hosted_publish(&h, &h.servers[i]);
	usleep(MEMBERSHIP_US);
}

/* SIGTERM drains the node, which exits with status 0. */
static void test_sigterm_drains(void **state)
{
	int status = -1;

	proc_signal(&ns.list[2].proc, SIGTERM);
	assert_true(proc_wait(&ns.list[2].proc, 8000, &status));
	assert_int_equal(status, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_booking_runs_once),
		cmocka_unit_test(test_unresponsive_server_avoided),
		cmocka_unit_test(test_batch),
		cmocka_unit_test(test_invalid_batch_refused),
		cmocka_unit_test(test_batch_survives_home_loss),
		cmocka_unit_test(test_new_version_loaded),
		cmocka_unit_test(test_revoked_key_refused),
		cmocka_unit_test(test_usage_reported_once),
		cmocka_unit_test(test_store_outage_recovers),
		cmocka_unit_test(test_refuses_without_servers),
		cmocka_unit_test(test_servers_ordered_when_full),
		cmocka_unit_test(test_sigterm_drains),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
