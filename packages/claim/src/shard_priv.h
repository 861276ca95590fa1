// State of a shard's writer, shared by shard.c and shard_resolve.c.
#pragma once

#include "segment.h"

/// What to do with a pending record.
enum resolve_result {
	RESOLVE_APPEND, ///< include it in the next put
	RESOLVE_WAIT, ///< leave it queued until the view is newer
	RESOLVE_REMOVED, ///< it was resolved and removed from the queue
};

/// Store call in flight.
enum shard_call {
	SHARD_CALL_NONE,
	SHARD_CALL_LIST,
	SHARD_CALL_GET,
	SHARD_CALL_PUT,
};

/// A queued claim request or outcome.
struct pending {
	struct claim_record rec;
	char *body; ///< owned copy of an answer's body
	char *ctype; ///< owned copy of an answer's Content-Type
	uint64_t cookie;
	int64_t queued_ms; ///< clock_now_ms() time
	bool in_put; ///< included in the put in flight
};

struct claim_shard {
	struct claim_shard_opts opts;
	struct segment_chain chain;
	struct pending pending[CLAIM_PENDING_MAX];
	size_t n; ///< pending records, oldest first
	enum shard_call call;
	bool in_call; ///< a callback may re-enter: start no store call
	bool loaded; ///< the chain was listed
	bool stale; ///< the newest segment must be read again
	int64_t call_start_ms; ///< start of the store call in flight
	int64_t synced_ms; ///< start of the last call at the chain's end
	int64_t next_call_ms; ///< earliest start of the next store call
	int64_t next_expire_ms; ///< next check for an expired segment
	char *put_value; ///< value of the put in flight
	size_t put_len; ///< bytes
	struct claim_stats stats;
};

/// Resolve a pending record against the local copy of the log.
enum resolve_result shard_resolve(struct claim_shard *s, size_t i,
				  struct claim_time t);

/// Remove a pending claim request and report its verdict.
void shard_verdict(struct claim_shard *s, size_t i, enum claim_verdict v,
		   const struct claim_answer *a);

/// Remove a pending record.
void shard_drop(struct claim_shard *s, size_t i);
