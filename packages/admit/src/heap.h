// Leftist heaps of queued requests, linked by index: every step is O(log n).
#pragma once

#include <stdint.h>

#include "admit/admit.h"

struct admit_item {
	uint32_t left; ///< indices; 0 is none
	uint32_t right;
	uint32_t parent;
	uint16_t npl; ///< length of the right spine
	uint16_t gen;
	uint16_t team; ///< index
	uint8_t level;
	uint8_t rank;
	int64_t deadline_ms;
	uint64_t cost;
	uint64_t charge; ///< cost over weight
	uint32_t user;
	uint32_t next_free;
};

/// Merge two heaps.
///
/// @return new root
uint32_t heap_merge(struct admit_item *items, uint32_t a, uint32_t b);

/// Take an item out of the heap below a root.
///
/// @return new root
uint32_t heap_remove(struct admit_item *items, uint32_t root, uint32_t i);

/// An item that none follows: the end of the right spine.
uint32_t heap_last(const struct admit_item *items, uint32_t root);
