// Writer of one shard of the claim log.
//
// The log is a chain of segments in the key-value store, appended to by
// compare-and-swap on the newest one, so that any number of writers is safe: a
// writer whose view is old loses the swap, reads on, and decides again.
#pragma once

#include "base/err.h"
#include "claim/record.h"

enum {
	CLAIM_KEY_SIZE = 64, ///< bytes of a segment's key
	CLAIM_PENDING_MAX = 1024, ///< records waiting in a shard
};

struct claim_shard;

/// What a shard asks for. At most one list, get or put is out at a time; its
/// outcome comes back by claim_shard_kv().
struct claim_ops {
	void (*list)(void *ctx, const char *prefix);
	void (*get)(void *ctx, const char *key);
	/// @param prev_rev  revision that must match; 0: must not exist
	void (*put)(void *ctx, const char *key, const char *value, size_t len,
		    uint64_t prev_rev);
	/// Fire and forget.
	void (*del)(void *ctx, const char *key, uint64_t rev);
	/// @param ticket  as given with the request
	/// @param answer  with CLAIM_DONE; valid during the call
	void (*verdict)(void *ctx, uint64_t cookie, enum claim_verdict v,
			const struct claim_answer *answer);
};

struct claim_shard_opts {
	const char *prefix; ///< of the segments' keys, such as "claim/3/"
	const struct claim_ops *ops;
	void *ctx; ///< for the ops
	int64_t commit_ms; ///< least time between two puts
	int64_t wait_ms; ///< longest wait for a verdict
	size_t segment_max; ///< bytes after which a segment is sealed
};

struct claim_kv_item {
	const char *key;
	const char *value;
	size_t len;
	uint64_t rev;
};

/// Outcome of a list, get or put.
struct claim_kv {
	enum err err; ///< as of the platform module
	uint64_t rev; ///< of the key, after a put
	const struct claim_kv_item *items; ///< in the order of their keys
	size_t n_items;
};

/// Time as both clocks show it.
struct claim_time {
	int64_t now_ms; ///< clock_now_ms()
	int64_t wall_ms; ///< clock_wall_ms()
};

/// Counters since the start.
struct claim_stats {
	uint64_t puts;
	uint64_t gets;
	uint64_t conflicts;
	uint64_t unknown; ///< puts whose reply was lost
	uint64_t records; ///< committed
	uint64_t bad; ///< segments that could not be read
	uint64_t bytes; ///< of the values put
};

struct claim_shard *claim_shard_new(const struct claim_shard_opts *opts);
void claim_shard_free(struct claim_shard *s);

/// Ask for a claim; the verdict comes by ops, perhaps at once.
///
/// @return ERR_OK, or ERR_FULL: no verdict follows
enum err claim_shard_ask(struct claim_shard *s, struct claim_time t,
			 const struct claim_request *req, uint64_t cookie);

/// Note an outcome: CLAIM_OP_DONE, or CLAIM_OP_FREE by the claim's owner.
///
/// @return ERR_OK, or ERR_FULL: it is not kept
enum err claim_shard_note(struct claim_shard *s, struct claim_time t,
			  const struct claim_record *r);

/// Take the outcome of the call that is out.
///
/// @return ERR_OK, ERR_INVALID if none is out: nothing changes
enum err claim_shard_kv(struct claim_shard *s, struct claim_time t,
			const struct claim_kv *kv);

/// Let time pass.
void claim_shard_tick(struct claim_shard *s, struct claim_time t);

const struct claim_stats *claim_shard_stats(const struct claim_shard *s);
