// Mutation fuzzing of byte strings, for tests of decoders.
#pragma once

#include <stddef.h>

#include "base/rng.h"

enum {
	MUTATE_SEEDS = 20, ///< random seeds per test
	MUTATIONS_PER_ENTRY =
		500, ///< mutated copies of each corpus entry per seed
};

struct mutate_bytes {
	const char *data;
	size_t len;
};

/// Copy a corpus entry with one to four mutations: bytes changed, removed, inserted
/// or duplicated, the end truncated, part of another entry inserted.
///
/// @param corpus    n entries, none of them empty
/// @param entry     index of the entry to mutate
/// @param[out] len  bytes of the copy
/// @return copy of exactly that size, so that a sanitizer detects reads past its
///         end; freed by the caller
char *mutate(const struct mutate_bytes *corpus, size_t n, size_t entry,
	     struct rng *rng, size_t *len);
