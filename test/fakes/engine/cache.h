// Prefix cache of limited size, with events that come late and with gaps.
#pragma once

#include "engine.h"

struct json_t;

/// Look a prefix up and take it in. Lock held.
///
/// @return whether it was there
bool cache_touch(struct engine *e, uint64_t prefix, int64_t now_ms);

/// Lose everything, without events. Lock held.
void cache_drop(struct engine *e);

/// Events after a sequence number, as GET /v1/cache answers.
struct json_t *cache_events(struct engine *e, uint64_t after, int64_t now_ms);
