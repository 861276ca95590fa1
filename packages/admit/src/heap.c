// Leftist heaps of queued requests, linked by index.
#include "heap.h"

#include <stdbool.h>

static bool item_before(const struct admit_item *a, const struct admit_item *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
	return a->deadline_ms <= b->deadline_ms;
}

static uint16_t item_npl(const struct admit_item *items, uint32_t i)
{
	return i ? items[i].npl : 0;
}

/* Restores the leftist property of an item and its null path length. */
static void item_fix(struct admit_item *items, uint32_t i)
{
	struct admit_item *it = &items[i];

	if (item_npl(items, it->left) < item_npl(items, it->right)) {
		uint32_t t = it->left;

		it->left = it->right;
		it->right = t;
	}
	it->npl = (uint16_t)(item_npl(items, it->right) + 1);
}

uint32_t heap_merge(struct admit_item *items, uint32_t a, uint32_t b)
{
	uint32_t root = 0;
	uint32_t tail = 0;

	/* Merge the two right spines in order. */
	while (a && b) {
		uint32_t top = item_before(&items[a], &items[b]) ? a : b;

		if (top == b) {
			b = a;
			a = top;
		}
		items[a].parent = tail;
		if (tail)
			items[tail].right = a;
		else
			root = a;
		tail = a;
		a = items[a].right;
	}
	a = a ? a : b;
	if (!tail) {
		if (a)
			items[a].parent = 0;
		return a;
	}
	items[tail].right = a;
	if (a)
		items[a].parent = tail;
	/* Fix the merged spine from the bottom up. */
	for (; tail; tail = items[tail].parent)
		item_fix(items, tail);
	return root;
}

uint32_t heap_remove(struct admit_item *items, uint32_t root, uint32_t i)
{
	uint32_t parent_i = items[i].parent;
	uint32_t merged = heap_merge(items, items[i].left, items[i].right);

	if (!parent_i)
		return merged;
	if (items[parent_i].left == i)
		items[parent_i].left = merged;
	else
		items[parent_i].right = merged;
	if (merged)
		items[merged].parent = parent_i;
	while (parent_i) {
		uint16_t old_npl = items[parent_i].npl;

		item_fix(items, parent_i);
		if (items[parent_i].npl == old_npl)
			break;
		parent_i = items[parent_i].parent;
	}
	return root;
}

uint32_t heap_last(const struct admit_item *items, uint32_t root)
{
	while (items[root].right)
		root = items[root].right;
	return root;
}
