// Writing a node's book into the store: read, merge, compare-and-swap.
#pragma once

#include "usage/book.h"

/// Answer of the store.
struct usage_kv {
	enum err err; ///< ERR_OK, ERR_NOT_FOUND, ERR_KV_CONFLICT or a failure
	const char *text;
	size_t len;
	uint64_t rev;
};

struct usage_collect_ops {
	void (*get)(void *ctx);
	void (*put)(void *ctx, const char *text, size_t len, uint64_t prev_rev);
	/// The stored value can't be read; nothing was written.
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
	struct usage_book *book; ///< of the node, not owned
	enum usage_collect_state state;
	uint64_t stored; ///< book version that the store surely holds
	uint64_t writing; ///< book version in the write that is out
	int64_t next_ms; ///< when to begin again
	int64_t verify_ms; ///< when to look at the value though nothing changed
	int64_t interval_ms; ///< between writes
	int64_t asked_ms; ///< when the call that is out was made
	uint64_t call; ///< number of the call that is out; the answer to any
		///< other one must not be passed on
};

/// Begin a round when one is due and the book has changed.
///
/// @param wanted  this node collects for its failure domain now
void usage_collect_tick(struct usage_collect *c, int64_t now, bool wanted);

/// Answer to the call that is out.
void usage_collect_on_kv(struct usage_collect *c, int64_t now,
			 const struct usage_kv *kv);
