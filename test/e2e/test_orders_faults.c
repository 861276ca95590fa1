// Duty holders are killed, cut off, lose replies or have their orders delayed:
// no order of an old epoch arrives after the first of a newer one, whether or
// not the platform checks the fencing token.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <cmocka.h>

#include "base/clock.h"
#include "base/rng.h"
#include "support/http.h"
#include "support/pair.h"

enum {
	SEED = 77,
	FAULTS_PER_PAIR = 8,
	PAIRS_MAX = 10,
	TEST_TIMEOUT_MS = 100000, ///< far more than needed, for a busy machine
	POLL_INTERVAL_MS = 3,
	ORDER_DELAY_MS = 500, ///< delay of orders that arrive late
	NET_DELAY_SETTING_MS = 600, ///< must cover ORDER_DELAY_MS
};

struct fault {
	const char *name;
	void (*begin)(struct pair *p, int target);
	void (*end)(struct pair *p, int target);
};

struct fault_run {
	struct pair pair;
	const struct fault *fault;
	struct rng rng;
	int target; ///< node under the fault, -1 for none
	int64_t next_ms;
	int faults_done;
};

static struct proc platform;
static char url[64];
static struct fault_run fault_runs[PAIRS_MAX];

static void kill_node(struct pair *p, int target)
{
	proc_kill(&p->node[target].proc);
}

static void restart_node(struct pair *p, int target)
{
	pair_restart(p, target);
}

static void cut_link(struct pair *p, int target)
{
	link_set_mode(p->node[target].link, LINK_RESET);
}

static void silence_link(struct pair *p, int target)
{
	link_set_mode(p->node[target].link, LINK_BLACKHOLE);
}

static void lose_replies(struct pair *p, int target)
{
	link_set_mode(p->node[target].link, LINK_DROP_REPLIES);
}

static void restore_link(struct pair *p, int target)
{
	link_set_mode(p->node[target].link, LINK_PASS);
}

static void delay_link_and_freeze(struct pair *p, int target)
{
	link_delay(p->node[target].link, PAIR_NET_DELAY_MS * 4 / 5, "");
	proc_signal(&p->node[target].proc, SIGSTOP);
}

static void resume_and_restore_link(struct pair *p, int target)
{
	proc_signal(&p->node[target].proc, SIGCONT);
	link_delay(p->node[target].link, 0, "");
}

static const struct fault faults[] = {
	{"killed", kill_node, restart_node},
	{"store unreachable at renewal", cut_link, restore_link},
	{"store silent at renewal", silence_link, restore_link},
	{"replies lost after the write took effect", lose_replies,
	 restore_link},
	{"all bytes delayed, holder frozen", delay_link_and_freeze,
	 resume_and_restore_link},
};

static int64_t random_ms(struct fault_run *r, int64_t from, int64_t to)
{
	return from + (int64_t)rng_below(&r->rng, (uint64_t)(to - from));
}

static void step(struct fault_run *r)
{
	int64_t now = clock_now_ms();

	if (now < r->next_ms ||
	    (r->target < 0 && r->faults_done == FAULTS_PER_PAIR))
		return;
	if (r->target >= 0) {
		r->fault->end(&r->pair, r->target);
		r->target = -1;
		r->faults_done++;
		r->next_ms = now + random_ms(r, 0, 2 * PAIR_TTL_MS);
		return;
	}
	r->target = pair_holder(&r->pair);
	r->next_ms = now + POLL_INTERVAL_MS;
	if (r->target < 0)
		return;
	r->fault->begin(&r->pair, r->target);
	r->next_ms = now + random_ms(r, PAIR_TTL_MS / 10, 2 * PAIR_TTL_MS);
}

static void sleep_ms(int ms)
{
	const struct timespec duration = {ms / 1000, ms % 1000 * 1000000L};

	nanosleep(&duration, NULL);
}

static bool all_done(int n)
{
	for (int i = 0; i < n; i++) {
		if (fault_runs[i].target >= 0 ||
		    fault_runs[i].faults_done < FAULTS_PER_PAIR)
			return false;
	}
	return true;
}

