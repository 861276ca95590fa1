// Load reports that lag.
#pragma once

#include "engine.h"

struct json_t;

/// Keep a snapshot. Lock held.
void load_record(struct engine *e, int64_t now_ms);

/// The newest snapshot that is as old as the lag, as GET /v1/load answers.
struct json_t *load_report(struct engine *e, int64_t now_ms);

/// Counts for tests, as GET /fake/stats answers; they don't lag.
struct json_t *load_stats(struct engine *e);
