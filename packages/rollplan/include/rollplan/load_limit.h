// Limit of concurrent weight loads, learned from how long loads take. Does no I/O.
//
// Load pattern: the servers of a service fetch weights from one source. Up to some
// number of concurrent loads each takes its shortest time; more loads finish no more
// servers in a second, but keep each of them from new work for longer. As a fleet grows,
// orders in proportion to its size would slow down all loads at once.
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct load_limit {
	int limit; ///< concurrent loads
	int64_t shortest_ms; ///< shortest load, or the last one that had no other beside it
	int64_t usual_ms; ///< moving average of recent loads
	int64_t cut_ms; ///< time of the last cut
	bool learned; ///< a load was slow: the limit is known
	int quick_loads; ///< at the limit, since its last change
	int quick_needed; ///< for a raise; grows with each cut
};

/// A load that ended.
struct load_limit_sample {
	int64_t sent_ms; ///< time of its order
	int64_t duration_ms; ///< from its order to its end
	int concurrent; ///< loads in progress when it was ordered, itself included
};

/// @param limit     limit until loads show another one, at least 1
/// @param usual_ms  duration of a load until one was seen
void load_limit_init(struct load_limit *l, int limit, int64_t usual_ms);

/// Assume that at least so many loads are served at full speed, unless one was slow.
void load_limit_assume(struct load_limit *l, int limit);

/// Learn from a load. A slow one cuts the limit to the number of loads that would have
/// been in progress had each taken its shortest time; quick ones at the limit raise it
/// by one.
void load_limit_add(struct load_limit *l, int64_t now,
		    const struct load_limit_sample *s);
