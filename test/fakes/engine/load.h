// Load reports with a configured lag, and counts for tests.
#pragma once

#include "engine.h"

struct json_t;

/// Record a load snapshot. The caller holds the lock.
void load_record(struct engine *e, int64_t now_ms);

/// Response of GET /v1/load: the newest snapshot at least as old as the lag.
///
/// @return new reference
struct json_t *load_report(struct engine *e, int64_t now_ms);

/// Response of GET /fake/stats: current counts, without lag.
///
/// @return new reference
struct json_t *load_stats(struct engine *e);
