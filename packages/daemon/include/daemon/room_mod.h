// What other nodes run at engines, from the reports that this node receives.
#pragma once

#include "core/core.h"
#include "room/room.h"
#include "site/server.h"

/// Demand of a model, summed over this node and the others.
///
/// @return false if nothing is known or reports are off
bool room_mod_demand(struct core *c, const char *model,
		     struct room_demand *out);

/// Set the claims of other nodes with waiting samples on a model's free servers, if
/// its service is shared.
///
/// @param begun_ms     start of this node's step
/// @param[in,out] ask  its claims are set
void room_mod_fill_claims(struct core *c, const char *model, int64_t begun_ms,
			  struct site_request *ask);

/// Report at once that a step began and its first samples are at servers.
void room_mod_step_begun(struct core *c);
