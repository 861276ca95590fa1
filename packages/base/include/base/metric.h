// Process-wide counters and gauges, generated from the table in metric.def.
#pragma once

#include <stddef.h>
#include <stdint.h>

enum metric {
#define METRIC(sym, kind, name, help) sym,
#include "base/metric.def"
#undef METRIC
	METRIC_COUNT
};

/// Add to a counter. Thread-safe.
void metric_add(enum metric m, uint64_t n);

/// Set a gauge. Thread-safe.
void metric_set(enum metric m, uint64_t v);

/// Current value of a counter or gauge.
uint64_t metric_get(enum metric m);

/// Write all metrics in the Prometheus text format; stops before the first metric
/// that does not fit.
///
/// @param[out] buf  text, NUL-terminated
/// @param len       bytes of buf
/// @return bytes written, without the NUL
size_t metric_render(char *buf, size_t len);
