// The chain of segments of one shard, as this writer last saw it.
#pragma once

#include "claim/shard.h"
#include "claim/table.h"

/// A segment that is still in the store.
struct segment {
	uint64_t number;
	uint64_t rev;
	int64_t expires_ms; ///< wall clock; of its last record to expire
};

struct segment_chain {
	const char *prefix;
	struct segment *segments; ///< in the order of their numbers
	size_t n;
	size_t cap;
	char *text; ///< of the newest segment
	size_t len;
	size_t text_cap;
	bool sealed; ///< the newest segment takes no more records
	struct claim_table table;
};

/// Forget everything.
void segment_chain_reset(struct segment_chain *ch);

/// Key of the segment that takes the next record.
///
/// @param[out] key       CLAIM_KEY_SIZE bytes
/// @param[out] prev_rev  for the put
void segment_chain_tail(const struct segment_chain *ch, char *key,
			uint64_t *prev_rev);

/// Take a segment as the store has it now, the newest seen so far or one
/// after it.
///
/// @return ERR_OK, ERR_PARSE, ERR_NOMEM
enum err segment_chain_load(struct segment_chain *ch,
			    const struct claim_kv_item *item, int64_t wall_ms);

/// Whether the store's oldest segment may be deleted; takes it off the chain.
///
/// @param[out] key  CLAIM_KEY_SIZE bytes
bool segment_chain_pop_expired(struct segment_chain *ch, int64_t wall_ms,
			       char *key, uint64_t *rev);
