// Actions of an experiment plan on a running system.
#pragma once

#include <stdbool.h>

#include "support/sys.h"

/// Run an action: `kill|term|freeze|thaw|start node|server NAME`,
/// `kill|start domain NAME`, `cut|silence|heal platform NODE|all`,
/// `ctl WORD...`.
///
/// @param words  NULL-terminated
/// @return false for an unknown action or name
bool run_action(struct sys *s, const char *const *words);
