// Lagged load reports, and counts for tests.
#pragma once

#include "engine.h"

struct json_t;

/// Record a snapshot. Lock held.
void load_take_snapshot(struct engine *e, int64_t now_ms);

/// Newest snapshot at least as old as the lag, for GET /v1/load.
struct json_t *load_report(struct engine *e, int64_t now_ms);

/// Current counts, without lag, for GET /fake/stats.
struct json_t *load_stats(struct engine *e);
