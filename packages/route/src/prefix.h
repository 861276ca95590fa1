// Table of the servers that probably cache a prefix. It has a fixed size: a new
// prefix replaces the one in its bucket that was seen least recently.
#pragma once

#include "route/route.h"

struct prefix_entry {
	uint64_t prefix; ///< 0 for an unused entry
	int64_t seen_ms[ROUTE_PREFIX_SERVERS]; ///< last evidence
	int16_t server[ROUTE_PREFIX_SERVERS]; ///< ROUTE_NONE if unused
};

/// Returns the entry of a prefix, NULL if there is none.
const struct prefix_entry *prefix_find(const struct prefix_entry *table,
				       uint64_t prefix);
/// Records that a server caches a prefix; replaces the server seen least recently.
void prefix_add(struct prefix_entry *table, uint64_t prefix, int server,
		int64_t now);
void prefix_remove(struct prefix_entry *table, uint64_t prefix, int server);
