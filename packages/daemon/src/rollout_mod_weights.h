// Weight updates: orders the engines of this node's failure domain to load the
// target version.
#pragma once

#include "core/core.h"
#include "rollout_mod_int.h"

/// Register /admin/weights and request the duty `weights/DOMAIN`.
enum err weights_mod_start(struct core *c);

/// Read the target, poll the engines and send orders, as due. Does nothing
/// unless the duty is held.
void weights_mod_tick(struct rollout_mod *m, int64_t now_ms);

/// Free the plan; no more orders are sent.
void weights_mod_stop(struct rollout_mod *m);
