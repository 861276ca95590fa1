// Types shared by the scheduler's source files.
#pragma once

#include "rollout/sched.h"

enum {
	SCHED_MAX_BATCHES = 256,
	SCHED_MAX_RUNS = 32768,
	SCHED_SERVER_SIZE = SAMPLE_SERVER_SIZE,
};

enum sched_state {
	SCHED_WAITING, ///< unstarted or to retry
	SCHED_RUNNING, ///< one or two generations
	SCHED_DONE, ///< has its sample
};

struct sched_slot {
	enum sched_state state;
	int runs; ///< generations in flight
	int64_t not_before_ms;
	struct sample partial; ///< tokens to resume after
	char avoid[SCHED_SERVER_SIZE];
};

/// Sample lengths seen in a group; its samples share a prompt.
struct sched_length_stats {
	uint64_t tokens;
	uint32_t n; ///< samples
};

struct sched_batch {
	struct home_batch *b;
	const void *trainer;
	struct sched_slot *slots;
	struct sched_length_stats *lengths; ///< by group
	uint32_t *group; ///< by slot: index of its group
	struct slots unstarted; ///< the next one to start is last
	struct slots retries; ///< slots to start again
	size_t waiting;
	size_t running; ///< slots
	size_t n_done; ///< slots
	size_t sorted_at_done; ///< n_done at the last sort
	size_t hedges; ///< in flight
	double rate; ///< tokens per millisecond, moving average
};

struct sched_run {
	struct sched_batch *sb;
	uint32_t slot;
	struct sample sample; ///< resumed tokens and new ones
	size_t n_resumed; ///< tokens
	int64_t begin_ms;
	int64_t first_token_ms; ///< 0 for none
	int64_t last_token_ms;
	bool hedge;
	char avoid[SCHED_SERVER_SIZE];
};

struct sched_trainer {
	const void *key;
	double served_tokens; ///< runs in flight count as expected
	size_t batches;
};

struct sched {
	struct sched_opts opts;
	struct sched_batch *batches[SCHED_MAX_BATCHES];
	size_t n_batches;
	struct sched_trainer trainers[SCHED_MAX_BATCHES];
	size_t n_trainers;
	struct htab *runs;
	size_t queued; ///< runs without a first token
	int64_t hold_until_ms; ///< no run starts before this time
	struct sched_stats stats;
};

/// Expected tokens of a slot's sample.
uint64_t sched_expected_tokens(const struct sched_batch *sb, uint32_t slot);

/// Sort the unstarted slots again if enough slots completed.
void sched_sort(struct sched *s, struct sched_batch *sb);

/// Record the length of a completed sample.
void sched_record_length(struct sched_batch *sb, uint32_t slot, size_t tokens);

struct sched_trainer *sched_trainer_of(struct sched *s, const void *key);

struct sched_batch *sched_find(const struct sched *s,
			       const struct home_batch *b);

/// Start a generation of a slot.
///
/// @return false if the run table is full or memory is short
bool sched_start(struct sched *s, struct sched_batch *sb, uint32_t slot,
		 const struct sample *resume_from, bool hedge, int64_t now_ms);

/// Delete a run and settle its counters.
void sched_run_del(struct sched *s, htab_handle h);

/// Cancel all generations of a slot.
void sched_cancel_slot(struct sched *s, struct sched_batch *sb, uint32_t slot);

/// Put a slot back into the queue.
void sched_requeue(struct sched *s, struct sched_batch *sb, uint32_t slot,
		   int64_t not_before_ms);

/// Hedge slow runs and cancel stalled ones.
void sched_check_runs(struct sched *s, int64_t now_ms);
