// Per-team usage counters.
#pragma once

#include "core/core.h"
#include "usage/counters.h"

/// Add to a team's usage counter; failures are logged.
///
/// @param team  team's name; "" is ignored
void usage_mod_add(struct core *c, const char *team, enum usage_unit u,
		   uint64_t n);
