// Limits of requests a second that backend servers name in their answers. No I/O and no
// clock.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// What this node knows of a server's limit.
struct site_limit {
	/// requests/s that the server takes from all nodes together, 0 for no limit
	double per_s;
	int64_t named_ms; ///< answer that showed per_s, or no limit any more; 0: none
};

/// Record an answer of a server, or what another node knows of one.
/// Load pattern: answers on different connections overtake each other, and so do
/// messages between nodes: the latest answer counts, but one without a limit only some
/// time after one with it.
///
/// @param per_s     limit that it names, 0 for none
/// @param named_ms  when the answer arrived, on this node's clock
/// @return whether the limit in force changed
bool site_limit_observe(struct site_limit *l, double per_s, int64_t named_ms);
