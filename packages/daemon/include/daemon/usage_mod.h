// Per-team usage counters.
#pragma once

#include "core/core.h"
#include "usage/counters.h"

/// Add n to a usage counter of a team. A failure is logged and counted.
///
/// @param team  team's name; "" is ignored
void usage_mod_add(struct core *c, const char *team, enum usage_unit u,
		   uint64_t n);
