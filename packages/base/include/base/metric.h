// Process-wide counters and gauges, in one table.
#pragma once

#include <stddef.h>
#include <stdint.h>

enum metric {
#define METRIC(sym, kind, name, help) sym,
#include "base/metric.def"
#undef METRIC
	METRIC_COUNT
};

/// Add to a counter, from any thread.
///
/// @param m  counter
/// @param n  increment
void metric_add(enum metric m, uint64_t n);

/// Set a gauge, from any thread.
///
/// @param m  gauge
/// @param v  value
void metric_set(enum metric m, uint64_t v);

/// Present value.
///
/// @param m  counter or gauge
/// @return value
uint64_t metric_get(enum metric m);

/// All metrics in the Prometheus text format.
///
/// @param[out] buf  text, NUL-terminated, cut to fit
/// @param len       bytes of buf
/// @return bytes written, without the NUL
size_t metric_render(char *buf, size_t len);
