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
	RESENT_IN_MS = 5000, ///< limit to resend the items of a lost node
	OUTAGE_MS = 3000, ///< store outage; API keys stay valid for longer
	BOOKING_MS = 7000, ///< of bookings after a server leaves
	WATCHES_WAIT_MS = 1500, ///< until every watch is waiting
	ALL_READY_MS = 15000, ///< for all nodes to become ready again
	BATCH_MS = 30000,
	POLL_US = 15000,
	WATCH_RESTART_US = 100000, ///< until watches restart after a change
	LONG_EVENT_MS = 150, ///< event interval; no item ends during the test
	PUBLISH_MS = 300, ///< between two versions of the configuration
	STORE_LINK_PORT = 8500,
};

static struct hosted h;
static struct nodes ns;
static struct link *store_links[NODES];
static CURL *callers[NODES_ENTRY];
static bool republish; ///< republish the configuration every PUBLISH_MS

static struct hosted_server *booking_server(int i)
{
	return &h.servers[HOSTED_ENGINES + i];
}

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	nodes_init(&ns, &h, NODES, NODES_ENTRY);
	for (int i = 0; i < NODES; i++) {
		store_links[i] = link_start(h.ip, STORE_LINK_PORT + i, h.ip,
					    HOSTED_STORE_PORT);
		if (!store_links[i])
			return -1;
		ns.list[i].store_port = STORE_LINK_PORT + i;
	}
	for (int i = 0; i < NODES_ENTRY; i++)
		callers[i] = curl_easy_init();
	return nodes_start_all(&ns) ? 0 : -1;
}

static int teardown(void **state)
{
	for (int i = 0; i < NODES_ENTRY; i++)
		curl_easy_cleanup(callers[i]);
	nodes_stop(&ns);
	for (int i = 0; i < NODES; i++)
		link_stop(store_links[i]);
	hosted_stop(&h);
	return 0;
}

/* One booking at each entry node, on connections that stay open. */
static int book_at_all_nodes(const char *key)
{
	static int n;
	int served = 0;

	for (int i = 0; i < NODES_ENTRY; i++) {
		struct response a;
		char id[32];

		snprintf(id, sizeof(id), "l%d", n++);
		node_call_with(callers[i], &ns, i, "POST", "/book/a", key, id,
			       "x", &a);
		served += a.status == 200;
		response_free(&a);
	}
	usleep(POLL_US);
	return served;
}

static void publish_conf(void)
{
	static const char *const both_keys[] = {"k1", "k2", NULL};

	hosted_publish_conf(&h, both_keys);
}

static int book_until(int64_t until)
{
	int64_t next = 0;
	int served = 0;

	while (clock_now_ms() < until) {
		served += book_at_all_nodes("k1");
		if (!republish || clock_now_ms() < next)
			continue;
		publish_conf();
		next = clock_now_ms() + PUBLISH_MS;
	}
	return served;
}

/* Undo the faults of earlier tests and wait until every watch is waiting. */
static void reset_faults(void)
{
	republish = false;
	pthread_mutex_lock(&h.lock);
	h.store_down = 0;
	h.mute_prefix = NULL;
	h.delay_prefix = NULL;
	pthread_mutex_unlock(&h.lock);
	for (int i = 0; i < NODES; i++) {
		link_set_mode(store_links[i], LINK_PASS);
		proc_signal(&ns.list[i].proc, SIGCONT);
	}
	for (int i = 0; i < HOSTED_BOOKING_SERVERS; i++)
		hosted_server_return(&h, booking_server(i));
	for (int i = 0; i < NODES; i++)
		assert_true(node_wait_ready(&ns, i, ALL_READY_MS));
	book_until(clock_now_ms() + WATCHES_WAIT_MS);
}

/* Callers are served throughout, and no run starts on the server too late. */
static void assert_leaves(struct hosted_server *s, bool announce)
{
	int64_t start_ms = clock_now_ms();
	int served;

	hosted_server_leave(&h, s, announce);
	served = book_until(start_ms + BOOKING_MS);
	hosted_server_return(&h, s);
	assert_true(served > 0);
	assert_in_range(hosted_max_since_leaving_ms(&h, start_ms), 0, DRAIN_MS);
}

static void test_leave_without_faults(void **state)
{
	reset_faults();
	assert_leaves(booking_server(0), true);
}

/* Open watch connections go silent while new connections work. */
static void test_leave_known_despite_silent_watch(void **state)
{
	for (int i = 0; i < HOSTED_BOOKING_SERVERS; i++) {
		reset_faults();
		hosted_mute_watches(&h, "servers/");
		assert_leaves(booking_server(i), i == 0);
	}
}

/* Only a relay loses the store: its calls then go through a peer and return new
 * versions of the configuration. */
static void test_leave_known_despite_cut_off_relay(void **state)
{
	for (int i = NODES_ENTRY; i < NODES; i++) {
		reset_faults();
		link_set_mode(store_links[i], LINK_BLACKHOLE);
		republish = true;
		assert_leaves(booking_server(i % HOSTED_BOOKING_SERVERS), true);
	}
}

/* A relay is stopped and resumes with outdated state. */
static void test_leave_known_despite_stopped_relay(void **state)
{
	reset_faults();
	for (int i = NODES_ENTRY; i < NODES; i++)
		proc_signal(&ns.list[i].proc, SIGSTOP);
	assert_leaves(booking_server(0), false);
	for (int i = NODES_ENTRY; i < NODES; i++)
		proc_signal(&ns.list[i].proc, SIGCONT);
	assert_leaves(booking_server(1), true);
}

