// A leaving server gets no new requests once nodes must know that it leaves, and a
// configuration change takes effect in time, even while store calls hang.
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <curl/curl.h>

#include "base/clock.h"
#include "batches.h"
#include "support/link.h"

enum {
	/// On the users' deployments a leaving server still accepts requests for
	/// this long; a new configuration takes effect within the same time.
	DRAIN_MS = 2000,
	CONF_MS = 2000,
	REVOKE_MS = 5000, ///< after which a revoked key must be refused
	LOST_MS = 5000, ///< longest time without a run of a lost node's items
	AWAY_MS = 3000, ///< store outage; API keys stay valid for longer
	WATCH_MS = 7000, ///< of bookings after a server leaves
	QUIET_MS = 1500, ///< until every watch is waiting
	CALM_MS = 15000, ///< for all nodes to become ready again
	BATCH_MS = 30000,
	STEP_US = 15000,
	REWATCH_US = 100000, ///< from a change until all watches are restarted
	LONG_EVENT_MS = 150, ///< event interval; no item ends during the test
	PUBLISH_MS = 300, ///< between two versions of the configuration
	STORE_LINK_PORT = 8500,
};

static struct hosted h;
static struct nodes ns;
static struct link *store[NODES];
static CURL *callers[NODES_ENTRY];
static bool publishing; ///< republish the configuration every PUBLISH_MS

static struct hosted_server *desk(int i)
{
	return &h.servers[HOSTED_ENGINES + i];
}

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	nodes_init(&ns, &h, NODES, NODES_ENTRY);
	for (int i = 0; i < NODES; i++) {
		store[i] = link_start(h.ip, STORE_LINK_PORT + i, h.ip,
				      HOSTED_STORE_PORT);
		if (!store[i])
			return -1;
		ns.list[i].store_port = STORE_LINK_PORT + i;
	}
	for (int i = 0; i < NODES_ENTRY; i++)
		callers[i] = curl_easy_init();
	return nodes_run(&ns) ? 0 : -1;
}

static int teardown(void **state)
{
	for (int i = 0; i < NODES_ENTRY; i++)
		curl_easy_cleanup(callers[i]);
	nodes_stop(&ns);
	for (int i = 0; i < NODES; i++)
		link_stop(store[i]);
	hosted_stop(&h);
	return 0;
}

/* One booking at each entry node, on connections that stay open. */
static int book_everywhere(const char *key)
{
	static int n;
	int served = 0;

	for (int i = 0; i < NODES_ENTRY; i++) {
		struct answer a;
		char id[32];

		snprintf(id, sizeof(id), "l%d", n++);
		node_call_on(callers[i], &ns, i, "POST", "/book/a", key, id,
			     "x", &a);
		served += a.status == 200;
		answer_free(&a);
	}
	usleep(STEP_US);
	return served;
}

static void publish_conf(void)
{
	static const char *const both[] = {"k1", "k2", NULL};

	hosted_conf(&h, both);
}

static int book_until(int64_t until)
{
	int64_t next = 0;
	int served = 0;

	while (clock_now_ms() < until) {
		served += book_everywhere("k1");
		if (!publishing || clock_now_ms() < next)
			continue;
		publish_conf();
		next = clock_now_ms() + PUBLISH_MS;
	}
	return served;
}

/* Undo the faults of earlier tests and wait until every watch is waiting. */
static void calm(void)
{
	publishing = false;
	pthread_mutex_lock(&h.lock);
	h.down = 0;
	h.mute = NULL;
	h.late = NULL;
	pthread_mutex_unlock(&h.lock);
	for (int i = 0; i < NODES; i++) {
		link_set(store[i], LINK_PASS);
		proc_signal(&ns.list[i].proc, SIGCONT);
	}
	for (int i = 0; i < HOSTED_DESKS; i++)
		hosted_stay(&h, desk(i));
	for (int i = 0; i < NODES; i++)
		assert_true(node_ready(&ns, i, CALM_MS));
	book_until(clock_now_ms() + QUIET_MS);
}

/* Callers are served throughout, and no run starts on the server too late. */
static void assert_leaves(struct hosted_server *s, bool say)
{
	int64_t begun = clock_now_ms();
	int served;

	hosted_leave(&h, s, say);
	served = book_until(begun + WATCH_MS);
	hosted_stay(&h, s);
	assert_true(served > 0);
	assert_in_range(hosted_latest_run(&h, begun), 0, DRAIN_MS);
}

static void test_leave_on_a_quiet_day(void **state)
{
	calm();
	assert_leaves(desk(0), true);
}

/* Open watch connections go silent while new connections work. */
static void test_silent_watch_hides_a_leave(void **state)
{
	for (int i = 0; i < HOSTED_DESKS; i++) {
		calm();
		hosted_mute(&h, "servers/");
		assert_leaves(desk(i), i == 0);
	}
}

/* Only a relay loses the store: from then on its calls go through a peer and return
 * new versions of the configuration. */
static void test_relay_cut_off_hides_a_leave(void **state)
{
	for (int i = NODES_ENTRY; i < NODES; i++) {
		calm();
		link_set(store[i], LINK_SILENT);
		publishing = true;
		assert_leaves(desk(i % HOSTED_DESKS), true);
	}
}

/* A relay is stopped and resumes with outdated state. */
static void test_frozen_relay_hides_a_leave(void **state)
{
	calm();
	for (int i = NODES_ENTRY; i < NODES; i++)
		proc_signal(&ns.list[i].proc, SIGSTOP);
	assert_leaves(desk(0), false);
	for (int i = NODES_ENTRY; i < NODES; i++)
		proc_signal(&ns.list[i].proc, SIGCONT);
	assert_leaves(desk(1), true);
}

