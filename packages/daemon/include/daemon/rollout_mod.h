// Module rollout: /v1/rollouts of the public listener.
#pragma once

#include "core/core.h"
