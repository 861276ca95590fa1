// What other nodes run at engines, as this node knows it by their reports.
#pragma once

#include "core/core.h"
#include "room/room.h"
#include "site/server.h"

/// Need of a model, over this node and the others.
///
/// @return false when nothing is known, also where reports are off
bool room_mod_demand(struct core *c, const char *model,
		     struct room_demand *out);

/// Share the free servers of a model with other nodes that have samples waiting.
///
/// @param begun_ms  begin of this node's step
/// @param[out] ask  its claims
void room_mod_share(struct core *c, const char *model, int64_t begun_ms,
		    struct site_ask *ask);

/// A step began, and its first samples are at servers: report it at once.
void room_mod_begun(struct core *c);
