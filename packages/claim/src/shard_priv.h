// State of a shard's writer, shared by its files.
#pragma once

#include "segment.h"

/// What to do with a pending record.
enum resolve_result {
	RESOLVE_APPEND, ///< include it in the next put
	RESOLVE_WAIT, ///< the view must be newer
	RESOLVE_REMOVED, ///< it was resolved
};

enum shard_call {
	SHARD_CALL_NONE,
	SHARD_CALL_LIST,
	SHARD_CALL_GET,
	SHARD_CALL_PUT,
};

struct pending {
	struct claim_record rec;
	char *body; ///< owned copy of an answer's body
	char *ctype; ///< owned copy
	uint64_t cookie;
	int64_t queued_ms;
	bool in_put; ///< in the put in flight
};

struct claim_shard {
	struct claim_shard_opts opts;
	struct segment_chain chain;
	struct pending pending[CLAIM_PENDING_MAX];
	size_t n; ///< pending records, oldest first
	enum shard_call call;
	bool in_call; ///< a callback may re-enter: start no call
	bool loaded; ///< the chain was listed
	bool stale; ///< the newest segment must be read
	int64_t call_start_ms;
	int64_t synced_ms; ///< start of the last call at the chain's end
	int64_t next_call_ms;
	int64_t next_expire_ms;
	char *put_value; ///< in flight
	size_t put_len;
	struct claim_stats stats;
};

/// Resolve a pending record against the log.
enum resolve_result shard_resolve(struct claim_shard *s, size_t i,
				  struct claim_time t);

/// Remove a claim request and report its verdict.
void shard_verdict(struct claim_shard *s, size_t i, enum claim_verdict v,
		   const struct claim_answer *a);

/// Remove a pending record.
void shard_drop(struct claim_shard *s, size_t i);
