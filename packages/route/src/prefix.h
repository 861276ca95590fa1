// Fixed table of the servers that probably cache a prefix; a new prefix replaces
// the least recently seen one of its bucket.
#pragma once

#include "route/route.h"

struct prefix_entry {
	uint64_t prefix; ///< 0: unused
	int64_t seen_ms[ROUTE_PREFIX_SERVERS]; ///< last evidence
	int16_t server[ROUTE_PREFIX_SERVERS]; ///< ROUTE_NONE: unused
};

/// Entry of a prefix, NULL if there is none.
const struct prefix_entry *prefix_find(const struct prefix_entry *table,
				       uint64_t prefix);
void prefix_add(struct prefix_entry *table, uint64_t prefix, int server,
		int64_t now);
void prefix_remove(struct prefix_entry *table, uint64_t prefix, int server);
