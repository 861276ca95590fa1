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
	ROUNDS = 8, ///< faults per pair
	PAIRS_MAX = 10,
	LIMIT_MS = 100000, ///< far more than needed, for a busy machine
	STEP_MS = 3,
	LATE_MS = 500, ///< delay of orders that arrive late
	LATE_DELAY_MS = 600, ///< net_delay setting, which must cover LATE_MS
};

struct fault {
	const char *name;
	void (*begin)(struct pair *p, int who);
	void (*end)(struct pair *p, int who);
};

struct run {
	struct pair pair;
	const struct fault *fault;
	struct rng rng;
	int who; ///< node under the fault, -1 for none
	int64_t next_ms;
	int rounds;
};

static struct proc platform;
static char url[64];
static struct run runs[PAIRS_MAX];

static void kill_it(struct pair *p, int who)
{
	proc_kill(&p->node[who].proc);
}

static void restart_it(struct pair *p, int who)
{
	pair_restart(p, who);
}

static void cut(struct pair *p, int who)
{
	link_set(p->node[who].link, LINK_CUT);
}

static void silence(struct pair *p, int who)
{
	link_set(p->node[who].link, LINK_SILENT);
}

static void lose_replies(struct pair *p, int who)
{
	link_set(p->node[who].link, LINK_SILENT_BACK);
}

static void mend(struct pair *p, int who)
{
	link_set(p->node[who].link, LINK_PASS);
}

static void hold_and_freeze(struct pair *p, int who)
{
	link_hold(p->node[who].link, PAIR_NET_DELAY_MS * 4 / 5, "");
	proc_signal(&p->node[who].proc, SIGSTOP);
}

static void release_and_thaw(struct pair *p, int who)
{
	proc_signal(&p->node[who].proc, SIGCONT);
	link_hold(p->node[who].link, 0, "");
}

static const struct fault faults[] = {
	{"killed", kill_it, restart_it},
	{"store unreachable at renewal", cut, mend},
	{"store silent at renewal", silence, mend},
	{"replies lost after the write took effect", lose_replies, mend},
	{"all bytes delayed, holder frozen", hold_and_freeze, release_and_thaw},
};

static int64_t span(struct run *r, int64_t from, int64_t to)
{
	return from + (int64_t)rng_below(&r->rng, (uint64_t)(to - from));
}

static void step(struct run *r)
{
	int64_t now = clock_now_ms();

	if (now < r->next_ms || (r->who < 0 && r->rounds == ROUNDS))
		return;
	if (r->who >= 0) {
		r->fault->end(&r->pair, r->who);
		r->who = -1;
		r->rounds++;
		r->next_ms = now + span(r, 0, 2 * PAIR_TTL_MS);
		return;
	}
	r->who = pair_holder(&r->pair);
	r->next_ms = now + STEP_MS;
	if (r->who < 0)
		return;
	r->fault->begin(&r->pair, r->who);
	r->next_ms = now + span(r, PAIR_TTL_MS / 10, 2 * PAIR_TTL_MS);
}

static void rest(int ms)
{
	const struct timespec nap = {ms / 1000, ms % 1000 * 1000000L};

	nanosleep(&nap, NULL);
}

static bool all_done(int n)
{
	for (int i = 0; i < n; i++) {
		if (runs[i].who >= 0 || runs[i].rounds < ROUNDS)
			return false;
	}
	return true;
}

static void start(int n, const char *const *args, int net_delay_ms)
{
	assert_true(pair_platform(&platform, args, url));
	for (int i = 0; i < n; i++) {
		struct run *r = &runs[i];

		*r = (struct run){.who = -1};
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
		pair_stop(&runs[i].pair);
	proc_kill(&platform);
}

static int count(const struct run *r, const char *name)
{
	static struct pair_count c;

	pair_counted(&r->pair, &c);
	printf("%s, %s: %s: seed %d, %d faults, %d epochs, %d orders, "
	       "%d stale\n",
	       r->pair.domain, r->pair.mode, name, SEED, r->rounds, c.epochs,
	       c.orders, c.stale);
	assert_true(c.epochs >= 2);
	return c.stale;
}

static void run_faults(int n, const char *const *args)
{
	int64_t end = clock_now_ms() + LIMIT_MS;

	start(n, args, PAIR_NET_DELAY_MS);
	while (!all_done(n) && clock_now_ms() < end) {
		for (int i = 0; i < n; i++)
			step(&runs[i]);
		rest(STEP_MS);
	}
	assert_true(all_done(n));
	for (int i = 0; i < n; i++)
		assert_int_equal(count(&runs[i], runs[i].fault->name), 0);
	stop(n);
}

static void test_fencing_ignored(void **state)
{
	run_faults(PAIRS_MAX, NULL);
}

static void test_fencing_checked(void **state)
{
	const char *const args[] = {"--fence", NULL};

	run_faults(PAIRS_MAX / 2, args);
}

static void fake(const char *method, const char *body)
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
 * Orders of one node are delayed while renewals fail, so its last ones arrive
 * after its lease has expired. Control: the last pair's successor doesn't wait
 * for them and must be caught.
 */
static void test_orders_arrive_late(void **state)
{
	enum {
		N = 4,
		CYCLES = 5, ///< at least
		CYCLES_MAX = 20 ///< until the last pair is caught
	};
	static struct pair_count c;

	start(N - 1, NULL, LATE_DELAY_MS);
	runs[N - 1] = (struct run){.pair = {.mode = "gate"}};
	assert_true(pair_start(&runs[N - 1].pair, N - 1, url));
	for (int i = 0; i < N; i++)
		link_hold(runs[i].pair.node[0].link, LATE_MS, "POST /orders");
	for (int i = 0; i < CYCLES || (c.stale == 0 && i < CYCLES_MAX); i++) {
		rest(3 * PAIR_TTL_MS);
		fake("POST", "{\"path\":\"/lease/\",\"mode\":\"error\","
			     "\"count\":-1}");
		rest(2 * PAIR_TTL_MS);
		fake("DELETE", NULL);
		pair_counted(&runs[N - 1].pair, &c);
	}
	rest(2 * PAIR_TTL_MS);
	for (int i = 0; i < N - 1; i++)
		assert_int_equal(count(&runs[i], "orders arrive late"), 0);
	assert_true(count(&runs[N - 1], "late, successor doesn't wait") > 0);
	stop(N);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_fencing_ignored),
		cmocka_unit_test(test_fencing_checked),
		cmocka_unit_test(test_orders_arrive_late),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
