// Claims in a shard's log, by key.
#pragma once

#include "claim/record.h"

enum claim_state {
	CLAIM_STATE_NONE,
	CLAIM_STATE_HELD, ///< claimed, no outcome yet
	CLAIM_STATE_DONE,
};

struct claim_entry {
	struct claim_request req;
	enum claim_state state;
	struct claim_answer answer; ///< strings are owned
};

struct claim_table {
	struct claim_entry *slots;
	size_t cap; ///< power of two
	size_t used; ///< slots with a key
};

/// Apply a record of the log.
///
/// @return false when out of memory
bool claim_table_apply(struct claim_table *t, const struct claim_record *r,
		       int64_t wall_ms);

/// Look up a key.
///
/// @return entry, NULL if the key is free or expired
const struct claim_entry *claim_table_find(const struct claim_table *t,
					   struct claim_u128 key,
					   int64_t wall_ms);

void claim_table_free(struct claim_table *t);
