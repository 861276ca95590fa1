// Which servers are believed to hold which prefixes: a fixed table, the newest
// belief replaces the oldest in its bucket.
#pragma once

#include "route/route.h"

struct prefix_entry {
	uint64_t prefix; ///< 0: unused
	int64_t at_ms[ROUTE_HOLDERS]; ///< last sign
	int16_t server[ROUTE_HOLDERS]; ///< ROUTE_NONE: unused
};

/// Entry of a prefix, NULL if nothing is known.
const struct prefix_entry *prefix_find(const struct prefix_entry *table,
				       uint64_t prefix);
void prefix_add(struct prefix_entry *table, uint64_t prefix, int server,
		int64_t now);
void prefix_drop(struct prefix_entry *table, uint64_t prefix, int server);
