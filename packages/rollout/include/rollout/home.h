// Replicated state of one trainer's batches. The owner and the backup apply the
// same operations in the same order and so hold the same state.
#pragma once

#include "rollout/op.h"
#include "rollout/pull.h"

enum {
	HOME_MAX_BATCHES = 16, ///< open batches of a trainer
	HOME_MAX_DONE = 16, ///< finished batches remembered
	HOME_MAX_PULL_TOKENS = 65536, ///< tokens at which a reply is full
};

enum home_slot_state {
	HOME_EMPTY, ///< no sample
	HOME_READY, ///< sample not delivered yet
	HOME_DELIVERED, ///< sample delivered: it can't change
	HOME_ACKED, ///< sample acknowledged
};

struct home_slot {
	enum home_slot_state state;
	uint64_t serial; ///< of the sample, unique per trainer
	struct sample sample;
};

struct home_batch {
	struct batch *spec;
	uint64_t hash; ///< see batch_hash()
	struct home_slot *slots;
	size_t n_ready;
	size_t n_delivered;
	size_t n_acked;
	void *user; ///< set by the owner for its scheduler
};

/// A finished batch: what is needed to answer retried calls.
struct home_done {
	char id[BATCH_NAME_SIZE];
	uint64_t hash;
	uint64_t step;
	uint64_t n_slots;
};

/// Callbacks to the owner; each may be NULL.
struct home_callbacks {
	void (*on_batch)(void *ctx, struct home_batch *b);
	/// A slot lost its sample: stale, or lost in transit.
	void (*on_sample_dropped)(void *ctx, struct home_batch *b,
				  uint32_t slot);
	void (*on_version_raised)(void *ctx, uint64_t version);
	void (*on_acked)(void *ctx, struct home_batch *b, uint32_t slot);
	void (*on_done)(void *ctx, struct home_batch *b);
};

struct home {
	char team[BATCH_NAME_SIZE];
	char trainer[BATCH_NAME_SIZE];
	uint64_t session; ///< newest trainer session seen
	uint64_t version; ///< newest weight version of the trainer
	uint64_t serial; ///< of the newest sample
	uint64_t min_step; ///< earlier steps are refused: maybe forgotten
	struct home_batch *batches[HOME_MAX_BATCHES]; ///< open batches, owned
	size_t n_batches;
	struct home_done done[HOME_MAX_DONE];
	size_t n_done;
	bool flaw_keep_stale; ///< test flaw, see enum rollout_flaw
	const struct home_callbacks *callbacks;
	void *callbacks_ctx;
};

/// @return empty state, NULL when out of memory
struct home *home_new(const char *team, const char *trainer);

/// Free a state.
///
/// @param h  state or NULL
void home_free(struct home *h);

/// Hash of a batch's content, without the trainer's weight version.
uint64_t batch_hash(const struct batch *b);

/// Open batch of an id or NULL.
struct home_batch *home_find(struct home *h, const char *id);

/// Whether a batch can be accepted.
///
/// @param[out] known  true if the same batch was accepted before
/// @return ERR_OK, ERR_BATCH_CLASH, ERR_BATCH_OVER or ERR_BATCH_LIMIT
enum err home_check(const struct home *h, const struct batch *b, bool *known);

/// Build the operation that records a pull; doesn't change the state.
///
/// @param redeliver  include delivered samples that are not acknowledged
/// @param[out] op    OP_PULL; free it with op_clear()
/// @return ERR_OK, ERR_SESSION_OLD, ERR_BATCH_UNKNOWN, ERR_NOMEM
enum err home_plan_pull(struct home *h, const struct pull *p, bool redeliver,
			struct op *op);

/// Apply an operation. Takes ownership of what it holds.
///
/// @return ERR_OK, ERR_INVALID for one that does not fit the state, ERR_NOMEM
enum err home_apply(struct home *h, struct op *op);

/// Build the reply to a pull after its operation was applied.
///
/// @param op          operation of the pull
/// @param[out] reply  free it with pull_reply_clear()
/// @return ERR_OK, ERR_BATCH_UNKNOWN, ERR_NOMEM
enum err home_reply(struct home *h, const struct op *op,
		    struct pull_reply *reply);

/// Snapshot: operations that rebuild the state from an empty one.
///
/// @param fn  called with each operation; the state owns what it points to
void home_snapshot(const struct home *h,
		   void (*fn)(void *ctx, const struct op *op), void *ctx);
