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

/* Restore the order of the children and the spine's length. */
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
	uint32_t at = 0;

	/* Down the right spines, the better one on top... */
	while (a && b) {
		uint32_t top = item_before(&items[a], &items[b]) ? a : b;

		if (top == b) {
			b = a;
			a = top;
		}
		items[a].parent = at;
		if (at)
			items[at].right = a;
		else
			root = a;
		at = a;
		a = items[a].right;
	}
	a = a ? a : b;
	if (!at) {
		if (a)
			items[a].parent = 0;
		return a;
	}
	items[at].right = a;
	if (a)
		items[a].parent = at;
	/* ... and up again. */
	for (; at; at = items[at].parent)
		item_fix(items, at);
	return root;
}

uint32_t heap_remove(struct admit_item *items, uint32_t root, uint32_t i)
{
	uint32_t up = items[i].parent;
	uint32_t rest = heap_merge(items, items[i].left, items[i].right);

	if (!up)
		return rest;
	if (items[up].left == i)
		items[up].left = rest;
	else
		items[up].right = rest;
	if (rest)
		items[rest].parent = up;
	while (up) {
		uint16_t before = items[up].npl;

		item_fix(items, up);
		if (items[up].npl == before)
			break;
		up = items[up].parent;
	}
	return root;
}

uint32_t heap_last(const struct admit_item *items, uint32_t root)
{
	while (items[root].right)
		root = items[root].right;
	return root;
}
