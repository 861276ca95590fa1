// A local system with a booking service: route "desk", one team with a key.
#pragma once

#include <stdbool.h>

#include "support/load.h"
#include "support/sys.h"

enum {
	DESK_URL_MAX = 128, ///< bytes
	DESK_KEY_MAX = 256, ///< bytes
};

struct desk {
	char key[DESK_KEY_MAX]; ///< of team "depot"
	char urls[SYS_MAX_NODES][DESK_URL_MAX]; ///< of a call, by node
};

/// Start a system, configure it and wait until each node answers a call.
///
/// @return false on failure; call sys_stop() all the same
bool desk_start(struct sys *s, const struct sys_opts *opts, struct desk *d);

/// Wait until a node answers a call with 200.
///
/// @param node  index of the node
bool desk_wait_ready(struct desk *d, int node);

/// Start one caller per node, each at a constant rate.
///
/// @param except_domain  failure domain whose nodes get no caller, "" for none
/// @param calls_per_s    of each caller
/// @return load, NULL on failure
struct load *desk_start_load(const struct sys *s, const struct desk *d,
			     const char *except_domain, int calls_per_s);
