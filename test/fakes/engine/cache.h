// Prefix cache of limited size whose events are delayed and have gaps.
#pragma once

#include "engine.h"

struct json_t;

/// Look up a prefix; on a miss insert it, evicting the least recently used one if
/// the cache is full. The caller holds the lock.
///
/// @return whether it was a hit
bool cache_touch(struct engine *e, uint64_t prefix, int64_t now_ms);

/// Empty the cache without recording events. The caller holds the lock.
void cache_drop(struct engine *e);

/// Response of GET /v1/cache: events after a sequence number.
///
/// @return new reference
struct json_t *cache_events(struct engine *e, uint64_t after, int64_t now_ms);
