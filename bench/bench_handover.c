// Time without orders after the holder of a duty is killed, with real processes.
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/clock.h"
#include "support/pair.h"

enum {
	PAIRS = 4,
	KILLS_PER_PAIR = 5,
	RUN_LIMIT_MS = 60000,
	POLL_INTERVAL_MS = 5,
	STABLE_MS = 2 * PAIR_TTL_MS, ///< from a handover to the next kill
	/// Store calls of a takeover: grant, create, epoch twice, list, intent.
	TAKEOVER_CALLS = 6,
	TAKEOVER_CALL_MAX_MS = 150, ///< timeout of a call, as in the settings
	HANDOVER_BOUND_MS = PAIR_TTL_MS + PAIR_NET_DELAY_MS +
			    TAKEOVER_CALLS * TAKEOVER_CALL_MAX_MS,
};

struct order_pair {
	struct pair pair;
	int last_holder; ///< holder last seen, -1: none yet
	int64_t next_kill_ms;
	int kills;
};

static struct proc platform;
static struct order_pair order_pairs[PAIRS];

static void kill_holder_if_due(struct order_pair *v, int64_t now)
{
	int holder;

	if (now < v->next_kill_ms)
		return;
	holder = pair_holder(&v->pair);
	if (holder < 0)
		return;
	if (v->last_holder != holder) {
		v->last_holder = holder;
		v->next_kill_ms = now + STABLE_MS;
		return;
	}
	if (v->kills == KILLS_PER_PAIR)
		return;
	proc_kill(&v->pair.node[holder].proc);
	pair_restart(&v->pair, holder);
	v->kills++;
	v->next_kill_ms = now + PAIR_TTL_MS / 2;
}

static bool all_killed(void)
{
	for (int i = 0; i < PAIRS; i++) {
		if (order_pairs[i].kills < KILLS_PER_PAIR)
			return false;
	}
	return true;
}

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int report(void)
{
	static struct pair_count counts;
	int64_t gaps[PAIRS * PAIR_GAPS_MAX];
	int n = 0, stale = 0;
	int64_t p50;

	for (int i = 0; i < PAIRS; i++) {
		pair_count_orders(&order_pairs[i].pair, &counts);
		stale += counts.stale;
		for (int g = 0; g < counts.gaps; g++)
			gaps[n++] = counts.gap_ms[g];
	}
	if (n == 0)
		return 1;
	qsort(gaps, (size_t)n, sizeof(gaps[0]), compare_int64);
	p50 = gaps[n / 2];
	printf("bench handover_p50 %lld ms bound %d %s\n", (long long)p50,
	       HANDOVER_BOUND_MS, p50 <= HANDOVER_BOUND_MS ? "pass" : "fail");
	printf("bench handover_stale %d orders bound 0 %s\n", stale,
	       stale == 0 ? "pass" : "fail");
	return p50 > HANDOVER_BOUND_MS || stale > 0;
}

int main(void)
{
	const struct timespec pause = {0, POLL_INTERVAL_MS * 1000000L};
	int64_t deadline_ms = clock_now_ms() + RUN_LIMIT_MS;
	char url[64];
	int ret = 1;

	if (!pair_start_platform(&platform, NULL, url))
		goto out;
	for (int i = 0; i < PAIRS; i++) {
		order_pairs[i].last_holder = -1;
		order_pairs[i].pair.mode = "gate";
		order_pairs[i].pair.net_delay_ms = PAIR_NET_DELAY_MS;
		if (!pair_start(&order_pairs[i].pair, i, url))
			goto out;
	}
	while (!all_killed() && clock_now_ms() < deadline_ms) {
		for (int i = 0; i < PAIRS; i++)
			kill_holder_if_due(&order_pairs[i], clock_now_ms());
		nanosleep(&pause, NULL);
	}
	nanosleep(&(struct timespec){2, 0}, NULL);
	ret = report();
out:
	for (int i = 0; i < PAIRS; i++)
		pair_stop(&order_pairs[i].pair);
	proc_kill(&platform);
	return ret;
}
