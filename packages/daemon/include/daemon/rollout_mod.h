// Module rollout: serves the trainers' rollout batches at /v1/rollouts of the
// public listener. Its operations are declared in mods.h.
#pragma once

#include "core/core.h"
