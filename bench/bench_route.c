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
	PART = 4, ///< of an engine, that one node may use
	PREFIXES = 600,
	CACHE = 40, ///< prefixes that an engine holds
	PREFILL_MS = 900, ///< without the prefix in the cache
	DECODE_MS = 1200, ///< mean; uniform up to twice that
	REPORT_MS = 1000,
	LAG_MS = 1500,
	LOST_PER_MILLE = 100, ///< cache events lost
	/// Between losses of one engine's whole cache.
	EVICT_MS = 20000,
	RATE_PER_S = 200,
	RUN_MS = 120000,
	WARM_MS = 20000,
	REQS = 40000,
	SEED = 9,
};

enum policy {
	POLICY_ROUTE,
	POLICY_ROBIN,
	POLICY_LEAST,
	POLICY_RANDOM,
	POLICIES
};

static const char *const policy_names[] = {"route", "round_robin",
					   "least_outstanding", "random"};

struct engine {
	uint64_t cache[CACHE]; ///< least recently used last
	int n_cache;
	int running;
};

struct run {
	int64_t ends;
	int64_t came;
	int engine;
	int node;
};

struct world {
	enum policy policy;
	struct rng rng;
	struct route *routes[NODES];
	struct engine engines[ENGINES];
	int own[NODES][ENGINES];
	struct run runs[ENGINES * SLOTS];
	size_t n_runs;
	struct {
		int64_t came;
		uint64_t prefix;
		int node;
	} waiting[REQS];
	size_t head;
	size_t tail;
	int turn;
	int64_t now;
	int hits;
	int starts;
	int done;
};

static int64_t took[REQS];

static bool cache_use(struct engine *e, uint64_t prefix)
{
	int at = 0;
	bool hit;

	while (at < e->n_cache && e->cache[at] != prefix)
		at++;
	hit = at < e->n_cache;
	if (!hit && e->n_cache < CACHE)
		e->n_cache++;
	if (at >= CACHE)
		at = CACHE - 1;
	memmove(&e->cache[1], &e->cache[0], (size_t)at * sizeof(*e->cache));
	e->cache[0] = prefix;
	return hit;
}

static bool fits(const struct world *w, int node, int engine)
{
	return w->own[node][engine] < PART &&
	       w->engines[engine].running < SLOTS;
}

static int pick_least(const struct world *w, int node)
{
	int best = ROUTE_NONE;

	for (int i = 0; i < ENGINES; i++) {
		if (fits(w, node, i) && (best == ROUTE_NONE ||
					 w->own[node][i] < w->own[node][best]))
			best = i;
	}
	return best;
}

static int pick(struct world *w, int node, uint64_t prefix)
{
	struct route_ask ask = {prefix, ROUTE_NONE, true};

	if (w->policy == POLICY_ROUTE)
		return route_choose(w->routes[node], &w->rng, w->now, &ask);
	if (w->policy == POLICY_LEAST)
		return pick_least(w, node);
	for (int k = 0; k < 4 * ENGINES; k++) {
		int i = w->policy == POLICY_ROBIN
				? (w->turn = (w->turn + 1) % ENGINES)
				: (int)rng_below(&w->rng, ENGINES);

		if (fits(w, node, i))
			return i;
	}
	return ROUTE_NONE;
}

/* All nodes learn of free slots through permits, without delay. */
static void tell(struct world *w, int engine)
{
	for (int n = 0; n < NODES; n++) {
		int left = SLOTS - w->engines[engine].running;
		int part = PART - w->own[n][engine];

		route_server(w->routes[n], engine, left < part ? left : part,
			     w->own[n][engine], false);
	}
}

static void begin(struct world *w, size_t i, int engine)
{
	uint64_t prefix = w->waiting[i].prefix;
	int node = w->waiting[i].node;
	bool hit = cache_use(&w->engines[engine], prefix);
	int64_t ms = 1 + (int64_t)rng_below(&w->rng, 2 * DECODE_MS) +
		     (hit ? 0 : PREFILL_MS);

	w->engines[engine].running++;
	w->own[node][engine]++;
	w->runs[w->n_runs++] =
		(struct run){w->now + ms, w->waiting[i].came, engine, node};
	if (w->now > WARM_MS) {
		w->hits += hit;
		w->starts++;
	}
	/* The sender knows what it sent. The engine's steward node learns of it by
	 * the engine's cache events, some of which are lost. The other nodes only
	 * know the home server of the prefix. */
	route_cached(w->routes[node], prefix, engine, w->now);
	if (rng_below(&w->rng, 1000) >= LOST_PER_MILLE)
		route_cached(w->routes[engine % NODES], prefix, engine, w->now);
	else
		route_gap(w->routes[engine % NODES], engine, w->now);
	tell(w, engine);
}

static void end_runs(struct world *w)
{
	for (size_t i = 0; i < w->n_runs;) {
		struct run r = w->runs[i];

		if (r.ends > w->now) {
			i++;
			continue;
		}
		w->engines[r.engine].running--;
		w->own[r.node][r.engine]--;
		w->runs[i] = w->runs[--w->n_runs];
		if (r.came > WARM_MS)
			took[w->done++] = w->now - r.came;
		tell(w, r.engine);
	}
}

static void report(struct world *w)
{
	for (int i = 0; i < ENGINES; i++) {
		for (int n = 0; n < NODES; n++) {
			struct route_load l = {
				.busy = w->engines[i].running,
				.own = w->own[n][i],
				.as_of_ms = w->now - LAG_MS,
			};

			route_report(w->routes[n], i, &l);
		}
	}
}

/* Skewed: a few prefixes are requested often. */
static uint64_t draw_prefix(struct world *w)
{
	double u = rng_unit(&w->rng);

	return 1 + (uint64_t)(u * u * PREFIXES);
}

static int by_value(const void *a, const void *b)
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

static void step(struct world *w)
{
	end_runs(w);
	if (w->now % REPORT_MS == 0)
		report(w);
	if (w->now % EVICT_MS == 0)
		w->engines[rng_below(&w->rng, ENGINES)].n_cache = 0;
	if (rng_below(&w->rng, 1000) < RATE_PER_S) {
		w->waiting[w->tail].came = w->now;
		w->waiting[w->tail].node = (int)rng_below(&w->rng, NODES);
		w->waiting[w->tail++].prefix = draw_prefix(w);
	}
	while (w->head < w->tail) {
		int engine = pick(w, w->waiting[w->head].node,
				  w->waiting[w->head].prefix);

		if (engine == ROUTE_NONE)
			break;
		begin(w, w->head++, engine);
	}
}

static struct result run(enum policy p)
{
	struct world *w = calloc(1, sizeof(*w));
	struct result res;
	size_t p50, p99;

	w->policy = p;
	w->rng.state = SEED;
	for (int n = 0; n < NODES; n++)
		w->routes[n] = route_new();
	for (int i = 0; i < ENGINES; i++) {
		for (int n = 0; n < NODES; n++)
			route_join(w->routes[n], i, (uint64_t)i + 1);
		tell(w, i);
	}
	for (w->now = 1; w->now < RUN_MS; w->now++)
		step(w);
	p50 = (size_t)w->done / 2;
	p99 = (size_t)w->done * 99 / 100;
	qsort(took, (size_t)w->done, sizeof(*took), by_value);
	res = (struct result){
		.p50 = (double)took[p50],
		.p99 = (double)took[p99],
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
