// Weight swaps, which also apply to running streams.
#pragma once

#include "engine.h"

/// Handle an order to load a version.
///
/// @return HTTP status: 202, or 409 for an older epoch if checked
int weights_order(struct engine *e, uint64_t version, uint64_t epoch,
		  int64_t now_ms);

/// Finish a swap that is due. Lock held.
void weights_tick(struct engine *e, int64_t now_ms);
