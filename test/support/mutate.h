// Damages bytes from a seed, for tests of decoders.
#pragma once

#include <stddef.h>

#include "base/rng.h"

enum {
	MUTATE_SEEDS = 20,
	MUTATE_EACH = 500, ///< mutations of a seed for each entry of a corpus
};

struct mutate_bytes {
	const char *data;
	size_t len;
};

/// Copy an entry of a corpus with up to four damages: bytes changed, taken out,
/// put in or doubled, an end cut off, a piece of another entry put in.
///
/// @param corpus    n entries, none of them empty
/// @param at        entry to damage
/// @param[out] len  of the copy
/// @return copy of exactly that size, so that a sanitizer sees a read past its
///         end; freed by the caller
char *mutate(const struct mutate_bytes *corpus, size_t n, size_t at,
	     struct rng *rng, size_t *len);
