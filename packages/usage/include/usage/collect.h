// Collector: merges a node's counters into a stored value by read, merge and
// compare-and-swap.
#pragma once

#include "usage/counters.h"

/// Reply of the store.
struct usage_kv {
	enum err err; ///< ERR_OK, ERR_NOT_FOUND, ERR_KV_CONFLICT or a failure
	const char *text; ///< value that was read
	size_t len;
	uint64_t rev;
};

struct usage_collect_ops {
	void (*get)(void *ctx);
	void (*put)(void *ctx, const char *text, size_t len, uint64_t prev_rev);
	/// The stored value is malformed; nothing was written.
	void (*bad)(void *ctx, enum err e);
};

enum usage_collect_state {
	USAGE_COLLECT_IDLE,
	USAGE_COLLECT_READ,
	USAGE_COLLECT_WRITE,
};

struct usage_collect {
	const struct usage_collect_ops *ops;
	void *ctx;
	struct usage_counters *counters; ///< of the node, not owned
	enum usage_collect_state state;
	uint64_t stored_version; ///< newest one known to be stored
	uint64_t writing_version; ///< in the outstanding write
	int64_t next_ms; ///< earliest start of the next round
	int64_t verify_ms; ///< when to read even if nothing changed
	int64_t interval_ms; ///< between two rounds
	int64_t call_start_ms;
	uint64_t call_id; ///< replies to any other call must be dropped
};

/// Start a round if one is due and the counters changed, or after 30 s.
///
/// @param is_collector  whether this node collects for its failure domain
void usage_collect_tick(struct usage_collect *c, int64_t now,
			bool is_collector);

/// Handle the reply to the outstanding call.
void usage_collect_on_kv(struct usage_collect *c, int64_t now,
			 const struct usage_kv *kv);
