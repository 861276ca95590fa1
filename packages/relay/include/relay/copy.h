// Copy of all keys of a prefix, with recent deletions, from which a node can tell
// others what changed after a revision. Pure.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

struct relay_item {
	char *key;
	char *value; ///< NULL for a deleted key
	size_t len; ///< bytes of value
	uint64_t rev; ///< of the last change or the deletion
	uint32_t list_gen; ///< last full list that contained it
};

struct relay_copy {
	struct relay_item *items;
	size_t n;
	size_t cap;
	uint32_t list_gen;
	uint64_t rev; ///< all changes up to it are included
	uint64_t compacted_rev; ///< deletions up to it may be discarded
};

void relay_copy_free(struct relay_copy *c);

/// Store a value unless the copy has one of this or a newer revision.
///
/// @return ERR_OK or ERR_NOMEM
enum err relay_copy_put(struct relay_copy *c, const char *key,
			const char *value, size_t len, uint64_t rev);

/// Mark a key as deleted at or before a revision.
void relay_copy_del(struct relay_copy *c, const char *key, uint64_t rev);

/// Start a full list. Keys that are not put before end_list() are deleted by it.
void relay_copy_begin_list(struct relay_copy *c);
void relay_copy_end_list(struct relay_copy *c, uint64_t rev);

/// Whether any key changed after a revision.
bool relay_copy_changed(const struct relay_copy *c, uint64_t after);

/// Whether deletions after a revision may have been discarded, so that a follower
/// at that revision needs every key.
bool relay_copy_needs_full(const struct relay_copy *c, uint64_t after);
