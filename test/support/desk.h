// A local system with a booking desk: route "desk", one team with a key.
#pragma once

#include <stdbool.h>

#include "support/load.h"
#include "support/sys.h"

enum {
	DESK_URL = 128, ///< bytes
	DESK_KEY = 256, ///< bytes
};

struct desk {
	char key[DESK_KEY]; ///< of team "depot"
	char urls[SYS_MAX_NODES][DESK_URL]; ///< a booking call at each node
};

/// Start a system, configure it and wait until each node answers a call.
///
/// @return false if something did not come up; call sys_stop() all the same
bool desk_start(struct sys *s, const struct sys_opts *opts, struct desk *d);

/// Wait until a node answers a call.
///
/// @param node  index of the node
bool desk_wait(struct desk *d, int node);

/// Call nodes at a steady rate, one caller a node.
///
/// @param but          failure domain whose nodes get no caller, "" for none
/// @param calls_per_s  of each caller
/// @return load, NULL on failure
struct load *desk_load(const struct sys *s, const struct desk *d,
		       const char *but, int calls_per_s);
