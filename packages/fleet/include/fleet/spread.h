// Spreads the servers of a service over failure domains. Pure.
#pragma once

#include <stdbool.h>

/// Failure domain in which servers of a service can be ordered.
struct fleet_domain {
	double price; ///< of a server's second, against other domains
	int current; ///< servers, those being started included
	bool no_capacity; ///< no more are to be had there at present
	bool unusable; ///< its servers may get no work at present
	int target; ///< servers that it shall have
};

/// Give each domain its share.
///
/// Load pattern: a domain is lost, or its servers are reclaimed and no others
/// are to be had there. Equal numbers lose least with any one domain; the
/// cheaper one gets what can't be shared equally. What a closed domain lacks,
/// and what one that is out has, is made up for in the others.
///
/// @param d      domains; have, closed, out and price in, want out
/// @param total  servers that shall be there for work in all
/// @param min    of a domain
/// @param max    of a domain
void fleet_spread(struct fleet_domain *d, int n, int total, int min, int max);
