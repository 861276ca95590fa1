// Per-team usage counters.
#pragma once

#include "core/core.h"

enum usage_unit {
	USAGE_REQUESTS, ///< answered requests
	USAGE_TOKENS, ///< tokens delivered
	USAGE_SAMPLES, ///< samples acknowledged
	USAGE_UNITS
};

/// Count use of a team.
///
/// @param team  team's name; "" is ignored
void usage_mod_add(struct core *c, const char *team, enum usage_unit u,
		   uint64_t n);
