// Arena allocator: many small allocations, freed together. Each request has one.
#pragma once

#include <stddef.h>

struct arena_block;

struct arena {
	struct arena_block *head; ///< newest block, owned
	size_t used; ///< bytes handed out
	size_t limit; ///< most bytes handed out, 0 for no limit
};

/// Initialize an empty arena; allocates nothing yet.
///
/// @param limit  most bytes to hand out, 0 for no limit
void arena_init(struct arena *a, size_t limit);

/// Allocate zeroed memory, aligned for any type.
///
/// @param len  bytes
/// @return memory valid until arena_free(), NULL past the limit or out of memory
void *arena_alloc(struct arena *a, size_t len);

/// Copy bytes and append a NUL.
///
/// @param src  bytes, may be NULL when len is 0
/// @param len  bytes
/// @return copy, NULL past the limit
char *arena_strndup(struct arena *a, const char *src, size_t len);

/// Copy a string.
///
/// @return copy, NULL past the limit
char *arena_strdup(struct arena *a, const char *src);

/// Free all memory; the arena can be used again.
void arena_free(struct arena *a);
