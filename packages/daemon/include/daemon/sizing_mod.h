// What nodes need of servers, as the leader knows it.
#pragma once

#include "core/core.h"

/// Whether the needs were read since this node leads.
bool sizing_mod_known(struct core *c);

/// Work of a step of a model, in tokens to be made; 0 if not known.
double sizing_mod_work(struct core *c, const char *model);
