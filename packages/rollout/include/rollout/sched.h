// Scheduler of generations: picks the next slot to start, retries failed
// generations and hedges stragglers.
#pragma once

#include "base/htab.h"
#include "base/rng.h"
#include "rollout/home.h"

struct sched;

/// Order of a batch's waiting slots.
enum sched_order {
	SCHED_LONGEST, ///< longest expected first
	SCHED_ARRIVAL, ///< as the batch lists them
	SCHED_RANDOM,
};

/// Parameters of a generation to start.
struct sched_start {
	htab_handle run;
	const struct home_batch *batch;
	uint32_t slot;
	const struct sample *resume_from; ///< tokens to resume after
	const char *avoid; ///< server that failed or is slow, "" for none
	uint64_t cost; ///< tokens still expected
	bool hedge; ///< another one of the slot runs
};

/// Callbacks for the decisions.
struct sched_ops {
	void (*start)(void *ctx, const struct sched_start *start);
	void (*cancel)(void *ctx, htab_handle run);
	/// A generation of a slot completed.
	///
	/// @param sample  ownership is taken if the result is true
	/// @return false for a stale sample: the slot is generated again
	bool (*finished)(void *ctx, struct home_batch *b, uint32_t slot,
			 struct sample *sample);
};

struct sched_opts {
	const struct sched_ops *ops;
	void *ctx;
	enum sched_order order;
	struct rng rng; ///< for SCHED_RANDOM
	size_t max_runs; ///< limit of generations in flight
	size_t max_queued; ///< limit of those without a first token
	int64_t stall_ms; ///< silence after the first token: cancelled
	int64_t hedge_ms; ///< silence since start or last token: hedged
	int hedge_percent; ///< of a batch's slots; 0 disables hedging
};

/// How a generation ended.
enum sched_end {
	SCHED_COMPLETED, ///< with the engine's end line
	SCHED_FAILED, ///< without an end line
	SCHED_REFUSED, ///< rejected before it ran
};

/// @return scheduler, NULL when out of memory
struct sched *sched_new(const struct sched_opts *opts);

/// Free a scheduler; cancels nothing.
///
/// @param s  scheduler or NULL
void sched_free(struct sched *s);

/// Add a batch; its empty slots are generated.
///
/// @param trainer  key; batches of one key share its fair share
/// @return ERR_OK, ERR_FULL or ERR_NOMEM
enum err sched_add(struct sched *s, struct home_batch *b, const void *trainer);

/// Remove a batch and cancel its generations.
void sched_del(struct sched *s, struct home_batch *b);

/// A slot lost its sample and must be generated again.
void sched_add_dropped(struct sched *s, struct home_batch *b, uint32_t slot);

/// The trainer's weight version increased: stale generations start over.
void sched_raise_version(struct sched *s, struct home_batch *b,
			 uint64_t version);

/// A generation produced tokens.
///
/// @return ERR_OK, ERR_STALE_HANDLE for a generation that ended, ERR_NOMEM
enum err sched_tokens(struct sched *s, htab_handle run, uint64_t version,
		      const uint32_t *tokens, size_t n, int64_t now_ms);

/// A generation ended; not for cancelled ones.
///
/// @param finish          with SCHED_COMPLETED
/// @param server          id of the engine, "" if none
/// @param retry_after_ms  with SCHED_REFUSED
void sched_ended(struct sched *s, htab_handle run, enum sched_end end,
		 enum sample_finish finish, const char *server,
		 int64_t retry_after_ms, int64_t now_ms);

/// Set the share of a batch's slots that may be hedged.
///
/// @param percent  0 disables hedging
void sched_set_hedge_percent(struct sched *s, int percent);

/// Start waiting slots within the limits; hedge or cancel slow generations.
void sched_tick(struct sched *s, int64_t now_ms);

/// Counters since the start.
struct sched_stats {
	uint64_t started;
	uint64_t hedged;
	uint64_t hedge_won;
	uint64_t resumed;
	uint64_t broken;
	uint64_t stalled;
	uint64_t stale; ///< stale samples generated again
	uint64_t wasted_tokens; ///< generated tokens that were discarded
};

const struct sched_stats *sched_stats(const struct sched *s);

/// Generations in flight.
size_t sched_running(const struct sched *s);
