// Home of a prefix by consistent hashing: nodes that know the same servers agree
// on it without a message, and a server that comes or goes moves few homes.
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "route/route.h"

enum {
	RING_POINTS = 8, ///< of a server
};

struct ring_point {
	uint64_t hash;
	int16_t server;
};

struct ring {
	struct ring_point points[ROUTE_MAX_SERVERS * RING_POINTS]; ///< sorted
	size_t n;
};

/// Put a server on the ring.
///
/// @param id  hash of the server's id
void ring_add(struct ring *r, int server, uint64_t id);
void ring_remove(struct ring *r, int server);

/// Server that a prefix is at home at.
///
/// @return index, ROUTE_NONE on an empty ring
int ring_lookup(const struct ring *r, uint64_t prefix);
