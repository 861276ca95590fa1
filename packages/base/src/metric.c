// Counters and gauges as relaxed atomics, and their rendering for /metrics.
#include "base/metric.h"

#include <stdatomic.h>
#include <stdio.h>

enum metric_kind {
	COUNTER,
	GAUGE,
};

struct metric_row {
	enum metric_kind kind;
	const char *name;
	const char *help;
};

static const struct metric_row metric_rows[] = {
#define METRIC(sym, kind, name, help) {kind, name, help},
#include "base/metric.def"
#undef METRIC
};

static _Atomic uint64_t values[METRIC_COUNT];

void metric_add(enum metric m, uint64_t n)
{
	atomic_fetch_add_explicit(&values[m], n, memory_order_relaxed);
}

void metric_set(enum metric m, uint64_t v)
{
	atomic_store_explicit(&values[m], v, memory_order_relaxed);
}

uint64_t metric_get(enum metric m)
{
	return atomic_load_explicit(&values[m], memory_order_relaxed);
}

size_t metric_render(char *buf, size_t len)
{
	size_t used = 0;

	for (size_t i = 0; i < METRIC_COUNT; i++) {
		const struct metric_row *r = &metric_rows[i];
		const char *kind = r->kind == COUNTER ? "counter" : "gauge";
		int n = snprintf(
			buf + used, len - used,
			"# HELP %s %s\n# TYPE %s %s\n%s %llu\n", r->name,
			r->help, r->name, kind, r->name,
			(unsigned long long)metric_get((enum metric)i));

		if (n < 0 || (size_t)n >= len - used)
			break;
		used += (size_t)n;
	}
	buf[used] = '\0';
	return used;
}
