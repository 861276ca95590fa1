// Leftist heaps of queued requests, linked by index: merge and remove take
// O(log n).
#pragma once

#include <stdint.h>

#include "admit/admit.h"

struct admit_item {
	uint32_t left; ///< index, 0 for none; so are `right` and `parent`
	uint32_t right;
	uint32_t parent;
	uint16_t npl; ///< null path length: nodes on the right spine
	uint16_t gen; ///< generation; changes when the entry is freed
	uint16_t team; ///< index into the table of teams
	uint8_t level;
	uint8_t rank;
	int64_t deadline_ms;
	uint64_t cost;
	uint64_t charge; ///< virtual time charged to its team: cost by weight
	uint32_t user;
	uint32_t next_free;
};

/// Merges two heaps.
///
/// @return root of the merged heap
uint32_t heap_merge(struct admit_item *items, uint32_t a, uint32_t b);

/// Removes an item from the heap with the given root.
///
/// @return root of the remaining heap
uint32_t heap_remove(struct admit_item *items, uint32_t root, uint32_t i);

/// Returns the end of the right spine. It may have a left child, so it isn't
/// always the last item in the heap's order.
uint32_t heap_last(const struct admit_item *items, uint32_t root);
