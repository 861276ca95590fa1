// Routing over engines with prefix caches, compared with round robin, least
// outstanding and random: latency, throughput and cache hits, with stale load
// reports, lost cache events, and unannounced evictions. Virtual time.
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "route/route.h"
#include "support/bench.h"

enum {
	ENGINES = 30,
	SLOTS = 16, ///< of an engine
	NODES = 12, ///< each sees its own requests and stale load reports
	NODE_SLOTS_MAX = 4, ///< of an engine, that one node may use
	PREFIXES = 600,
	CACHE_PREFIXES = 40, ///< prefixes that an engine holds
	PREFILL_MS = 900, ///< without the prefix in the cache
	DECODE_MS = 1200, ///< mean; uniform up to twice that
	REPORT_INTERVAL_MS = 1000,
	REPORT_LAG_MS = 1500,
	EVENT_LOSS_PER_MILLE = 100, ///< cache events lost
	/// Between losses of one engine's whole cache.
	EVICT_INTERVAL_MS = 20000,
	RATE_PER_S = 200,
	RUN_MS = 120000,
	WARMUP_MS = 20000,
	REQUESTS_MAX = 40000,
	SEED = 9,
};

enum policy {
	POLICY_ROUTE,
	POLICY_ROUND_ROBIN,
	POLICY_LEAST_OUTSTANDING,
	POLICY_RANDOM,
	POLICIES
};

static const char *const policy_names[] = {"route", "round_robin",
					   "least_outstanding", "random"};

struct engine {
	uint64_t cache[CACHE_PREFIXES]; ///< least recently used last
	int n_cache;
	int running;
};

struct run {
	int64_t end_ms;
	int64_t arrived_ms;
	int engine;
	int node;
};

struct sim {
	enum policy policy;
	struct rng rng;
	struct route *routes[NODES];
	struct engine engines[ENGINES];
	int own[NODES][ENGINES];
	struct run runs[ENGINES * SLOTS];
	size_t n_runs;
	struct {
		int64_t arrived_ms;
		uint64_t prefix;
		int node;
	} waiting[REQUESTS_MAX];
	size_t head;
	size_t tail;
	int last_engine;
	int64_t now_ms;
	int hits;
	int starts;
	int done;
};

static int64_t latency_ms[REQUESTS_MAX];

static bool cache_use(struct engine *e, uint64_t prefix)
{
	int pos = 0;
	bool hit;

	while (pos < e->n_cache && e->cache[pos] != prefix)
		pos++;
	hit = pos < e->n_cache;
	if (!hit && e->n_cache < CACHE_PREFIXES)
		e->n_cache++;
	if (pos >= CACHE_PREFIXES)
		pos = CACHE_PREFIXES - 1;
	memmove(&e->cache[1], &e->cache[0], (size_t)pos * sizeof(*e->cache));
	e->cache[0] = prefix;
	return hit;
}

static bool fits(const struct sim *w, int node, int engine)
{
	return w->own[node][engine] < NODE_SLOTS_MAX &&
	       w->engines[engine].running < SLOTS;
}

static int pick_least_outstanding(const struct sim *w, int node)
{
	int best = ROUTE_NONE;

	for (int i = 0; i < ENGINES; i++) {
		if (fits(w, node, i) && (best == ROUTE_NONE ||
					 w->own[node][i] < w->own[node][best]))
			best = i;
	}
	return best;
}

static int pick(struct sim *w, int node, uint64_t prefix)
{
	struct route_request ask = {prefix, ROUTE_NONE, true};

	if (w->policy == POLICY_ROUTE)
		return route_choose(w->routes[node], &w->rng, w->now_ms, &ask);
	if (w->policy == POLICY_LEAST_OUTSTANDING)
		return pick_least_outstanding(w, node);
	for (int k = 0; k < 4 * ENGINES; k++) {
		int i = w->policy == POLICY_ROUND_ROBIN
				? (w->last_engine =
					   (w->last_engine + 1) % ENGINES)
				: (int)rng_below(&w->rng, ENGINES);

		if (fits(w, node, i))
			return i;
	}
	return ROUTE_NONE;
}

/* All nodes learn of free slots through permits, without delay. */
static void update_free_slots(struct sim *w, int engine)
{
	for (int n = 0; n < NODES; n++) {
		int free_slots = SLOTS - w->engines[engine].running;
		int node_slots = NODE_SLOTS_MAX - w->own[n][engine];

		route_set_slots(w->routes[n], engine,
				free_slots < node_slots ? free_slots
							: node_slots,
				w->own[n][engine], false);
	}
}

static void start_run(struct sim *w, size_t i, int engine)
{
	uint64_t prefix = w->waiting[i].prefix;
	int node = w->waiting[i].node;
	bool hit = cache_use(&w->engines[engine], prefix);
	int64_t ms = 1 + (int64_t)rng_below(&w->rng, 2 * DECODE_MS) +
		     (hit ? 0 : PREFILL_MS);

	w->engines[engine].running++;
	w->own[node][engine]++;
	w->runs[w->n_runs++] = (struct run){
		w->now_ms + ms, w->waiting[i].arrived_ms, engine, node};
	if (w->now_ms > WARMUP_MS) {
		w->hits += hit;
		w->starts++;
	}
	/* The sender knows what it sent; the engine's coordinator learns it by cache
	 * events, unless lost; the others know only the prefix's home server. */
	route_prefix_cached(w->routes[node], prefix, engine, w->now_ms);
	if (rng_below(&w->rng, 1000) >= EVENT_LOSS_PER_MILLE)
		route_prefix_cached(w->routes[engine % NODES], prefix, engine,
				    w->now_ms);
	else
		route_cache_events_lost(w->routes[engine % NODES], engine,
					w->now_ms);
	update_free_slots(w, engine);
}

