// Time until all servers have a weight version, in virtual time, at three sizes,
// compared with every server loading from the store.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "support/bench.h"
#include "weights/weights.h"

enum {
	DOMAINS = 10,
	STORE_LOADS_PER_S = 100, ///< of the whole store
	LOAD_MS = 1000, ///< of one version, from the store or an engine
	REPORT_LAG_MS = 200, ///< of load reports
	STEP_MS = 50,
	LOAD_WAIT_MAX_MS = 120000,
	FAIL_PERCENT = 3, ///< loads that never complete
	SLOW_PERCENT = 3, ///< loads that take three times as long
	MAX_ENGINES = 2900,
	LOAD_BOUND_MS = 10000,
	FAN_OUT = 3, ///< loads from one engine at once
	/// Then a load order is repeated.
	REORDER_AFTER_MS = LOAD_MS + LOAD_MS / 2,
};

struct engine {
	uint64_t version;
	int64_t done_ms; ///< 0: no load in progress
	int64_t reported_ms; ///< when a report has the version
};

static struct engine engines[MAX_ENGINES];

static void order_all(struct weights *w, int first, struct rng *rng,
		      int64_t now_ms)
{
	struct weights_order o;

	while (weights_next_order(w, now_ms, &o)) {
		struct engine *e = &engines[first + atoi(o.engine + 1)];
		uint64_t draw = rng_below(rng, 100);
		int64_t load_ms = draw < SLOW_PERCENT ? 3 * LOAD_MS : LOAD_MS;

		if (draw < 100 - FAIL_PERCENT)
			e->done_ms = now_ms + load_ms;
	}
}

static int report_all(struct weights *w, int first, int n, int64_t now_ms)
{
	int n_loaded = 0;

	for (int i = 0; i < n; i++) {
		struct engine *e = &engines[first + i];
		char id[16];

		if (e->done_ms > 0 && now_ms >= e->done_ms) {
			e->version = 1;
			e->reported_ms = e->done_ms + REPORT_LAG_MS;
			e->done_ms = 0;
		}
		n_loaded += e->version == 1;
		snprintf(id, sizeof(id), "e%d", i);
		weights_report(
			w, id,
			e->version && now_ms >= e->reported_ms ? e->version : 0,
			now_ms);
	}
	return n_loaded;
}

/* Milliseconds until all engines of one failure domain have the version. */
static int64_t domain_load_ms(int first, int n, int fan_out, struct rng *rng)
{
	struct weights *w = weights_new(&(struct weights_opts){
		.store_rate = (double)STORE_LOADS_PER_S / DOMAINS,
		.fan_out = fan_out,
		.late_ms = REORDER_AFTER_MS,
		.max_loading_percent = 100,
	});
	int64_t now_ms = 0;

	report_all(w, first, n, 0);
	weights_set_target(w, 1, 0);
	while (report_all(w, first, n, now_ms) < n &&
	       now_ms < LOAD_WAIT_MAX_MS) {
		order_all(w, first, rng, now_ms);
		now_ms += STEP_MS;
	}
	weights_free(w);
	return now_ms;
}

static int64_t fleet_load_ms(int n, int fan_out)
{
	struct rng rng = {42};
	int64_t max_ms = 0;

	memset(engines, 0, sizeof(engines));
	for (int d = 0; d < DOMAINS; d++) {
		int first = n * d / DOMAINS;
		int64_t t = domain_load_ms(first, n * (d + 1) / DOMAINS - first,
					   fan_out, &rng);

		max_ms = t > max_ms ? t : max_ms;
	}
	return max_ms;
}

int main(void)
{
	static const int sizes[] = {29, 290, 2900};
	bool ok = true;

	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		char name[64];

		snprintf(name, sizeof(name), "weights_all_%d", sizes[i]);
		ok &= bench_check(name,
				  (double)fleet_load_ms(sizes[i], FAN_OUT),
				  "ms", BENCH_AT_MOST, LOAD_BOUND_MS);
	}
	ok &= bench_check("weights_all_2900_vs_store_only",
			  (double)fleet_load_ms(2900, FAN_OUT) /
				  (double)fleet_load_ms(2900, 0),
			  "ratio", BENCH_AT_MOST, 0.5);
	return ok ? 0 : 1;
}
