// Time until all servers have loaded a weight version, in virtual time, at three
// fleet sizes, compared with every server loading from the store.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "support/bench.h"
#include "weights/weights.h"

enum {
	DOMAINS = 10,
	STORE_RATE = 100, ///< of the whole store
	LOAD_MS = 1000, ///< of one version, from the store or an engine
	LAG_MS = 200, ///< of load reports
	STEP_MS = 50,
	END_MS = 120000,
	FAIL_PERCENT = 3, ///< loads that never complete
	LATE_PERCENT = 3, ///< loads that take three times as long
	MAX_ENGINES = 2900,
	LIMIT_MS = 10000,
	FAN_OUT = 3, ///< engines that may load from one engine at a time
	/// Then a load order is repeated.
	LATE_MS = LOAD_MS + LOAD_MS / 2,
};

struct engine {
	uint64_t version;
	int64_t done_ms; ///< end of the load, 0: none in progress
	int64_t shown_ms; ///< when a load report first has the version
};

static struct engine engines[MAX_ENGINES];

static void order_all(struct weights *w, int first, struct rng *rng,
		      int64_t now)
{
	struct weights_order o;

	while (weights_next(w, now, &o)) {
		struct engine *e = &engines[first + atoi(o.engine + 1)];
		uint64_t luck = rng_below(rng, 100);
		int64_t took = luck < LATE_PERCENT ? 3 * LOAD_MS : LOAD_MS;

		if (luck < 100 - FAIL_PERCENT)
			e->done_ms = now + took;
	}
}

static int report_all(struct weights *w, int first, int n, int64_t now)
{
	int have = 0;

	for (int i = 0; i < n; i++) {
		struct engine *e = &engines[first + i];
		char id[16];

		if (e->done_ms > 0 && now >= e->done_ms) {
			e->version = 1;
			e->shown_ms = e->done_ms + LAG_MS;
			e->done_ms = 0;
		}
		have += e->version == 1;
		snprintf(id, sizeof(id), "e%d", i);
		weights_report(
			w, id,
			e->version && now >= e->shown_ms ? e->version : 0, now);
	}
	return have;
}

/* Milliseconds until all engines of one failure domain have the version. */
static int64_t domain_time(int first, int n, int fan_out, struct rng *rng)
{
	struct weights *w = weights_new(&(struct weights_opts){
		.store_rate = (double)STORE_RATE / DOMAINS,
		.fan_out = fan_out,
		.late_ms = LATE_MS,
		.max_loading_percent = 100,
	});
	int64_t now = 0;

	report_all(w, first, n, 0);
	weights_target(w, 1, 0);
	while (report_all(w, first, n, now) < n && now < END_MS) {
		order_all(w, first, rng, now);
		now += STEP_MS;
	}
	weights_free(w);
	return now;
}

static int64_t all_time(int n, int fan_out)
{
	struct rng rng = {42};
	int64_t worst = 0;

	memset(engines, 0, sizeof(engines));
	for (int d = 0; d < DOMAINS; d++) {
		int first = n * d / DOMAINS;
		int64_t t = domain_time(first, n * (d + 1) / DOMAINS - first,
					fan_out, &rng);

		worst = t > worst ? t : worst;
	}
	return worst;
}

int main(void)
{
	static const int sizes[] = {29, 290, 2900};
	bool ok = true;

	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		char name[64];

		snprintf(name, sizeof(name), "weights_all_%d", sizes[i]);
		ok &= bench_check(name, (double)all_time(sizes[i], FAN_OUT),
				  "ms", BENCH_AT_MOST, LIMIT_MS);
	}
	ok &= bench_check("weights_all_2900_vs_store_only",
			  (double)all_time(2900, FAN_OUT) /
				  (double)all_time(2900, 0),
			  "ratio", BENCH_AT_MOST, 0.5);
	return ok ? 0 : 1;
}