static void start(int n, const char *const *args, int net_delay_ms)
{
	assert_true(pair_start_platform(&platform, args, url));
	for (int i = 0; i < n; i++) {
		struct fault_run *r = &fault_runs[i];

		*r = (struct fault_run){.target = -1};
		r->rng.state = SEED + (uint64_t)i;
		r->fault = &faults[(size_t)i %
				   (sizeof(faults) / sizeof(faults[0]))];
		r->pair.mode = i < PAIRS_MAX / 2 ? "gate" : "report";
		r->pair.net_delay_ms = net_delay_ms;
		assert_true(pair_start(&r->pair, i, url));
	}
}

static void stop(int n)
{
	for (int i = 0; i < n; i++)
		pair_stop(&fault_runs[i].pair);
	proc_kill(&platform);
}

static int report_stale_orders(const struct fault_run *r, const char *name)
{
	static struct pair_count c;

	pair_count_orders(&r->pair, &c);
	printf("%s, %s: %s: seed %d, %d faults, %d epochs, %d orders, "
	       "%d stale\n",
	       r->pair.domain, r->pair.mode, name, SEED, r->faults_done,
	       c.epochs, c.orders, c.stale);
	assert_true(c.epochs >= 2);
	return c.stale;
}

static void run_faults(int n, const char *const *args)
{
	int64_t end = clock_now_ms() + TEST_TIMEOUT_MS;

	start(n, args, PAIR_NET_DELAY_MS);
	while (!all_done(n) && clock_now_ms() < end) {
		for (int i = 0; i < n; i++)
			step(&fault_runs[i]);
		sleep_ms(POLL_INTERVAL_MS);
	}
	assert_true(all_done(n));
	for (int i = 0; i < n; i++)
		assert_int_equal(report_stale_orders(&fault_runs[i],
						     fault_runs[i].fault->name),
				 0);
	stop(n);
}

static void test_no_stale_orders_without_fencing(void **state)
{
	run_faults(PAIRS_MAX, NULL);
}

static void test_no_stale_orders_with_fencing(void **state)
{
	const char *const args[] = {"--fence", NULL};

	run_faults(PAIRS_MAX / 2, args);
}

static void set_platform_fault(const char *method, const char *body)
{
	char path[128];
	const struct http_opts opts = {
		.method = method, .url = path, .body = body};
	struct http_res res;

	snprintf(path, sizeof(path), "%s/fake/fault", url);
	assert_int_equal(http_call(&opts, &res), 200);
	http_free(&res);
}

/*
 * Delayed orders arrive after the lease expired, as renewals fail. Control: the
 * last pair's successor doesn't wait for them and must be caught.
 */
static void test_successor_waits_for_late_orders(void **state)
{
	enum {
		N = 4,
		CYCLES = 5, ///< at least
		CYCLES_MAX = 20 ///< until the last pair is caught
	};
	static struct pair_count c;

	start(N - 1, NULL, NET_DELAY_SETTING_MS);
	fault_runs[N - 1] = (struct fault_run){.pair = {.mode = "gate"}};
	assert_true(pair_start(&fault_runs[N - 1].pair, N - 1, url));
	for (int i = 0; i < N; i++)
		link_delay(fault_runs[i].pair.node[0].link, ORDER_DELAY_MS,
			   "POST /orders");
	for (int i = 0; i < CYCLES || (c.stale == 0 && i < CYCLES_MAX); i++) {
		sleep_ms(3 * PAIR_TTL_MS);
		set_platform_fault("POST",
				   "{\"path\":\"/lease/\",\"mode\":\"error\","
				   "\"count\":-1}");
		sleep_ms(2 * PAIR_TTL_MS);
		set_platform_fault("DELETE", NULL);
		pair_count_orders(&fault_runs[N - 1].pair, &c);
	}
	sleep_ms(2 * PAIR_TTL_MS);
	for (int i = 0; i < N - 1; i++)
		assert_int_equal(report_stale_orders(&fault_runs[i],
						     "orders arrive late"),
				 0);
	assert_true(report_stale_orders(&fault_runs[N - 1],
					"late, successor doesn't wait") > 0);
	stop(N);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_stale_orders_without_fencing),
		cmocka_unit_test(test_no_stale_orders_with_fencing),
		cmocka_unit_test(test_successor_waits_for_late_orders),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
