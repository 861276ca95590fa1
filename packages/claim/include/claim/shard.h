// Writer of one shard of the claim log.
//
// The log is a chain of segments in the key-value store. Records are appended
// by compare-and-swap on the newest one, so concurrent writers are safe: a
// stale writer's swap fails; it reads the new records and decides again.
#pragma once

#include "base/err.h"
#include "claim/record.h"

enum {
	CLAIM_KEY_SIZE = 64, ///< bytes of a segment's key
	CLAIM_PENDING_MAX = 1024, ///< queued records of a shard
};

struct claim_shard;

/// Callbacks. At most one list, get or put is in flight; its result is passed
/// to claim_shard_kv_done().
struct claim_shard_ops {
	void (*list)(void *ctx, const char *prefix);
	void (*get)(void *ctx, const char *key);
	/// @param prev_rev  revision that must match; 0: must not exist
	void (*put)(void *ctx, const char *key, const char *value, size_t len,
		    uint64_t prev_rev);
	/// No result is expected.
	void (*del)(void *ctx, const char *key, uint64_t rev);
	/// @param cookie  as passed to claim_shard_request()
	/// @param answer  with CLAIM_DONE; valid during the call
	void (*verdict)(void *ctx, uint64_t cookie, enum claim_verdict v,
			const struct claim_answer *answer);
};

struct claim_shard_opts {
	const char *prefix; ///< of the segments' keys, such as "claim/3/"
	const struct claim_shard_ops *ops;
	void *ctx;
	int64_t commit_interval_ms; ///< least time between two puts
	int64_t wait_ms; ///< timeout of a queued claim request
	size_t segment_max_bytes; ///< bytes after which a segment is sealed
};

struct claim_kv_item {
	const char *key;
	const char *value;
	size_t len;
	uint64_t rev;
};

/// Result of a list, get or put.
struct claim_kv_result {
	enum err err; ///< of the platform module
	uint64_t rev; ///< of the key, after a put
	const struct claim_kv_item *items; ///< sorted by key
	size_t n_items;
};

/// Current time on both clocks.
struct claim_time {
	int64_t now_ms; ///< clock_now_ms()
	int64_t wall_ms; ///< clock_wall_ms()
};

/// Counters since the start.
struct claim_stats {
	uint64_t puts;
	uint64_t gets;
	uint64_t conflicts;
	uint64_t unknown; ///< failed puts except conflicts
	uint64_t records; ///< committed
	uint64_t bad; ///< segments that can't be loaded
	uint64_t bytes; ///< of the values put
};

/// @return NULL when out of memory
struct claim_shard *claim_shard_new(const struct claim_shard_opts *opts);
void claim_shard_free(struct claim_shard *s);

/// Queue a claim request; its verdict may come before this returns.
///
/// @return ERR_OK, or ERR_FULL: no verdict follows
enum err claim_shard_request(struct claim_shard *s, struct claim_time t,
			     const struct claim_request *req, uint64_t cookie);

/// Queue an outcome: CLAIM_OP_DONE, or CLAIM_OP_RELEASE by the claim's owner.
///
/// @return ERR_OK, or ERR_FULL: it is dropped
enum err claim_shard_add_outcome(struct claim_shard *s, struct claim_time t,
				 const struct claim_record *r);

/// Process the result of the store call in flight.
///
/// @return ERR_OK, ERR_INVALID if none is in flight: nothing changes
enum err claim_shard_kv_done(struct claim_shard *s, struct claim_time t,
			     const struct claim_kv_result *kv);

/// Timer tick: handles timeouts, expiry and the next store call.
void claim_shard_tick(struct claim_shard *s, struct claim_time t);

const struct claim_stats *claim_shard_stats(const struct claim_shard *s);
