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
	TEST_TIMEOUT_MS = 100000, ///< far more than needed, for a busy machine
	POLL_INTERVAL_US = 3000,
};

struct freezer {
	struct pair pair;
	struct rng rng;
	int frozen_node; ///< index of the frozen node, -1 for none
	int64_t next_ms;
	int64_t frozen_since_ms; ///< start of the freeze
	int freezes;
	int past_lease; ///< freezes longer than the lease
};

static struct proc platform;
static struct freezer freezers[PAIRS];

static int64_t random_ms(struct freezer *f, int64_t from, int64_t to)
{
	return from + (int64_t)rng_below(&f->rng, (uint64_t)(to - from));
}

static void freeze(struct freezer *f, int64_t now)
{
	int holder = pair_holder(&f->pair);

	f->next_ms = now + 20;
	if (holder < 0)
		return;
	proc_signal(&f->pair.node[holder].proc, SIGSTOP);
	f->frozen_node = holder;
	f->frozen_since_ms = now;
	f->next_ms = now + random_ms(f, PAIR_TTL_MS / 2, 2 * PAIR_TTL_MS);
}

static void resume(struct freezer *f, int64_t now)
{
	proc_signal(&f->pair.node[f->frozen_node].proc, SIGCONT);
	f->frozen_node = -1;
	f->freezes++;
	f->past_lease += now - f->frozen_since_ms > PAIR_TTL_MS;
	f->next_ms = now + random_ms(f, 0, PAIR_TTL_MS);
}

static void step(struct freezer *f, int limit)
{
	int64_t now = clock_now_ms();

	if (now < f->next_ms || (f->frozen_node < 0 && f->freezes >= limit))
		return;
	if (f->frozen_node >= 0)
		resume(f, now);
	else
		freeze(f, now);
}

static int freeze_count(int from, int to)
{
	int n = 0;

	for (int i = from; i < to; i++)
		n += freezers[i].freezes;
	return n;
}

static bool all_done(void)
{
	return freeze_count(0, GATE_PAIRS) >= GATE_FREEZES &&
	       freeze_count(GATE_PAIRS, PAIRS) >= NAIVE_FREEZES;
}

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Sum the counts of some pairs and print them. */
static struct pair_count sum_counts(const char *name, int from, int to)
{
	static struct pair_count sum, one;
	int past_lease = 0;

	sum = (struct pair_count){0};
	for (int i = from; i < to; i++) {
		pair_count_orders(&freezers[i].pair, &one);
		sum.orders += one.orders;
		sum.epochs += one.epochs;
		sum.stale += one.stale;
		past_lease += freezers[i].past_lease;
		for (int g = 0; g < one.gaps && sum.gaps < PAIR_GAPS_MAX; g++)
			sum.gap_ms[sum.gaps++] = one.gap_ms[g];
	}
	qsort(sum.gap_ms, (size_t)sum.gaps, sizeof(sum.gap_ms[0]),
	      compare_int64);
	printf("%s: seed %d, %d freezes, %d of them longer than the lease, "
	       "%d epochs, %d orders, %d stale\n",
	       name, SEED, freeze_count(from, to), past_lease, sum.epochs,
	       sum.orders, sum.stale);
	if (sum.gaps > 0)
		printf("%s: no orders at a handover for %lld ms (median), "
		       "%lld ms (p90); lease %d ms, network delay %d ms\n",
		       name, (long long)sum.gap_ms[sum.gaps / 2],
		       (long long)sum.gap_ms[sum.gaps * 9 / 10], PAIR_TTL_MS,
		       PAIR_NET_DELAY_MS);
	return sum;
}

static void test_frozen_holder_sends_no_stale_orders(void **state)
{
	int64_t end = clock_now_ms() + TEST_TIMEOUT_MS;
	const struct timespec interval = {0, POLL_INTERVAL_US * 1000};
	struct pair_count gate, naive;

	while (!all_done() && clock_now_ms() < end) {
		for (int i = 0; i < PAIRS; i++)
			step(&freezers[i],
			     i < GATE_PAIRS ? GATE_FREEZES / GATE_PAIRS
					    : NAIVE_FREEZES / NAIVE_PAIRS);
		nanosleep(&interval, NULL);
	}
	assert_true(all_done());
	gate = sum_counts("gate", 0, GATE_PAIRS);
	naive = sum_counts("check, then send", GATE_PAIRS, PAIRS);
	assert_int_equal(gate.stale, 0);
	assert_true(gate.epochs > GATE_FREEZES / 4);
	assert_true(naive.stale > 0);
}

static int setup(void **state)
{
	char url[64];

	if (!pair_start_platform(&platform, NULL, url))
		return -1;
	for (int i = 0; i < PAIRS; i++) {
		freezers[i].rng.state = SEED + (uint64_t)i;
		freezers[i].frozen_node = -1;
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
		cmocka_unit_test(test_frozen_holder_sends_no_stale_orders),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
