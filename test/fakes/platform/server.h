// HTTP server of the fake platform: one thread per connection.
#pragma once

#include "fake.h"

struct MHD_Daemon;

/// Listen and serve in the library's threads.
///
/// @param f       state, must outlive the server
/// @param listen  "IP:port"
/// @return server, NULL on failure
struct MHD_Daemon *server_start(struct fake *f, const char *listen);
