// Writer of one shard of the claim log.
//
// The log is a chain of segments in the key-value store. Records are appended
// by compare-and-swap on the newest segment, so concurrent writers are safe:
// the swap of a writer with a stale view fails; it reads the newer records
// and decides again.
#pragma once

#include "base/err.h"
#include "claim/record.h"

enum {
	CLAIM_KEY_SIZE = 64, ///< bytes of a segment's key
	CLAIM_PENDING_MAX = 1024, ///< limit of queued records of a shard
};

struct claim_shard;

/// Callbacks of a shard. At most one list, get or put is in flight at a time;
/// its result is passed to claim_shard_kv().
struct claim_ops {
	void (*list)(void *ctx, const char *prefix);
	void (*get)(void *ctx, const char *key);
	/// @param prev_rev  expected revision of the key; 0: it must not exist
	void (*put)(void *ctx, const char *key, const char *value, size_t len,
		    uint64_t prev_rev);
	/// Delete a key if it has this revision; no result is expected.
	void (*del)(void *ctx, const char *key, uint64_t rev);
	/// A claim request was decided.
	///
	/// @param cookie  as passed to claim_shard_ask()
	/// @param answer  with CLAIM_DONE; valid during the call only
	void (*verdict)(void *ctx, uint64_t cookie, enum claim_verdict v,
			const struct claim_answer *answer);
};

struct claim_shard_opts {
	const char *prefix; ///< of the segments' keys ("claim/3/"); copied
	const struct claim_ops *ops;
	void *ctx; ///< passed to the callbacks
	int64_t commit_ms; ///< least time between two puts
	int64_t wait_ms; ///< queueing timeout of a claim request
	size_t segment_max; ///< bytes after which a segment is sealed
};

/// A key with its value, as the store returned it.
struct claim_kv_item {
	const char *key;
	const char *value;
	size_t len; ///< bytes
	uint64_t rev;
};

/// Result of a list, get or put.
struct claim_kv {
	enum err err; ///< as returned by the platform module
	uint64_t rev; ///< of the key, after a put
	const struct claim_kv_item *items; ///< of a list or get, sorted by key
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
	uint64_t unknown; ///< puts that failed or whose outcome is unknown
	uint64_t records; ///< records committed
	uint64_t bad; ///< segments that could not be loaded
	uint64_t bytes; ///< total size of the values put
};

/// @return shard, NULL when out of memory
struct claim_shard *claim_shard_new(const struct claim_shard_opts *opts);

/// Free a shard; pending claim requests get no verdict.
///
/// @param s  shard or NULL
void claim_shard_free(struct claim_shard *s);

/// Queue a claim request. The verdict callback may be called before this
/// returns.
///
/// @param cookie  passed to the verdict callback
/// @return ERR_OK, or ERR_FULL: queue full, no verdict follows
enum err claim_shard_ask(struct claim_shard *s, struct claim_time t,
			 const struct claim_request *req, uint64_t cookie);

/// Queue the outcome of a claimed request: CLAIM_OP_DONE, or CLAIM_OP_FREE from
/// the owner of the claim.
///
/// @param r  copied
/// @return ERR_OK, or ERR_FULL: queue full, the outcome is dropped
enum err claim_shard_note(struct claim_shard *s, struct claim_time t,
			  const struct claim_record *r);

/// Process the result of the store call in flight.
///
/// @return ERR_OK, or ERR_INVALID if no call is in flight: nothing changes
enum err claim_shard_kv(struct claim_shard *s, struct claim_time t,
			const struct claim_kv *kv);

/// Timer tick: times out claim requests, deletes an expired segment and starts
/// the next store call that is due.
void claim_shard_tick(struct claim_shard *s, struct claim_time t);

/// @return counters, valid as long as the shard
const struct claim_stats *claim_shard_stats(const struct claim_shard *s);
