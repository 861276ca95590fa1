// Faults that a test orders with POST /fake/fault.
#pragma once

#include "engine.h"

struct json_t;

/// Whether a fault strikes now. Lock held.
///
/// @param[out] delay_ms  its delay, may be NULL
bool fault_take(struct engine *e, enum fault_mode mode, int64_t *delay_ms);

/// Take an order.
///
/// @return HTTP status
int fault_order(struct engine *e, const struct json_t *body);
