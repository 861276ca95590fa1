// LRU prefix cache; its events are delayed and have gaps.
#pragma once

#include "engine.h"

struct json_t;

/// Look up a prefix, insert it on a miss. Lock held.
///
/// @return whether it was a hit
bool cache_touch(struct engine *e, uint64_t prefix, int64_t now_ms);

/// Empty the cache, without events. Lock held.
void cache_clear(struct engine *e);

/// Events after a sequence number, for GET /v1/cache.
struct json_t *cache_events(struct engine *e, uint64_t after, int64_t now_ms);
