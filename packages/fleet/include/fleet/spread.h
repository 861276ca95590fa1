// Spreads the servers of a service over failure domains. Pure.
#pragma once

#include <stdbool.h>

/// Failure domain in which servers of a service can be ordered.
struct fleet_domain {
	double price; ///< of a server's second, relative to other domains
	int current; ///< servers, including starting ones
	bool no_capacity; ///< no more servers are available there at present
	bool unusable; ///< its servers must not be given work at present
	int target; ///< servers that it should have
};

/// Set the target of each domain.
///
/// Load pattern: a domain fails, or its servers are reclaimed and no others are
/// available there. Equal numbers lose least with any one domain; the cheaper
/// domain gets the remainder. Servers missing in a domain without capacity, and
/// all those of an unusable domain, are made up for in the other domains.
///
/// @param d      domains; current, no_capacity, unusable and price in, target out
/// @param total  usable servers wanted over all domains
/// @param min    servers of a domain
/// @param max    servers of a domain
void fleet_spread(struct fleet_domain *d, int n, int total, int min, int max);
