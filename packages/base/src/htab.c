// Handle table: 16 bits of index, 16 bits of generation, which deletion increments.
#include "base/htab.h"

#include <stdlib.h>
#include <string.h>

enum {
	HTAB_INDEX_BITS = 16,
	HTAB_INDEX_MASK = 0xffff,
	HTAB_NONE = 0xffff,
};

struct htab_slot {
	uint16_t gen;
	uint16_t next_free;
	bool used;
};

struct htab {
	size_t cap;
	size_t size;
	size_t count;
	size_t high_water; ///< one past the highest index ever used
	uint16_t free_head;
	struct htab_slot *slots;
	char *data;
};

struct htab *htab_new(size_t cap, size_t size)
{
	struct htab *t;

	if (cap == 0 || cap > HTAB_NONE)
		return NULL;
	t = calloc(1, sizeof(*t));
	if (!t)
		return NULL;
	t->cap = cap;
	t->size = size;
	t->slots = calloc(cap, sizeof(*t->slots));
	t->data = calloc(cap, size);
	if (!t->slots || !t->data) {
		htab_free(t);
		return NULL;
	}
	for (size_t i = 0; i < cap; i++) {
		t->slots[i].gen = 1;
		t->slots[i].next_free =
			(uint16_t)(i + 1 < cap ? i + 1 : HTAB_NONE);
	}
	return t;
}

void htab_free(struct htab *t)
{
	if (!t)
		return;
	free(t->slots);
	free(t->data);
	free(t);
}

static void *htab_entry(const struct htab *t, size_t i)
{
	return t->data + i * t->size;
}

static htab_handle htab_handle_of(const struct htab *t, size_t i)
{
	return (htab_handle)t->slots[i].gen << HTAB_INDEX_BITS | (uint32_t)i;
}

void *htab_add(struct htab *t, htab_handle *h)
{
	size_t i = t->free_head;
	void *e;

	if (i == HTAB_NONE)
		return NULL;
	t->free_head = t->slots[i].next_free;
	t->slots[i].used = true;
	t->count++;
	if (t->high_water <= i)
		t->high_water = i + 1;
	e = htab_entry(t, i);
	memset(e, 0, t->size);
	*h = htab_handle_of(t, i);
	return e;
}

void *htab_get(const struct htab *t, htab_handle h)
{
	size_t i = h & HTAB_INDEX_MASK;

	if (i >= t->cap || !t->slots[i].used)
		return NULL;
	return t->slots[i].gen == h >> HTAB_INDEX_BITS ? htab_entry(t, i)
						       : NULL;
}

bool htab_del(struct htab *t, htab_handle h)
{
	size_t i = h & HTAB_INDEX_MASK;
	struct htab_slot *s;

	if (!htab_get(t, h))
		return false;
	s = &t->slots[i];
	s->used = false;
	s->gen = (uint16_t)(s->gen + 1);
	if (s->gen == 0)
		s->gen = 1;
	s->next_free = t->free_head;
	t->free_head = (uint16_t)i;
	t->count--;
	return true;
}

void *htab_next(const struct htab *t, size_t *iter, htab_handle *h)
{
	while (*iter < t->high_water) {
		size_t i = (*iter)++;

		if (!t->slots[i].used)
			continue;
		if (h)
			*h = htab_handle_of(t, i);
		return htab_entry(t, i);
	}
	return NULL;
}

size_t htab_count(const struct htab *t)
{
	return t->count;
}
