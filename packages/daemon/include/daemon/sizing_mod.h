// Autoscaling: the nodes' need of servers, as known to the leader.
#pragma once

#include "core/core.h"

/// Whether all nodes' needs were read since this node became the leader.
bool sizing_mod_needs_known(struct core *c);

/// Work of a step of a model, in tokens to generate; 0 if not known.
double sizing_mod_step_tokens(struct core *c, const char *model);
