// The record of a sealed window and the head of the windows, as JSON.
#pragma once

#include <jansson.h>

#include "usage/book.h"

/// Read and check a record.
///
/// @return new reference, NULL if it is not the record of that window
json_t *record_read(const char *text, size_t len, uint64_t window);

/// What goes before the first window: no counters, ended at time 0.
json_t *record_first(void);

/// Wall clock at the end of a window.
int64_t record_end(const json_t *rec);

/// Record after another one: totals now, figures since then.
///
/// @return text to be freed, NULL if a counter has shrunk or out of memory
char *record_next(const json_t *rec, uint64_t window,
		  const struct usage_book *counters, int64_t end_ms);

/// Report of a record; the same figures each time.
///
/// @return text to be freed, NULL when out of memory
char *record_report(const json_t *rec, uint64_t epoch);

/// Last reported window of a head.
bool record_head_read(const char *text, size_t len, uint64_t *reported);
