// Speeds of servers, for the choice among them.
#pragma once

#include "site/server.h"

/// What the preference of a request adds to a server's load.
double speed_load(const struct site_server *s, int64_t now,
		  const struct site_ask *req);
