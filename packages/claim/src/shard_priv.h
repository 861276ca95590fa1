// State of a shard's writer, shared by its two files.
#pragma once

#include "segment.h"

enum review {
	REVIEW_PUT, ///< the record goes into the next put
	REVIEW_KEEP, ///< it waits
	REVIEW_GONE, ///< it was settled
};

enum shard_out {
	SHARD_OUT_NONE,
	SHARD_OUT_LIST,
	SHARD_OUT_GET,
	SHARD_OUT_PUT,
};

struct pending {
	struct claim_record rec;
	char *body; ///< owned copy of an answer's body
	char *ctype; ///< owned copy
	uint64_t ticket;
	int64_t asked_ms;
	bool in_put; ///< part of the put that is out
};

struct claim_shard {
	struct claim_shard_opts o;
	struct segment_chain chain;
	struct pending pending[CLAIM_PENDING];
	size_t n; ///< pending records, oldest first
	enum shard_out out;
	bool busy; ///< an op calls back into the shard
	bool loaded;
	bool behind; ///< the newest segment is to be read
	int64_t out_ms; ///< when the call that is out began
	int64_t view_ms; ///< when the view was last known to be the newest
	int64_t next_ms; ///< no call to the store before
	int64_t expire_ms;
	char *put; ///< value that is out
	size_t put_len;
	struct claim_stats stats;
};

/// Settle what the view settles of a pending record.
enum review shard_review(struct claim_shard *s, size_t i, struct claim_time t);

/// Give a pending claim its verdict and drop it.
void shard_verdict(struct claim_shard *s, size_t i, enum claim_verdict v,
		   const struct claim_answer *a);

/// Drop a pending record.
void shard_drop(struct claim_shard *s, size_t i);
