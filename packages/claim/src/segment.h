// This writer's copy of a shard's segment chain, and the claims in it.
#pragma once

#include "claim/shard.h"
#include "claim/table.h"

/// A segment that has not been deleted from the store.
struct segment {
	uint64_t number;
	uint64_t rev;
	int64_t expires_ms; ///< wall clock time when its last claim expires
};

struct segment_chain {
	const char *prefix;
	struct segment *segments; ///< sorted by number
	size_t n;
	size_t cap;
	char *text; ///< content of the newest segment
	size_t len; ///< bytes of `text`
	size_t text_cap; ///< allocated bytes of `text`
	bool sealed; ///< the newest segment accepts no more records
	struct claim_table table; ///< claims of all segments
};

/// Free everything but the prefix.
void segment_chain_reset(struct segment_chain *ch);

/// Get the key of the segment to which the next record is appended.
///
/// @param[out] key       CLAIM_KEY_SIZE bytes
/// @param[out] prev_rev  for the put: revision of the segment, 0 for a new one
void segment_chain_tail(const struct segment_chain *ch, char *key,
			uint64_t *prev_rev);

/// Load a segment read from the store: the newest segment of the chain or its
/// successor. Records that were loaded before are skipped.
///
/// @return ERR_OK, ERR_PARSE for a malformed record, ERR_NOMEM
enum err segment_chain_load(struct segment_chain *ch,
			    const struct claim_kv_item *item, int64_t wall_ms);

/// Remove the oldest segment from the chain if all its claims have expired and
/// it is not the newest one.
///
/// @param[out] key  CLAIM_KEY_SIZE bytes
/// @param[out] rev  revision for its deletion from the store
/// @return false if no segment was removed
bool segment_chain_pop_expired(struct segment_chain *ch, int64_t wall_ms,
			       char *key, uint64_t *rev);
