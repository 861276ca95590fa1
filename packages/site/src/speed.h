// Speeds of servers, for the choice among them.
#pragma once

#include "site/server.h"

/// Take the newest pace of a server into what is known of its speed.
void speed_note(struct site_server *s, int64_t now);

/// What the preference of a request adds to a server's load.
double speed_load(const struct site_server *s, int64_t now,
		  const struct site_ask *ask);
