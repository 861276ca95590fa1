// State of a shard's writer, shared by its two files.
#pragma once

#include "segment.h"

enum resolve_result {
	RESOLVE_APPEND, ///< the record goes into the next put
	RESOLVE_WAIT, ///< it waits
	RESOLVE_REMOVED, ///< it was settled
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
	bool in_put; ///< part of the put that is out
};

struct claim_shard {
	struct claim_shard_opts opts;
	struct segment_chain chain;
	struct pending pending[CLAIM_PENDING_MAX];
	size_t n; ///< pending records, oldest first
	enum shard_call call;
	bool in_call; ///< an op calls back into the shard
	bool loaded;
	bool stale; ///< the newest segment is to be read
	int64_t call_start_ms; ///< when the call that is out began
	int64_t synced_ms; ///< when the view was last known to be the newest
	int64_t next_call_ms; ///< no call to the store before
	int64_t next_expire_ms;
	char *put_value; ///< value that is out
	size_t put_len;
	struct claim_stats stats;
};

/// Settle what the view settles of a pending record.
enum resolve_result shard_resolve(struct claim_shard *s, size_t i,
				  struct claim_time t);

/// Give a pending claim its verdict and drop it.
void shard_verdict(struct claim_shard *s, size_t i, enum claim_verdict v,
		   const struct claim_answer *a);

/// Drop a pending record.
void shard_drop(struct claim_shard *s, size_t i);
