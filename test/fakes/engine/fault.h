// Faults that a test injects with POST /fake/fault.
#pragma once

#include "engine.h"

struct json_t;

/// Whether a fault applies now; consumes one of its count. Lock held.
///
/// @param[out] delay_ms  its delay, may be NULL
bool fault_consume(struct engine *e, enum fault_mode mode, int64_t *delay_ms);

/// Inject a fault; mode "die" exits, "evict" empties the cache.
///
/// @return HTTP status
int fault_set(struct engine *e, const struct json_t *body);
