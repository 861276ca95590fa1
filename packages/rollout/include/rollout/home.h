// State of one trainer's batches. Owner and backup apply the same operations
// to it in the same order, so both hold the same state.
#pragma once

#include "rollout/op.h"
#include "rollout/pull.h"

enum {
	HOME_BATCHES = 16, ///< open batches of a trainer
	HOME_DONE = 16, ///< finished batches remembered
	HOME_PULL_TOKENS = 65536, ///< most tokens handed out at once, about
};

enum home_slot_state {
	HOME_EMPTY, ///< no sample
	HOME_READY, ///< a sample that nobody was given
	HOME_HANDED, ///< its sample is fixed for ever
	HOME_ACKED, ///< over
};

struct home_slot {
	enum home_slot_state state;
	uint64_t serial; ///< of the sample, unique in the trainer's batches
	struct sample sample;
};

struct home_batch {
	struct batch *spec;
	uint64_t hash; ///< batch_hash()
	struct home_slot *slots;
	size_t n_ready;
	size_t n_handed;
	size_t n_acked;
	void *user; ///< of the owner's scheduler
};

/// A finished batch: enough to answer calls that come again.
struct home_done {
	char id[BATCH_NAME];
	uint64_t hash;
	uint64_t step;
	uint64_t n_slots;
};

/// What the owner's scheduler learns; all may be NULL.
struct home_watch {
	void (*on_batch)(void *ctx, struct home_batch *b);
	/// A slot lost its sample: stale, or lost on the way.
	void (*on_need)(void *ctx, struct home_batch *b, uint32_t slot);
	void (*on_version)(void *ctx, uint64_t version);
	void (*on_acked)(void *ctx, struct home_batch *b, uint32_t slot);
	void (*on_done)(void *ctx, struct home_batch *b);
};

struct home {
	char team[BATCH_NAME];
	char trainer[BATCH_NAME];
	uint64_t session; ///< newest session seen
	uint64_t version; ///< newest weight version of the trainer
	uint64_t serial; ///< newest sample's
	uint64_t floor; ///< batches of this step or before may be forgotten
	struct home_batch *batches[HOME_BATCHES]; ///< open ones, owned
	size_t n_batches;
	struct home_done done[HOME_DONE];
	size_t n_done;
	bool keeps_stale; ///< a flaw for tests: see enum rollout_flaw
	const struct home_watch *watch;
	void *watch_ctx;
};

/// @return empty state, NULL when out of memory
struct home *home_new(const char *team, const char *trainer);

/// Free a state.
///
/// @param h  state or NULL
void home_free(struct home *h);

/// Hash of what a batch asks for, without the trainer's version.
uint64_t batch_hash(const struct batch *b);

/// Open batch of an id, NULL if there is none.
struct home_batch *home_find(struct home *h, const char *id);

/// Whether a batch may be taken.
///
/// @param[out] known  true if the same batch was taken before
/// @return ERR_OK, ERR_BATCH_CLASH, ERR_BATCH_OVER or ERR_BATCH_LIMIT
enum err home_check(const struct home *h, const struct batch *b, bool *known);

/// Decide a pull: the operation that records it.
///
/// @param again    hand out what was handed out before and is not acknowledged
/// @param[out] op  OP_PULL; op_clear() it
/// @return ERR_OK, ERR_SESSION_OLD, ERR_BATCH_UNKNOWN, ERR_NOMEM
enum err home_plan_pull(struct home *h, const struct pull *p, bool again,
			struct op *op);

/// Apply an operation; takes over what it holds.
///
/// @return ERR_OK, ERR_INVALID for one that does not fit the state
enum err home_apply(struct home *h, struct op *op);

/// What a pull is answered, after its operation was applied.
///
/// @param op          operation of the pull
/// @param[out] reply  pull_reply_clear() it
/// @return ERR_OK, ERR_BATCH_UNKNOWN, ERR_NOMEM
enum err home_reply(struct home *h, const struct op *op,
		    struct pull_reply *reply);

/// Operations that make the same state from an empty one.
///
/// @param fn  called with each; what it holds stays the state's
void home_snapshot(const struct home *h,
		   void (*fn)(void *ctx, const struct op *op), void *ctx);
