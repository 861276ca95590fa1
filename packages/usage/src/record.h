// JSON of sealed windows, their reports and the head: the last reported window.
#pragma once

#include <jansson.h>

#include "usage/counters.h"

/// Decode and check a record.
///
/// @return new reference, NULL if not a valid record of that window
json_t *record_read(const char *text, size_t len, uint64_t window);

/// Base of the first window: no counters, ended at time 0.
json_t *record_initial(void);

/// Wall clock at the end of a window, in ms.
int64_t record_end(const json_t *rec);

/// Encode the record after `rec`: current totals, and their growth as figures.
///
/// @return text to free(), NULL if a counter shrank or out of memory
char *record_next(const json_t *rec, uint64_t window,
		  const struct usage_counters *counters, int64_t end_ms);

/// Encode the report of a record; the same figures each time.
///
/// @return text to free(), NULL if out of memory
char *record_report(const json_t *rec, uint64_t epoch);

/// Decode the head; false if malformed.
bool record_head_read(const char *text, size_t len, uint64_t *reported);
