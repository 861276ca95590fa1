// Leftist heaps of queued requests, linked by index: merge and remove take
// O(log n).
#pragma once

#include <stdint.h>

#include "admit/admit.h"

struct admit_item {
	uint32_t left; ///< indices; 0 is none
	uint32_t right;
	uint32_t parent;
	uint16_t npl; ///< null path length
	uint16_t gen; ///< generation of the handle
	uint16_t team; ///< index
	uint8_t level;
	uint8_t rank;
	int64_t deadline_ms;
	uint64_t cost;
	uint64_t charge; ///< virtual time: cost / weight
	uint32_t user;
	uint32_t next_free;
};

/// Merges two heaps.
///
/// @return new root
uint32_t heap_merge(struct admit_item *items, uint32_t a, uint32_t b);

/// Removes an item from the heap with the given root.
///
/// @return new root
uint32_t heap_remove(struct admit_item *items, uint32_t root, uint32_t i);

/// End of the right spine; may have a left child, so it isn't always last in
/// order.
uint32_t heap_last(const struct admit_item *items, uint32_t root);
