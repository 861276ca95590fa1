// Consistent hashing of prefixes to servers: nodes that know the same servers
// agree without messages, and a membership change remaps few prefixes.
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "route/route.h"

enum {
	RING_POINTS = 8, ///< virtual nodes of each server
};

struct ring_point {
	uint64_t hash;
	int16_t server;
};

struct ring {
	struct ring_point
		points[ROUTE_MAX_SERVERS * RING_POINTS]; ///< sorted by hash
	size_t n;
};

/// Adds a server to the ring.
///
/// @param id  hash of the server's id
void ring_add(struct ring *r, int server, uint64_t id);
void ring_remove(struct ring *r, int server);

/// Server that a prefix maps to.
///
/// @return index, ROUTE_NONE on an empty ring
int ring_lookup(const struct ring *r, uint64_t prefix);
