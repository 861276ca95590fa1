// HTTP server of the fake engine.
#pragma once

#include "engine.h"

struct MHD_Daemon;

/// Listen on the engine's address.
///
/// @return daemon, NULL on failure
struct MHD_Daemon *http_start(struct engine *e);
