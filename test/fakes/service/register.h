// Registers this server at the fake platform.
#pragma once

#include <stdbool.h>

struct register_opts {
	const char *platform; ///< base URL
	const char *id;
	const char *addr; ///< "IP:port"
	const char *domain;
	const char *service;
};

/// POST the server to /fake/vms, with up to 100 attempts.
///
/// @return false if the platform did not accept it
bool register_server(const struct register_opts *opts);
