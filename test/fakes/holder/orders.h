// Module that keeps orders of `fleet/DOMAIN` under way while the duty is held.
#pragma once

#include "core/core.h"

/// Through the gate, as the daemon does.
extern const struct core_mod_ops orders_gate_ops;

/// Check the lease, then send: the way that isn't safe.
extern const struct core_mod_ops orders_naive_ops;

/// Nothing: stands in for the modules that a holder doesn't need.
extern const struct core_mod_ops orders_none_ops;
