// This writer's copy of a shard's segment chain.
#pragma once

#include "claim/shard.h"
#include "claim/table.h"

/// A segment in the store.
struct segment {
	uint64_t number;
	uint64_t rev;
	int64_t expires_ms; ///< wall clock; when its last claim expires
};

struct segment_chain {
	const char *prefix;
	struct segment *segments; ///< sorted by number
	size_t n;
	size_t cap;
	char *text; ///< of the newest segment
	size_t len;
	size_t text_cap;
	bool sealed; ///< the newest segment accepts no more records
	struct claim_table table;
};

/// Free all but the prefix.
void segment_chain_reset(struct segment_chain *ch);

/// Get the key of the segment to append to.
///
/// @param[out] key       CLAIM_KEY_SIZE bytes
/// @param[out] prev_rev  for the put, 0 for a new segment
void segment_chain_tail(const struct segment_chain *ch, char *key,
			uint64_t *prev_rev);

/// Load the chain's newest segment, or its successor, as read from the store.
///
/// @return ERR_OK, ERR_PARSE, ERR_NOMEM
enum err segment_chain_load(struct segment_chain *ch,
			    const struct claim_kv_item *item, int64_t wall_ms);

/// Remove the oldest segment from the chain if it has expired and is not the
/// newest; it may then be deleted from the store.
///
/// @param[out] key  CLAIM_KEY_SIZE bytes
/// @return false if no segment was removed
bool segment_chain_pop_expired(struct segment_chain *ch, int64_t wall_ms,
			       char *key, uint64_t *rev);
