// State machine of the collector, which merges a node's counters into one value
// of the store: read, merge, compare-and-swap.
#pragma once

#include "usage/counters.h"

/// Reply of the store.
struct usage_kv {
	enum err err; ///< ERR_OK, ERR_NOT_FOUND, ERR_KV_CONFLICT or a failure
	const char *text; ///< value that was read, not owned
	size_t len; ///< bytes of text
	uint64_t rev; ///< store revision of the value
};

/// Calls that the caller carries out; each get and put is answered with
/// usage_collect_on_kv().
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
	struct usage_book *counters; ///< counters of the node, not owned
	enum usage_collect_state state;
	uint64_t stored_version; ///< newest version known to be in the store
	uint64_t writing_version; ///< version in the outstanding write
	int64_t next_ms; ///< earliest start of the next round
	int64_t verify_ms; ///< when to read the value even if nothing changed
	int64_t interval_ms; ///< between two rounds
	int64_t call_start_ms; ///< start of the outstanding call
	uint64_t call_id; ///< of the outstanding call; the caller drops
		///< replies to any other call
};

/// Start a round if one is due and the counters have changed, or the stored
/// value was not read for 30 s.
///
/// @param wanted  this node is the collector of its failure domain
void usage_collect_tick(struct usage_collect *c, int64_t now,
			bool is_collector);

/// Handle the reply to the outstanding call.
void usage_collect_on_kv(struct usage_collect *c, int64_t now,
			 const struct usage_kv *kv);