/* Entry nodes and the peers they ask lose the store; relays keep it. */
static void test_removed_server_unused_if_calls_lost(void **state)
{
	for (int i = 0; i < HOSTED_BOOKING_SERVERS; i++) {
		reset_faults();
		for (int n = 0; n < NODES_ENTRY; n++)
			link_set_mode(store_links[n], LINK_BLACKHOLE);
		book_until(clock_now_ms() + 2 * WATCHES_WAIT_MS);
		assert_leaves(booking_server(i), false);
	}
}

/* A node's own watch began before a relay sent newer state and is answered late. */
static void test_late_response_does_not_restore_server(void **state)
{
	reset_faults();
	for (int i = NODES_ENTRY; i < NODES; i++)
		proc_signal(&ns.list[i].proc, SIGSTOP);
	book_until(clock_now_ms() + 2 * WATCHES_WAIT_MS);
	hosted_delay_watches(&h, "servers/", 2 * DRAIN_MS);
	for (int i = NODES_ENTRY; i < NODES; i++)
		proc_signal(&ns.list[i].proc, SIGCONT);
	hosted_publish(&h, booking_server(0));
	book_until(clock_now_ms() + WATCHES_WAIT_MS);
	assert_leaves(booking_server(0), false);
}

static void test_unreadable_entry_stops_use(void **state)
{
	struct hosted_server *s = booking_server(0);
	int64_t start_ms;
	char key[64];

	reset_faults();
	snprintf(key, sizeof(key), "servers/%s", s->id);
	hosted_put(&h, key, json_pack("{s:s}", "state", "odd"));
	s->leaving_at_ms = clock_now_ms();
	book_until(s->leaving_at_ms + BOOKING_MS / 2);
	start_ms = s->leaving_at_ms;
	hosted_server_return(&h, s);
	assert_in_range(hosted_max_since_leaving_ms(&h, start_ms), 0, DRAIN_MS);
}

/* Set the store's state for a time, in which every booking must succeed. */
static void assert_all_served(int store_down, int ms)
{
	int64_t end = clock_now_ms() + ms;

	pthread_mutex_lock(&h.lock);
	h.store_down = store_down;
	pthread_cond_broadcast(&h.changed);
	pthread_mutex_unlock(&h.lock);
	while (clock_now_ms() < end)
		assert_int_equal(book_at_all_nodes("k1"), NODES_ENTRY);
}

/* Cached state can't be confirmed but is all there is. */
static void test_silent_store_serves_all(void **state)
{
	reset_faults();
	for (int i = 0; i < 2; i++) {
		assert_all_served(2, OUTAGE_MS);
		assert_all_served(0, OUTAGE_MS);
	}
}

static bool all_refuse(const char *key)
{
	return book_at_all_nodes(key) == 0;
}

/* A configuration change also takes effect in time. */
static void test_conf_known_despite_silent_watch(void **state)
{
	static const char *const one_key[] = {"k1", NULL};
	int64_t start_ms;

	for (int i = 0; i < 3; i++) {
		reset_faults();
		assert_false(all_refuse("k2"));
		hosted_mute_watches(&h, "op/");
		hosted_publish_conf(&h, one_key);
		start_ms = clock_now_ms();
		while (!all_refuse("k2") &&
		       clock_now_ms() < start_ms + BOOKING_MS)
			;
		assert_in_range(clock_now_ms() - start_ms, 0, CONF_MS);
		publish_conf();
	}
}

static int runs_since(const char *batch, int64_t since)
{
	int n = 0;

	pthread_mutex_lock(&h.lock);
	for (int i = 0; i < h.n_runs; i++)
		n += h.runs[i].start_ms >= since &&
		     strncmp(h.runs[i].id, batch, strlen(batch)) == 0;
	pthread_mutex_unlock(&h.lock);
	return n;
}

/* Items of a lost node are sent again in time. */
static void test_lost_node_known_despite_silent_watch(void **state)
{
	for (int round = 0; round < 2; round++) {
		int64_t killed_ms;
		json_t *seen;
		char id[16];
		int owner;

		reset_faults();
		h.event_ms = LONG_EVENT_MS;
		snprintf(id, sizeof(id), "L%d", round);
		batch_submit(&ns, id, 0, 1);
		usleep(WATCHES_WAIT_MS * 1000);
		owner = batch_owner(&ns, id);
		assert_in_range(owner, 0, NODES - 1);
		/* This change makes every watch return and restart. */
		hosted_put(&h, "catkin/live/none", json_object());
		usleep(WATCH_RESTART_US);
		hosted_mute_watches(&h, "catkin/live/");
		proc_kill(&ns.list[owner].proc);
		killed_ms = clock_now_ms();
		while (!runs_since(id, killed_ms) &&
		       clock_now_ms() < killed_ms + 2 * RESENT_IN_MS)
			usleep(POLL_US);
		assert_true(node_start(&ns, owner));
		h.event_ms = 15;
		assert_in_range(clock_now_ms() - killed_ms, 0, RESENT_IN_MS);
		seen = batch_read_all(&ns, id, clock_now_ms() + BATCH_MS);
		json_decref(seen);
	}
}

/* An argument selects the test to run. */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_leave_without_faults),
		cmocka_unit_test(test_leave_known_despite_silent_watch),
		cmocka_unit_test(test_leave_known_despite_cut_off_relay),
		cmocka_unit_test(test_leave_known_despite_stopped_relay),
		cmocka_unit_test(test_removed_server_unused_if_calls_lost),
		cmocka_unit_test(test_late_response_does_not_restore_server),
		cmocka_unit_test(test_unreadable_entry_stops_use),
		cmocka_unit_test(test_silent_store_serves_all),
		cmocka_unit_test(test_conf_known_despite_silent_watch),
		cmocka_unit_test(test_lost_node_known_despite_silent_watch),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests(tests, setup, teardown);
}
