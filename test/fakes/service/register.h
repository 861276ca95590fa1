// Tells the stand-in of the platform that this server exists.
#pragma once

#include <stdbool.h>

struct register_opts {
	const char *platform; ///< base URL
	const char *id;
	const char *addr; ///< "IP:port"
	const char *domain;
	const char *service;
};

/// POST the server to /fake/vms, again until it is taken.
///
/// @return false if the platform never took it
bool register_server(const struct register_opts *opts);
