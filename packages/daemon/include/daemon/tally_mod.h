// Requests that backend servers began for each team, by window.
#pragma once

#include "core/core.h"

/// Count a request that a backend server began.
///
/// @param team     name, "" is ignored
/// @param wall_ms  when it was sent, by the wall clock
void tally_mod_add(struct core *c, const char *team, int64_t wall_ms);
