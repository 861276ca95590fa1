// Servers that name a limit get no more requests a second than that from all nodes
// together, and callers are told at once when to come back.
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
#include <pthread.h>

#include "base/clock.h"
#include "batches.h"

enum {
	LIMIT_PER_S = 2, ///< that each server names
	WINDOW_MS = 4000,
	/// In a window: one and a half times the limit, and 5 (the users' rule).
	WINDOW_RUNS_MAX = 3 * LIMIT_PER_S * WINDOW_MS / 2000 + 5,
	/// Until each node has passed on an answer that names the limit.
	LEARN_MS = 1500,
	LOAD_MS = 10000,
	/// Of what both servers take. test_limit holds the share that is aimed at, in
	/// virtual time; here permits expire while a busy machine runs something else.
	SERVED_MIN_PERCENT = 50,
	REFUSED_IN_MS = 700, ///< a node holds a request this long at most
	LATE_MAX_PERCENT = 5, ///< of the refusals, for pauses of the machine
	POLL_US = 10000,
	EVENT_MS = 15,
	BATCHES = 5, ///< more items than the engines take in two windows
	BATCH_MS = 30000,
};

static struct hosted h;
static struct nodes ns;
static CURL *callers[NODES_ENTRY];

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	h.event_ms = EVENT_MS;
	for (int i = 0; i < NODES_ENTRY; i++)
		callers[i] = curl_easy_init();
	return nodes_start_default(&ns, &h) ? 0 : -1;
}

static int teardown(void **state)
{
	for (int i = 0; i < NODES_ENTRY; i++)
		curl_easy_cleanup(callers[i]);
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

static void set_limit(int first, int n, const char *limit)
{
	pthread_mutex_lock(&h.lock);
	for (int i = first; i < first + n; i++)
		h.servers[i].limit = limit;
	pthread_mutex_unlock(&h.lock);
}

/* Most runs that began at one of n servers within a window, from a time on. */
static int max_runs_in_window(int first, int n_servers, int64_t since)
{
	int max = 0;

	pthread_mutex_lock(&h.lock);
	for (int a = 0; a < h.n_runs; a++) {
		int n = 0;

		for (int b = a; b < h.n_runs; b++)
			n += h.runs[b].server == h.runs[a].server &&
			     h.runs[b].start_ms >= h.runs[a].start_ms &&
			     h.runs[b].start_ms - h.runs[a].start_ms <
				     WINDOW_MS;
		if (h.runs[a].start_ms >= since && h.runs[a].server >= first &&
		    h.runs[a].server < first + n_servers && n > max)
			max = n;
	}
	pthread_mutex_unlock(&h.lock);
	return max;
}

struct load {
	int served;
	int refused; ///< 503
	int failed; ///< any other error
	int without_time; ///< refused and not told when to come back
	int late; ///< refused after more than REFUSED_IN_MS
};

/* Bookings of one caller at one node, one after the other. */
struct caller {
	pthread_t thread;
	int node;
	int64_t until_ms;
	struct load load;
};

static void book(struct caller *k, int n)
{
	struct load *l = &k->load;
	struct response a;
	int64_t start_ms = clock_now_ms();
	int64_t ms;
	char id[64];

	snprintf(id, sizeof(id), "b%d.%lld.%d", k->node, (long long)k->until_ms,
		 n);
	node_call_with(callers[k->node], &ns, k->node, "POST", "/book/a", "k1",
		       id, "x", &a);
	ms = clock_now_ms() - start_ms;
	if (a.status == 200) {
		l->served++;
	} else {
		l->refused += a.status == 503;
		l->failed += a.status != 503;
		l->without_time += atof(a.retry_after) <= 0;
		l->late += ms > REFUSED_IN_MS;
	}
	response_free(&a);
}

static void *book_loop(void *ctx)
{
	struct caller *k = ctx;

	for (int n = 0; clock_now_ms() < k->until_ms; n++) {
		book(k, n);
		usleep(POLL_US);
	}
	return NULL;
}

/* One caller at each entry node. */
static struct load book_for(int ms)
{
	struct caller k[NODES_ENTRY];
	struct load sum = {0};

	for (int i = 0; i < NODES_ENTRY; i++) {
		k[i] = (struct caller){.node = i,
				       .until_ms = clock_now_ms() + ms};
		pthread_create(&k[i].thread, NULL, book_loop, &k[i]);
	}
	for (int i = 0; i < NODES_ENTRY; i++) {
		pthread_join(k[i].thread, NULL);
		sum.served += k[i].load.served;
		sum.refused += k[i].load.refused;
		sum.failed += k[i].load.failed;
		sum.without_time += k[i].load.without_time;
		sum.late += k[i].load.late;
	}
	return sum;
}

static void test_limited_servers_overloaded_by_many_nodes(void **state)
{
	int64_t start_ms;
	struct load l;

	book_for(LEARN_MS);
	set_limit(HOSTED_ENGINES, HOSTED_BOOKING_SERVERS, "2");
	book_for(LEARN_MS);
	start_ms = clock_now_ms();
	l = book_for(LOAD_MS);
	print_message("served %d, refused %d, %d of them late\n", l.served,
		      l.refused, l.late);
	assert_in_range(max_runs_in_window(HOSTED_ENGINES,
					   HOSTED_BOOKING_SERVERS, start_ms),
			1, WINDOW_RUNS_MAX);
	assert_in_range(l.served,
			HOSTED_BOOKING_SERVERS * LIMIT_PER_S * LOAD_MS / 1000 *
				SERVED_MIN_PERCENT / 100,
			LOAD_MS);
	assert_true(l.refused > 0);
	assert_int_equal(l.failed, 0);
	assert_int_equal(l.without_time, 0);
	assert_in_range(l.late, 0, l.refused * LATE_MAX_PERCENT / 100);
	/* An answer without a limit ends it, for all nodes. */
	set_limit(HOSTED_ENGINES, HOSTED_BOOKING_SERVERS, NULL);
	book_for(2 * WINDOW_MS);
	l = book_for(LEARN_MS);
	assert_int_equal(l.refused, 0);
}

/* Engines with a limit: batches take longer and become whole. */
static void test_limited_engines_overloaded_by_batches(void **state)
{
	int64_t start_ms;
	char id[BATCHES][16];

	set_limit(0, HOSTED_ENGINES, "2");
	batch_submit(&ns, "warm", 0, 1);
	json_decref(batch_read_all(&ns, "warm", clock_now_ms() + BATCH_MS));
	start_ms = clock_now_ms();
	for (int i = 0; i < BATCHES; i++) {
		snprintf(id[i], sizeof(id[i]), "lim%d", i);
		batch_submit(&ns, id[i], i % NODES_ENTRY, 1);
	}
	for (int i = 0; i < BATCHES; i++)
		json_decref(batch_read_all(&ns, id[i], start_ms + BATCH_MS));
	assert_in_range(max_runs_in_window(0, HOSTED_ENGINES, start_ms), 1,
			WINDOW_RUNS_MAX);
	set_limit(0, HOSTED_ENGINES, NULL);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limited_servers_overloaded_by_many_nodes),
		cmocka_unit_test(test_limited_engines_overloaded_by_batches),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
