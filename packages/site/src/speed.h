// Speed penalty in the choice of a server.
#pragma once

#include "site/server.h"

/// Penalty for a server's speed in its load score, in shares of its slots.
///
/// @return load, 0 for none
double speed_load(const struct site_server *s, int64_t now,
		  const struct site_request *req);
