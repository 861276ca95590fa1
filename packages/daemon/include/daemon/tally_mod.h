// Usage accounting: requests started by backend servers, by team and time window.
#pragma once

#include "core/core.h"

/// Count a request that a backend server started.
///
/// @param team     name; "" is ignored
/// @param wall_ms  time of sending, by the wall clock
void tally_mod_count_request(struct core *c, const char *team, int64_t wall_ms);
