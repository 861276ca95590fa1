// Arena: many small allocations, freed together. One a request.
#pragma once

#include <stddef.h>

struct arena_block;

struct arena {
	struct arena_block *head; ///< newest block, owned
	size_t used; ///< bytes handed out
	size_t limit; ///< bytes, 0 for none
};

/// Start an empty arena; allocates nothing yet.
///
/// @param a      arena
/// @param limit  most bytes it may hand out, 0 for no limit
void arena_init(struct arena *a, size_t limit);

/// Allocate zeroed memory, aligned for any type.
///
/// @param a    arena
/// @param len  bytes
/// @return memory that lives until arena_free(), NULL past the limit
void *arena_alloc(struct arena *a, size_t len);

/// Copy bytes and add a NUL.
///
/// @param a    arena
/// @param src  bytes, may be NULL when len is 0
/// @param len  bytes
/// @return copy, NULL past the limit
char *arena_strndup(struct arena *a, const char *src, size_t len);

/// Copy a string.
///
/// @param a    arena
/// @param src  string
/// @return copy, NULL past the limit
char *arena_strdup(struct arena *a, const char *src);

/// Free everything; the arena may be used again.
///
/// @param a  arena
void arena_free(struct arena *a);
