// Process-wide latency histograms, generated from the table in histogram.def.
#pragma once

#include <stddef.h>
#include <stdint.h>

enum histogram {
#define HISTOGRAM(sym, name, help) sym,
#include "base/histogram.def"
#undef HISTOGRAM
	HISTOGRAM_COUNT
};

/// Record one duration. Thread-safe.
///
/// @param ms  milliseconds; negative values count as 0
void histogram_add(enum histogram h, int64_t ms);

/// Number of durations recorded.
uint64_t histogram_count(enum histogram h);

/// Write all histograms in the Prometheus text format.
///
/// @param[out] buf  text, NUL-terminated, truncated to fit
/// @param len       bytes of buf
/// @return bytes written, without the NUL
size_t histogram_render(char *buf, size_t len);
