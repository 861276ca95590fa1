// Process-wide latency histograms, in one table.
#pragma once

#include <stddef.h>
#include <stdint.h>

enum histogram {
#define HISTOGRAM(sym, name, help) sym,
#include "base/histogram.def"
#undef HISTOGRAM
	HISTOGRAM_COUNT
};

/// Count one duration, from any thread.
///
/// @param ms  milliseconds, below 0 counts as 0
void histogram_add(enum histogram h, int64_t ms);

/// Durations counted.
uint64_t histogram_count(enum histogram h);

/// All histograms in the Prometheus text format.
///
/// @param[out] buf  text, NUL-terminated, cut to fit
/// @param len       bytes of buf
/// @return bytes written, without the NUL
size_t histogram_render(char *buf, size_t len);
