// Duty holders are frozen at random points until after their lease expires: the
// platform receives no order of an old epoch after the first of a newer one.
// Control: holders that check the lease and then send fail the same check.
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
#include "support/pair.h"

enum {
	SEED = 20261204,
	GATE_PAIRS = 8,
	GATE_FREEZES = 200,
	NAIVE_PAIRS = 2,
	NAIVE_FREEZES = 40,
	PAIRS = GATE_PAIRS + NAIVE_PAIRS,
	LIMIT_MS = 100000, ///< far more than needed, for a busy machine
	STEP_US = 3000,
};

struct freezer {
	struct pair pair;
	struct rng rng;
	int frozen; ///< index of the frozen node, -1 for none
	int64_t next_ms;
	int64_t since_ms; ///< start of the freeze
	int freezes;
	int across; ///< freezes longer than the lease
};

static struct proc platform;
static struct freezer freezers[PAIRS];

static int64_t span(struct freezer *f, int64_t from, int64_t to)
{
	return from + (int64_t)rng_below(&f->rng, (uint64_t)(to - from));
}

static void freeze(struct freezer *f, int64_t now)
{
	int who = pair_holder(&f->pair);

	f->next_ms = now + 20;
	if (who < 0)
		return;
	proc_signal(&f->pair.node[who].proc, SIGSTOP);
	f->frozen = who;
	f->since_ms = now;
	f->next_ms = now + span(f, PAIR_TTL_MS / 2, 2 * PAIR_TTL_MS);
}

static void thaw(struct freezer *f, int64_t now)
{
	proc_signal(&f->pair.node[f->frozen].proc, SIGCONT);
	f->frozen = -1;
	f->freezes++;
	f->across += now - f->since_ms > PAIR_TTL_MS;
	f->next_ms = now + span(f, 0, PAIR_TTL_MS);
}

static void step(struct freezer *f, int limit)
{
	int64_t now = clock_now_ms();

	if (now < f->next_ms || (f->frozen < 0 && f->freezes >= limit))
		return;
	if (f->frozen >= 0)
		thaw(f, now);
	else
		freeze(f, now);
}

static int freezes(int from, int to)
{
	int n = 0;

	for (int i = from; i < to; i++)
		n += freezers[i].freezes;
	return n;
}

static bool all_done(void)
{
	return freezes(0, GATE_PAIRS) >= GATE_FREEZES &&
	       freezes(GATE_PAIRS, PAIRS) >= NAIVE_FREEZES;
}

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Sum the counts of some pairs and print them. */
static struct pair_count report(const char *name, int from, int to)
{
	static struct pair_count sum, one;
	int across = 0;

	sum = (struct pair_count){0};
	for (int i = from; i < to; i++) {
		pair_counted(&freezers[i].pair, &one);
		sum.orders += one.orders;
		sum.epochs += one.epochs;
		sum.stale += one.stale;
		across += freezers[i].across;
		for (int g = 0; g < one.gaps && sum.gaps < PAIR_GAPS; g++)
			sum.gap_ms[sum.gaps++] = one.gap_ms[g];
	}
	qsort(sum.gap_ms, (size_t)sum.gaps, sizeof(sum.gap_ms[0]), by_value);
	printf("%s: seed %d, %d freezes, %d of them longer than the lease, "
	       "%d epochs, %d orders, %d stale\n",
	       name, SEED, freezes(from, to), across, sum.epochs, sum.orders,
	       sum.stale);
	if (sum.gaps > 0)
		printf("%s: no orders at a handover for %lld ms (median), "
		       "%lld ms (p90); lease %d ms, network delay %d ms\n",
		       name, (long long)sum.gap_ms[sum.gaps / 2],
		       (long long)sum.gap_ms[sum.gaps * 9 / 10], PAIR_TTL_MS,
		       PAIR_NET_DELAY_MS);
	return sum;
}

static void test_freezes(void **state)
{
	int64_t end = clock_now_ms() + LIMIT_MS;
	const struct timespec nap = {0, STEP_US * 1000};
	struct pair_count gate, naive;

	while (!all_done() && clock_now_ms() < end) {
		for (int i = 0; i < PAIRS; i++)
			step(&freezers[i],
			     i < GATE_PAIRS ? GATE_FREEZES / GATE_PAIRS
					    : NAIVE_FREEZES / NAIVE_PAIRS);
		nanosleep(&nap, NULL);
	}
	assert_true(all_done());
	gate = report("gate", 0, GATE_PAIRS);
	naive = report("check, then send", GATE_PAIRS, PAIRS);
	assert_int_equal(gate.stale, 0);
	assert_true(gate.epochs > GATE_FREEZES / 4);
	assert_true(naive.stale > 0);
}

static int setup(void **state)
{
	char url[64];

	if (!pair_platform(&platform, NULL, url))
		return -1;
	for (int i = 0; i < PAIRS; i++) {
		freezers[i].rng.state = SEED + (uint64_t)i;
		freezers[i].frozen = -1;
		freezers[i].pair.net_delay_ms = PAIR_NET_DELAY_MS;
		freezers[i].pair.mode = i < GATE_PAIRS ? "gate" : "naive";
		if (!pair_start(&freezers[i].pair, i, url))
			return -1;
	}
	return 0;
}

static int teardown(void **state)
{
	for (int i = 0; i < PAIRS; i++)
		pair_stop(&freezers[i].pair);
	proc_kill(&platform);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_freezes),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
