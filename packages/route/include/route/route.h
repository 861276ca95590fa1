// Choice of a backend server in one pool: power of two choices over load, with a
// bonus for servers that are believed to hold the prompt's prefix. A choice
// costs the same for ten servers and for hundreds; nothing is allocated.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rng.h"

struct route;

enum {
	ROUTE_MAX_SERVERS = 512,
	ROUTE_PREFIX_ENTRIES = 8192, ///< remembered, a power of two
	ROUTE_PREFIX_SERVERS = 2, ///< servers remembered for a prefix
	ROUTE_NONE = -1,
};

/// Last load report of a server.
struct route_load {
	int busy; ///< running and queued
	int own; ///< of them, this node's own when it was asked
	int64_t as_of_ms;
};

struct route_ask {
	uint64_t prefix; ///< hash of the prompt's prefix, 0 for none
	int avoid; ///< server that failed before, or ROUTE_NONE
	bool may_cut; ///< may run on a cheap server
};

/// @return chooser, NULL when out of memory
struct route *route_new(void);
void route_free(struct route *r);

/// A server joined the pool: it becomes the home of some prefixes.
///
/// @param id  hash of the server's id
void route_join(struct route *r, int server, uint64_t id);

/// A server left the pool; it isn't chosen any more.
void route_leave(struct route *r, int server);

/// Say what a server can take now.
///
/// @param server  index below ROUTE_SERVERS
/// @param free    slots that this node may use now, 0: not to be chosen
/// @param own     this node's requests there
/// @param cheap   may be reclaimed at short notice
void route_server(struct route *r, int server, int free, int own, bool cheap);

/// Take a load report.
void route_report(struct route *r, int server, const struct route_load *load);

/// A server's cache took up or gave up a prefix, as it tells or as work sent
/// to it implies.
void route_cached(struct route *r, uint64_t prefix, int server, int64_t now);
void route_prefix_evicted(struct route *r, uint64_t prefix, int server);

/// Events of a server's cache were lost: what is known of it counts half.
void route_gap(struct route *r, int server, int64_t now);

/// A server's cache was emptied, such as by new weights.
void route_flushed(struct route *r, int server, int64_t now);

/// Choose a server with a free slot.
///
/// @return index, ROUTE_NONE if there is none
int route_choose(struct route *r, struct rng *rng, int64_t now,
		 const struct route_ask *req);
