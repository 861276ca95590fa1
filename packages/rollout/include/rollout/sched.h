// Which slots of which batches are generated next, and where again.
#pragma once

#include "base/htab.h"
#include "base/rng.h"
#include "rollout/home.h"

struct sched;

/// Orders the slots that wait.
enum sched_order {
	SCHED_LONGEST, ///< longest expected first
	SCHED_ARRIVAL, ///< as the batch lists them
	SCHED_RANDOM,
};

/// A generation to start.
struct sched_start {
	htab_handle run;
	const struct home_batch *batch;
	uint32_t slot;
	const struct sample *so_far; ///< tokens to resume after
	const char *avoid; ///< server that failed or is slow, "" for none
	uint64_t cost; ///< tokens expected from now on
	bool hedge; ///< another generation of the slot runs
};

/// What the scheduler has done for it.
struct sched_ops {
	void (*start)(void *ctx, const struct sched_start *start);
	void (*cancel)(void *ctx, htab_handle run);
	/// A slot has its sample.
	///
	/// @param sample  taken over when the result is true
	/// @return false for a sample that is too old: it is made anew
	bool (*finished)(void *ctx, struct home_batch *b, uint32_t slot,
			 struct sample *sample);
};

struct sched_opts {
	const struct sched_ops *ops;
	void *ctx;
	enum sched_order order;
	struct rng rng; ///< for SCHED_RANDOM
	size_t max_runs; ///< generations at once
	size_t max_queued; ///< of them, without a token yet
	int64_t stall_ms; ///< silence after which a generation is given up
	int64_t hedge_ms; ///< silence after which one is hedged
	int hedge_percent; ///< of a batch's slots, 0 for no hedging
};

/// How a generation ended.
enum sched_end {
	SCHED_WHOLE, ///< with the engine's end line
	SCHED_BROKEN, ///< without
	SCHED_REFUSED, ///< it never ran
};

/// @return scheduler, NULL when out of memory
struct sched *sched_new(const struct sched_opts *opts);

/// Free a scheduler; cancels nothing.
///
/// @param s  scheduler or NULL
void sched_free(struct sched *s);

/// Take a batch in; its empty slots are generated.
///
/// @param trainer   batches of one trainer share the trainer's part
/// @return ERR_OK or ERR_NOMEM
enum err sched_add(struct sched *s, struct home_batch *b, const void *trainer);

/// Forget a batch; its generations are cancelled.
void sched_del(struct sched *s, struct home_batch *b);

/// A slot needs a new sample.
void sched_need(struct sched *s, struct home_batch *b, uint32_t slot);

/// The trainer's version of a batch grew: what is too old starts anew.
void sched_version(struct sched *s, struct home_batch *b, uint64_t version);

/// Tokens of a generation came.
///
/// @return ERR_OK, ERR_STALE_HANDLE for a generation that is over, ERR_NOMEM
enum err sched_tokens(struct sched *s, htab_handle run, uint64_t version,
		      const uint32_t *tokens, size_t n, int64_t now_ms);

/// A generation ended; not for those that were cancelled.
///
/// @param finish          with SCHED_WHOLE
/// @param server          id of the engine, "" if none
/// @param retry_after_ms  with SCHED_REFUSED
void sched_ended(struct sched *s, htab_handle run, enum sched_end end,
		 enum sample_finish finish, const char *server,
		 int64_t retry_after_ms, int64_t now_ms);

/// Set the share of a batch's slots that may be hedged.
///
/// @param percent  0 for none
void sched_set_hedges(struct sched *s, int percent);

/// Start what may be started; hedge and give up what is slow.
void sched_tick(struct sched *s, int64_t now_ms);

/// Counts since the start.
struct sched_stats {
	uint64_t started;
	uint64_t hedged;
	uint64_t hedge_won;
	uint64_t resumed;
	uint64_t broken;
	uint64_t stalled;
	uint64_t stale; ///< samples made anew because they were too old
	uint64_t wasted_tokens; ///< of generations whose tokens were not used
};

const struct sched_stats *sched_stats(const struct sched *s);

/// Generations at once now.
size_t sched_running(const struct sched *s);
