// Weight updates: orders to the engines of this node's failure domain.
#pragma once

#include "core/core.h"
#include "rollout_mod_int.h"

/// Register /admin/weights and request the duty.
enum err weights_mod_start(struct core *c);

/// Read the target, poll engines, send orders; only while the duty is held.
void weights_mod_tick(struct rollout_mod *m, int64_t now_ms);

/// Free the plan.
void weights_mod_stop(struct rollout_mod *m);
