// Load balancing over the backend servers of one pool: power of two choices by
// load, with a bonus for servers that probably cache the prompt's prefix. A
// choice costs the same for ten servers and for hundreds; nothing is allocated.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rng.h"

struct route;

enum {
	ROUTE_MAX_SERVERS = 512,
	ROUTE_PREFIX_ENTRIES = 8192, ///< prefixes remembered, a power of two
	ROUTE_PREFIX_SERVERS = 2, ///< remembered for each prefix
	ROUTE_NONE = -1,
};

/// Load report of a server.
struct route_load {
	int busy; ///< running and queued
	int own; ///< of these, this node's own when it asked
	int64_t as_of_ms;
};

struct route_request {
	uint64_t prefix; ///< hash of the prompt's prefix, 0 for none
	int avoid; ///< server of a failed attempt, or ROUTE_NONE
	bool preemptible; ///< may run on a cheap server
};

/// @return state of an empty pool, NULL when out of memory
struct route *route_new(void);
void route_free(struct route *r);

/// Adds a server to the consistent hashing of prefixes.
///
/// @param id  hash of the server's id
void route_add_server(struct route *r, int server, uint64_t id);

/// Removes a server; it is no longer chosen.
void route_remove_server(struct route *r, int server);

/// Sets the available slots of a server.
///
/// @param server  index below ROUTE_MAX_SERVERS
/// @param free    slots that this node may use now, 0 if it must not be chosen
/// @param own     this node's requests on the server
/// @param cheap   the VM may be reclaimed at short notice
void route_set_slots(struct route *r, int server, int free, int own,
		     bool cheap);

/// Records a load report unless a newer one is known.
void route_load_report(struct route *r, int server,
		       const struct route_load *load);

/// Records that a server's cache added or evicted a prefix, as it reports or as
/// a request sent to it implies.
void route_prefix_cached(struct route *r, uint64_t prefix, int server,
			 int64_t now);
void route_prefix_evicted(struct route *r, uint64_t prefix, int server);

/// Records that a server's cache events were lost: earlier records count half.
void route_cache_events_lost(struct route *r, int server, int64_t now);

/// Records that a server's cache was emptied, such as by new weights.
void route_cache_flushed(struct route *r, int server, int64_t now);

/// Chooses a server with a free slot.
///
/// @return index, ROUTE_NONE if no server is eligible
int route_choose(struct route *r, struct rng *rng, int64_t now,
		 const struct route_request *req);