static void finish_runs(struct sim *w)
{
	for (size_t i = 0; i < w->n_runs;) {
		struct run r = w->runs[i];

		if (r.end_ms > w->now_ms) {
			i++;
			continue;
		}
		w->engines[r.engine].running--;
		w->own[r.node][r.engine]--;
		w->runs[i] = w->runs[--w->n_runs];
		if (r.arrived_ms > WARMUP_MS)
			latency_ms[w->done++] = w->now_ms - r.arrived_ms;
		update_free_slots(w, r.engine);
	}
}

static void report(struct sim *w)
{
	for (int i = 0; i < ENGINES; i++) {
		for (int n = 0; n < NODES; n++) {
			struct route_load l = {
				.busy = w->engines[i].running,
				.own = w->own[n][i],
				.as_of_ms = w->now_ms - REPORT_LAG_MS,
			};

			route_load_report(w->routes[n], i, &l);
		}
	}
}

/* Skewed: a few prefixes are requested often. */
static uint64_t draw_prefix(struct sim *w)
{
	double u = rng_unit(&w->rng);

	return 1 + (uint64_t)(u * u * PREFIXES);
}

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

struct result {
	double p50;
	double p99;
	double hits;
	int done;
};

static void step(struct sim *w)
{
	finish_runs(w);
	if (w->now_ms % REPORT_INTERVAL_MS == 0)
		report(w);
	if (w->now_ms % EVICT_INTERVAL_MS == 0)
		w->engines[rng_below(&w->rng, ENGINES)].n_cache = 0;
	if (rng_below(&w->rng, 1000) < RATE_PER_S) {
		w->waiting[w->tail].arrived_ms = w->now_ms;
		w->waiting[w->tail].node = (int)rng_below(&w->rng, NODES);
		w->waiting[w->tail++].prefix = draw_prefix(w);
	}
	while (w->head < w->tail) {
		int engine = pick(w, w->waiting[w->head].node,
				  w->waiting[w->head].prefix);

		if (engine == ROUTE_NONE)
			break;
		start_run(w, w->head++, engine);
	}
}

static struct result run(enum policy p)
{
	struct sim *w = calloc(1, sizeof(*w));
	struct result res;
	size_t p50, p99;

	w->policy = p;
	w->rng.state = SEED;
	for (int n = 0; n < NODES; n++)
		w->routes[n] = route_new();
	for (int i = 0; i < ENGINES; i++) {
		for (int n = 0; n < NODES; n++)
			route_add_server(w->routes[n], i, (uint64_t)i + 1);
		update_free_slots(w, i);
	}
	for (w->now_ms = 1; w->now_ms < RUN_MS; w->now_ms++)
		step(w);
	p50 = (size_t)w->done / 2;
	p99 = (size_t)w->done * 99 / 100;
	qsort(latency_ms, (size_t)w->done, sizeof(*latency_ms), compare_int64);
	res = (struct result){
		.p50 = (double)latency_ms[p50],
		.p99 = (double)latency_ms[p99],
		.hits = (double)w->hits / w->starts,
		.done = w->done,
	};
	for (int n = 0; n < NODES; n++)
		route_free(w->routes[n]);
	free(w);
	return res;
}

int main(void)
{
	struct result all[POLICIES];
	struct result best = {.p50 = 1e9, .p99 = 1e9};
	bool ok = true;

	for (int p = 0; p < POLICIES; p++) {
		all[p] = run((enum policy)p);
		printf("# %s: p50 %.0f ms, p99 %.0f ms, cache hits %.3f, "
		       "answered %d\n",
		       policy_names[p], all[p].p50, all[p].p99, all[p].hits,
		       all[p].done);
		if (p == POLICY_ROUTE)
			continue;
		best.p50 = all[p].p50 < best.p50 ? all[p].p50 : best.p50;
		best.p99 = all[p].p99 < best.p99 ? all[p].p99 : best.p99;
		best.hits = all[p].hits > best.hits ? all[p].hits : best.hits;
		best.done = all[p].done > best.done ? all[p].done : best.done;
	}
	ok &= bench_check("route_p50", all[0].p50 / best.p50,
			  "of_best_baseline", BENCH_AT_MOST, 1);
	ok &= bench_check("route_p99", all[0].p99 / best.p99,
			  "of_best_baseline", BENCH_AT_MOST, 1);
	ok &= bench_check("route_cache_hits", all[0].hits / best.hits,
			  "of_best_baseline", BENCH_AT_LEAST, 1);
	ok &= bench_check("route_answered",
			  (double)all[0].done / (double)best.done,
			  "of_best_baseline", BENCH_AT_LEAST, 1);
	return !ok;
}
