// Booking latency of seven teams while an eighth floods the booking servers,
// compared with the same load without the flood, and with FIFO. Virtual time.
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admit/admit.h"
#include "base/rng.h"
#include "support/bench.h"

enum {
	SLOTS = 12, ///< of three booking servers
	RUN_MIN_US = 10000,
	RUN_SPREAD_US = 20000,
	STEP_US = 100,
	SECONDS = 60,
	CALLS_PER_S = 60, ///< of the other seven teams together
	FLOOD_PER_STEP = 1, ///< 10,000 a second: 16 times the servers' capacity
	QUEUE = 10000,
	TEAM_MAX = 2000,
	CALLS_MAX = 1 << 20,
	SEED = 3,
};

struct call {
	int64_t at;
	int team; ///< team 0 floods
};

struct world {
	bool fifo;
	struct rng rng;
	struct admit *admit;
	uint32_t ring[QUEUE];
	size_t head;
	size_t n;
	int64_t ends[SLOTS];
	uint32_t runs[SLOTS];
	int64_t now;
};

static struct call calls[CALLS_MAX];
static int64_t took[CALLS_MAX];

static void push(struct world *w, uint32_t i)
{
	struct admit_bounds b = {QUEUE, TEAM_MAX};
	struct admit_request r = {
		.level = ADMIT_FIRST,
		.team = (uint64_t)calls[i].team + 1,
		.weight = 1,
		.cost = 1,
		.deadline_ms = w->now / 1000 + 10000,
		.user = i,
	};

	if (!w->fifo)
		admit_push(w->admit, w->now / 1000, &r, &b);
	else if (w->n < QUEUE)
		w->ring[(w->head + w->n++) % QUEUE] = i;
}

static bool pop(struct world *w, uint32_t *i)
{
	if (!w->fifo)
		return admit_pop(w->admit, i);
	if (w->n == 0)
		return false;
	*i = w->ring[w->head];
	w->head = (w->head + 1) % QUEUE;
	w->n--;
	return true;
}

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void step(struct world *w, size_t *n_took)
{
	for (int s = 0; s < SLOTS; s++) {
		if (w->ends[s] && w->ends[s] <= w->now) {
			const struct call *c = &calls[w->runs[s]];

			w->ends[s] = 0;
			if (c->team != 0 && *n_took < CALLS_MAX)
				took[(*n_took)++] = w->now - c->at;
			admit_progress(w->admit, w->now / 1000, 1);
		}
		if (!w->ends[s] && pop(w, &w->runs[s]))
			w->ends[s] = w->now + RUN_MIN_US +
				     (int64_t)rng_below(&w->rng, RUN_SPREAD_US);
	}
}

/* 99th percentile of the latency of the seven teams' calls, ms. */
static double run(bool flood, bool fifo)
{
	struct world *w = calloc(1, sizeof(*w));
	size_t n_took = 0;
	size_t at;
	uint32_t n = 0;
	double p99;

	w->fifo = fifo;
	w->rng.state = SEED;
	w->admit = admit_new(QUEUE + 1);
	for (w->now = STEP_US; w->now < SECONDS * 1000000LL;
	     w->now += STEP_US) {
		if (rng_below(&w->rng, 1000000 / STEP_US) < CALLS_PER_S) {
			calls[n] = (struct call){
				w->now, 1 + (int)rng_below(&w->rng, 7)};
			push(w, n++ % CALLS_MAX);
		}
		for (int k = 0; flood && k < FLOOD_PER_STEP; k++) {
			calls[n] = (struct call){w->now, 0};
			push(w, n++ % CALLS_MAX);
		}
		step(w, &n_took);
	}
	qsort(took, n_took, sizeof(*took), by_value);
	at = n_took * 99 / 100;
	p99 = n_took ? (double)took[at] / 1000 : 1e9;
	admit_free(w->admit);
	free(w);
	return p99;
}

int main(void)
{
	double quiet = run(false, false);
	double flooded = run(true, false);
	bool ok = bench_check("booking_p99_under_flood", flooded / quiet,
			      "of_unloaded", BENCH_AT_MOST, 2);

	printf("# p99 %.1f ms unloaded, %.1f ms under a flood; FIFO "
	       "%.1f ms\n",
	       quiet, flooded, run(true, true));
	return !ok;
}
