// HTTP side of the stand-in: one thread a connection.
#pragma once

#include "fake.h"

struct MHD_Daemon;

/// Listen and serve in threads of the library.
///
/// @param f       state, outlives the server
/// @param listen  "IP:port"
/// @return server, NULL on failure
struct MHD_Daemon *server_start(struct fake *f, const char *listen);
