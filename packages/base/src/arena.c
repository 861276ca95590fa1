// Arena allocator over a linked list of blocks.
#include "base/arena.h"

#include <stdalign.h>
#include <stdlib.h>
#include <string.h>

enum {
	ARENA_BLOCK_MIN_BYTES = 4096, ///< least bytes of a block
};

struct arena_block {
	struct arena_block *next;
	size_t size;
	size_t used;
	alignas(max_align_t) char data[];
};

void arena_init(struct arena *a, size_t limit)
{
	a->head = NULL;
	a->used = 0;
	a->limit = limit;
}

static struct arena_block *arena_grow(struct arena *a, size_t len)
{
	size_t size = len > ARENA_BLOCK_MIN_BYTES ? len : ARENA_BLOCK_MIN_BYTES;
	struct arena_block *b = calloc(1, sizeof(*b) + size);

	if (!b)
		return NULL;
	b->size = size;
	b->next = a->head;
	a->head = b;
	return b;
}

void *arena_alloc(struct arena *a, size_t len)
{
	size_t align = alignof(max_align_t);
	size_t padded_len = (len + align - 1) / align * align;
	struct arena_block *b = a->head;
	void *p;

	if (padded_len < len || (a->limit && a->used + padded_len > a->limit))
		return NULL;
	if (!b || b->size - b->used < padded_len)
		b = arena_grow(a, padded_len);
	if (!b)
		return NULL;
	p = b->data + b->used;
	b->used += padded_len;
	a->used += padded_len;
	return p;
}

char *arena_strndup(struct arena *a, const char *src, size_t len)
{
	char *p = arena_alloc(a, len + 1);

	if (p && len)
		memcpy(p, src, len);
	return p;
}

char *arena_strdup(struct arena *a, const char *src)
{
	return arena_strndup(a, src, strlen(src));
}

void arena_free(struct arena *a)
{
	struct arena_block *b = a->head;

	while (b) {
		struct arena_block *next = b->next;

		free(b);
		b = next;
	}
	arena_init(a, a->limit);
}
