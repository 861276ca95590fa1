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
	RUN_S = 60,
	CALLS_PER_S = 60, ///< of the other seven teams together
	FLOOD_PER_STEP = 1, ///< 10,000 a second: 16 times the servers' capacity
	QUEUE_CAPACITY = 10000,
	TEAM_QUEUE_MAX = 2000,
	CALLS_MAX = 1 << 20,
	SEED = 3,
};

struct call {
	int64_t submitted_us;
	int team; ///< team 0 floods
};

struct sim {
	bool fifo;
	struct rng rng;
	struct admit *admit;
	uint32_t fifo_queue[QUEUE_CAPACITY];
	size_t head;
	size_t n;
	int64_t end_us[SLOTS];
	uint32_t running_calls[SLOTS];
	int64_t now_us;
};

static struct call calls[CALLS_MAX];
static int64_t latency_us[CALLS_MAX];

static void push(struct sim *w, uint32_t i)
{
	struct admit_bounds b = {QUEUE_CAPACITY, TEAM_QUEUE_MAX};
	struct admit_request r = {
		.level = ADMIT_PRIORITY,
		.team = (uint64_t)calls[i].team + 1,
		.weight = 1,
		.cost = 1,
		.deadline_ms = w->now_us / 1000 + 10000,
		.user = i,
	};

	if (!w->fifo)
		admit_push(w->admit, w->now_us / 1000, &r, &b);
	else if (w->n < QUEUE_CAPACITY)
		w->fifo_queue[(w->head + w->n++) % QUEUE_CAPACITY] = i;
}

static bool pop(struct sim *w, uint32_t *i)
{
	if (!w->fifo)
		return admit_pop(w->admit, i);
	if (w->n == 0)
		return false;
	*i = w->fifo_queue[w->head];
	w->head = (w->head + 1) % QUEUE_CAPACITY;
	w->n--;
	return true;
}

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void step(struct sim *w, size_t *n_latencies)
{
	for (int s = 0; s < SLOTS; s++) {
		if (w->end_us[s] && w->end_us[s] <= w->now_us) {
			const struct call *c = &calls[w->running_calls[s]];

			w->end_us[s] = 0;
			if (c->team != 0 && *n_latencies < CALLS_MAX)
				latency_us[(*n_latencies)++] =
					w->now_us - c->submitted_us;
			admit_progress(w->admit, w->now_us / 1000, 1);
		}
		if (!w->end_us[s] && pop(w, &w->running_calls[s]))
			w->end_us[s] =
				w->now_us + RUN_MIN_US +
				(int64_t)rng_below(&w->rng, RUN_SPREAD_US);
	}
}

/* 99th percentile of the latency of the seven teams' calls, ms. */
static double booking_p99_ms(bool flood, bool fifo)
{
	struct sim *w = calloc(1, sizeof(*w));
	size_t n_latencies = 0;
	size_t p99_index;
	uint32_t n = 0;
	double p99_ms;

	w->fifo = fifo;
	w->rng.state = SEED;
	w->admit = admit_new(QUEUE_CAPACITY + 1);
	for (w->now_us = STEP_US; w->now_us < RUN_S * 1000000LL;
	     w->now_us += STEP_US) {
		if (rng_below(&w->rng, 1000000 / STEP_US) < CALLS_PER_S) {
			calls[n] = (struct call){
				w->now_us, 1 + (int)rng_below(&w->rng, 7)};
			push(w, n++ % CALLS_MAX);
		}
		for (int k = 0; flood && k < FLOOD_PER_STEP; k++) {
			calls[n] = (struct call){w->now_us, 0};
			push(w, n++ % CALLS_MAX);
		}
		step(w, &n_latencies);
	}
	qsort(latency_us, n_latencies, sizeof(*latency_us), compare_int64);
	p99_index = n_latencies * 99 / 100;
	p99_ms = n_latencies ? (double)latency_us[p99_index] / 1000 : 1e9;
	admit_free(w->admit);
	free(w);
	return p99_ms;
}

int main(void)
{
	double quiet = booking_p99_ms(false, false);
	double flooded = booking_p99_ms(true, false);
	bool ok = bench_check("booking_p99_under_flood", flooded / quiet,
			      "of_unloaded", BENCH_AT_MOST, 2);

	printf("# p99 %.1f ms unloaded, %.1f ms under a flood; FIFO "
	       "%.1f ms\n",
	       quiet, flooded, booking_p99_ms(true, true));
	return !ok;
}
