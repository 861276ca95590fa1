// Copy of all keys of a prefix, with what was deleted lately, so that a node can
// tell others what changed after a revision. Pure.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

struct relay_item {
	char *key;
	char *value; ///< NULL for a key that was deleted
	size_t len; ///< bytes
	uint64_t rev; ///< of the last change, or of its deletion
	uint32_t round; ///< list in which it was seen last
};

struct relay_copy {
	struct relay_item *items;
	size_t n;
	size_t cap;
	uint32_t round;
	uint64_t rev; ///< everything up to it is in the copy
	uint64_t floor; ///< deletions up to it may be forgotten
};

void relay_copy_free(struct relay_copy *c);

/// A key was written.
///
/// @return ERR_OK or ERR_NOMEM
enum err relay_copy_put(struct relay_copy *c, const char *key,
			const char *value, size_t len, uint64_t rev);

/// A key was deleted, at or before a revision.
void relay_copy_del(struct relay_copy *c, const char *key, uint64_t rev);

/// All keys are about to be put; those that are not are deleted by end_list().
void relay_copy_begin_list(struct relay_copy *c);
void relay_copy_end_list(struct relay_copy *c, uint64_t rev);

/// Whether something changed after a revision.
bool relay_copy_news(const struct relay_copy *c, uint64_t after);

/// Whether deletions after a revision may have been forgotten: its asker needs
/// every key.
bool relay_copy_needs_all(const struct relay_copy *c, uint64_t after);
