// Work that the nodes of a failure domain see, told by membership.
#pragma once

#include "daemon/fleet_mod.h"

/// Sum of what the alive nodes of the own failure domain told.
///
/// @param[in,out] need  kind is given, the demand is filled in
void fleet_need_sum(struct core *c, struct fleet_need *need);
