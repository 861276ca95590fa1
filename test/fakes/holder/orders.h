// Modules that keep orders in flight while a duty is held.
#pragma once

#include "core/core.h"

/// Sends orders of `fleet/DOMAIN` with duty_mod_send().
extern const struct core_mod_ops orders_gate_ops;

/// Sends usage reports of `usage/DOMAIN` with duty_mod_send().
extern const struct core_mod_ops orders_report_ops;

/// Unsafe: checks the lease, then sends; it can expire in between.
extern const struct core_mod_ops orders_naive_ops;

/// Does nothing; replaces the modules that order_holder doesn't need.
extern const struct core_mod_ops orders_none_ops;
