// Modules that keep orders under way while a duty is held.
#pragma once

#include "core/core.h"

/// Orders of `fleet/DOMAIN`, through the gate.
extern const struct core_mod_ops orders_gate_ops;

/// Usage reports of `usage/DOMAIN`, through the gate.
extern const struct core_mod_ops orders_report_ops;

/// Check the lease, then send: the way that isn't safe.
extern const struct core_mod_ops orders_naive_ops;

/// Nothing: stands in for the modules that a holder doesn't need.
extern const struct core_mod_ops orders_none_ops;
