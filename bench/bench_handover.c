// Time without orders after the holder of a duty is killed, with real processes:
// the lease must expire and the other node take over.
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/clock.h"
#include "support/pair.h"

enum {
	PAIRS = 4,
	KILLS = 5,
	LIMIT_MS = 60000,
	STEP_MS = 5,
	STEADY_MS = 2 * PAIR_TTL_MS, ///< from a handover to the next kill
	/// Store calls of a takeover: grant, create, epoch twice, list, intent.
	CALLS = 6,
	CALL_MS = 150, ///< timeout of a call, as in the settings
	BOUND_MS = PAIR_TTL_MS + PAIR_NET_DELAY_MS + CALLS * CALL_MS,
};

struct victim {
	struct pair pair;
	int last; ///< holder last seen, -1: none yet
	int64_t next_ms;
	int kills;
};

static struct proc platform;
static struct victim victims[PAIRS];

static void step(struct victim *v, int64_t now)
{
	int who;

	if (now < v->next_ms)
		return;
	who = pair_holder(&v->pair);
	if (who < 0)
		return;
	if (v->last != who) {
		v->last = who;
		v->next_ms = now + STEADY_MS;
		return;
	}
	if (v->kills == KILLS)
		return;
	proc_kill(&v->pair.node[who].proc);
	pair_restart(&v->pair, who);
	v->kills++;
	v->next_ms = now + PAIR_TTL_MS / 2;
}

static bool done(void)
{
	for (int i = 0; i < PAIRS; i++) {
		if (victims[i].kills < KILLS)
			return false;
	}
	return true;
}

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int report(void)
{
	static struct pair_count one;
	int64_t gaps[PAIRS * PAIR_GAPS];
	int n = 0, stale = 0;
	int64_t p50;

	for (int i = 0; i < PAIRS; i++) {
		pair_counted(&victims[i].pair, &one);
		stale += one.stale;
		for (int g = 0; g < one.gaps; g++)
			gaps[n++] = one.gap_ms[g];
	}
	if (n == 0)
		return 1;
	qsort(gaps, (size_t)n, sizeof(gaps[0]), by_value);
	p50 = gaps[n / 2];
	printf("bench handover_p50 %lld ms bound %d %s\n", (long long)p50,
	       BOUND_MS, p50 <= BOUND_MS ? "pass" : "fail");
	printf("bench handover_stale %d orders bound 0 %s\n", stale,
	       stale == 0 ? "pass" : "fail");
	return p50 > BOUND_MS || stale > 0;
}

int main(void)
{
	const struct timespec nap = {0, STEP_MS * 1000000L};
	int64_t end = clock_now_ms() + LIMIT_MS;
	char url[64];
	int ret = 1;

	if (!pair_platform(&platform, NULL, url))
		goto out;
	for (int i = 0; i < PAIRS; i++) {
		victims[i].last = -1;
		victims[i].pair.mode = "gate";
		victims[i].pair.net_delay_ms = PAIR_NET_DELAY_MS;
		if (!pair_start(&victims[i].pair, i, url))
			goto out;
	}
	while (!done() && clock_now_ms() < end) {
		for (int i = 0; i < PAIRS; i++)
			step(&victims[i], clock_now_ms());
		nanosleep(&nap, NULL);
	}
	nanosleep(&(struct timespec){2, 0}, NULL);
	ret = report();
out:
	for (int i = 0; i < PAIRS; i++)
		pair_stop(&victims[i].pair);
	proc_kill(&platform);
	return ret;
}
