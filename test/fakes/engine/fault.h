// Faults that a test injects with POST /fake/fault.
#pragma once

#include "engine.h"

struct json_t;

/// Consume one occurrence of a fault. The caller holds the lock.
///
/// @param[out] delay_ms  its delay, set only if it applies; may be NULL
/// @return whether the fault applies
bool fault_take(struct engine *e, enum fault_mode mode, int64_t *delay_ms);

/// Inject the fault that a request names. Mode "die" exits the process, "evict"
/// empties the prefix cache.
///
/// @param body  {"mode","count","delay_ms"}
/// @return HTTP status: 200, or 400 for an unknown mode
int fault_order(struct engine *e, const struct json_t *body);