/* Entry nodes and the peers they ask lose the store; relays keep it. */
static void test_lost_calls_keep_a_removed_server(void **state)
{
	for (int i = 0; i < HOSTED_DESKS; i++) {
		calm();
		for (int n = 0; n < NODES_ENTRY; n++)
			link_set(store[n], LINK_SILENT);
		book_until(clock_now_ms() + 2 * QUIET_MS);
		assert_leaves(desk(i), false);
	}
}

/* A node's own watch began before a relay sent newer state and is answered late. */
static void test_late_answer_revives_a_server(void **state)
{
	calm();
	for (int i = NODES_ENTRY; i < NODES; i++)
		proc_signal(&ns.list[i].proc, SIGSTOP);
	book_until(clock_now_ms() + 2 * QUIET_MS);
	hosted_delay(&h, "servers/", 2 * DRAIN_MS);
	for (int i = NODES_ENTRY; i < NODES; i++)
		proc_signal(&ns.list[i].proc, SIGCONT);
	hosted_publish(&h, desk(0));
	book_until(clock_now_ms() + QUIET_MS);
	assert_leaves(desk(0), false);
}

static void test_unreadable_entry_keeps_the_one_before(void **state)
{
	struct hosted_server *s = desk(0);
	int64_t begun;
	char key[64];

	calm();
	snprintf(key, sizeof(key), "servers/%s", s->id);
	hosted_put(&h, key, json_pack("{s:s}", "state", "odd"));
	s->left_ms = clock_now_ms();
	book_until(s->left_ms + WATCH_MS / 2);
	begun = s->left_ms;
	hosted_stay(&h, s);
	assert_in_range(hosted_latest_run(&h, begun), 0, DRAIN_MS);
}

/* Set the store's state for a time, in which every booking must succeed. */
static void assert_all_served(int down, int ms)
{
	int64_t end = clock_now_ms() + ms;

	pthread_mutex_lock(&h.lock);
	h.down = down;
	pthread_cond_broadcast(&h.changed);
	pthread_mutex_unlock(&h.lock);
	while (clock_now_ms() < end)
		assert_int_equal(book_everywhere("k1"), NODES_ENTRY);
}

/* Cached state can't be confirmed, but is used as there is nothing newer. */
static void test_silent_store_refuses_nobody(void **state)
{
	calm();
	for (int i = 0; i < 2; i++) {
		assert_all_served(2, AWAY_MS);
		assert_all_served(0, AWAY_MS);
	}
}

static bool all_refuse(const char *key)
{
	return book_everywhere(key) == 0;
}

/* A configuration change also takes effect in time. */
static void test_silent_watch_hides_a_configuration(void **state)
{
	static const char *const one[] = {"k1", NULL};
	int64_t begun;

	for (int i = 0; i < 3; i++) {
		calm();
		assert_false(all_refuse("k2"));
		hosted_mute(&h, "op/");
		hosted_conf(&h, one);
		begun = clock_now_ms();
		while (!all_refuse("k2") && clock_now_ms() < begun + WATCH_MS)
			;
		assert_in_range(clock_now_ms() - begun, 0, CONF_MS);
		publish_conf();
	}
}

static int runs_since(const char *batch, int64_t since)
{
	int n = 0;

	pthread_mutex_lock(&h.lock);
	for (int i = 0; i < h.n_runs; i++)
		n += h.runs[i].at_ms >= since &&
		     strncmp(h.runs[i].id, batch, strlen(batch)) == 0;
	pthread_mutex_unlock(&h.lock);
	return n;
}

/* Items of a lost node are sent again in time. */
static void test_silent_watch_hides_a_lost_node(void **state)
{
	for (int round = 0; round < 2; round++) {
		int64_t killed;
		json_t *seen;
		char id[16];
		int owner;

		calm();
		h.event_ms = LONG_EVENT_MS;
		snprintf(id, sizeof(id), "L%d", round);
		batch_submit(&ns, id, 0, 1);
		usleep(QUIET_MS * 1000);
		owner = batch_owner(&ns, id);
		assert_in_range(owner, 0, NODES - 1);
		/* This change makes every watch return and restart. */
		hosted_put(&h, "catkin/live/none", json_object());
		usleep(REWATCH_US);
		hosted_mute(&h, "catkin/live/");
		proc_kill(&ns.list[owner].proc);
		killed = clock_now_ms();
		while (!runs_since(id, killed) &&
		       clock_now_ms() < killed + 2 * LOST_MS)
			usleep(STEP_US);
		assert_true(node_start(&ns, owner));
		h.event_ms = 15;
		assert_in_range(clock_now_ms() - killed, 0, LOST_MS);
		seen = batch_read_all(&ns, id, clock_now_ms() + BATCH_MS);
		json_decref(seen);
	}
}

/* An argument selects the test to run. */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_leave_on_a_quiet_day),
		cmocka_unit_test(test_silent_watch_hides_a_leave),
		cmocka_unit_test(test_relay_cut_off_hides_a_leave),
		cmocka_unit_test(test_frozen_relay_hides_a_leave),
		cmocka_unit_test(test_lost_calls_keep_a_removed_server),
		cmocka_unit_test(test_late_answer_revives_a_server),
		cmocka_unit_test(test_unreadable_entry_keeps_the_one_before),
		cmocka_unit_test(test_silent_store_refuses_nobody),
		cmocka_unit_test(test_silent_watch_hides_a_configuration),
		cmocka_unit_test(test_silent_watch_hides_a_lost_node),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests(tests, setup, teardown);
}
