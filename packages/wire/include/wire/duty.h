// Encodes the calls to the platform that only one node at a time makes: usage
// reports and orders for servers.
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"

/// Usage of one team in a window.
struct duty_count {
	const char *team;
	uint64_t requests; ///< requests that backend servers began
};

struct duty_report {
	const char *holder; ///< node that makes the call
	uint64_t epoch; ///< fencing token of the holder
	int64_t window; ///< number of the window since 1970
	const struct duty_count *counts;
	size_t n;
};

/// Order for the number of servers of a service in a failure domain.
struct duty_server_order {
	const char *holder; ///< node that makes the call
	uint64_t epoch; ///< fencing token of the holder
	const char *service;
	const char *domain;
	int servers;
};

struct duty_wire_ops {
	const char *report_path;
	/// @param[out] body  in the arena
	/// @return header lines, NULL when out of memory
	const char **(*report)(const struct duty_report *r, struct arena *a,
			       const char **body);

	const char *server_order_path; ///< of orders for servers
	int no_servers_status; ///< HTTP status when the platform has no servers left
	/// @param[out] body  in the arena
	/// @return header lines, NULL when out of memory
	const char **(*size)(const struct duty_server_order *s, struct arena *a,
			     const char **body);
};
