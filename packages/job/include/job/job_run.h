// State of a batch on the node that runs it: which item to start next, what an
// attempt's outcome means, which results to write now. Pure: no I/O, no clock.
#pragma once

#include "base/err.h"
#include "job/job_defs.h"
#include "job/job_list.h"

struct job_run;

enum {
	JOB_REWARD_CALLS_MAX = 48, ///< reward calls of a batch in flight
	/// Percent of a server's slots that reward calls may occupy: other callers
	/// wait for the same servers.
	JOB_REWARD_SLOTS_PERCENT = 67,
	JOB_REWARD_TRIED_MAX =
		8, ///< latest servers of a call that a retry avoids
};

enum job_phase {
	JOB_WAITING, ///< to be sent
	JOB_SENT, ///< in flight at a server
	JOB_GENERATED, ///< text is complete, reward call not in flight
	JOB_REWARD_SENT, ///< reward call in flight
	JOB_FINISHED, ///< finished; result not written yet
	JOB_WRITING, ///< result is in a record that is being written to the store
	JOB_LISTED, ///< result has a position in the list
};

struct job_run_opts {
	int max_failures; ///< failed attempts after which an item is abandoned
	bool one_version; ///< a sample may have one weight version only
	int64_t due_ms; ///< clock_now_ms() time at which results are due, 0: now
	int64_t give_up_ms; ///< clock_now_ms() time from which items are abandoned
};

/// Text of an item as far as it was generated.
struct job_text {
	char *buf;
	size_t len; ///< bytes
	size_t cap; ///< bytes
	uint64_t last_event; ///< id of the last complete event, 0: none
	uint64_t versions[JOB_VERSIONS_MAX];
	int n_versions;
	bool complete; ///< the last event has arrived
	int64_t whole_ms; ///< clock_now_ms() time at which it became complete
	char *score; ///< seal of the reward's answer, NULL: none
};

/// How an attempt to generate an item ended.
enum job_attempt_outcome {
	JOB_ATTEMPT_COMPLETE, ///< the stream ended as complete
	JOB_ATTEMPT_INTERRUPTED, ///< interrupted; its text is kept unless one_version
	/// The stream ended with its connection, at the end of an event: complete once a
	/// second one ends there, till then as JOB_ATTEMPT_INTERRUPTED.
	JOB_ATTEMPT_UNFRAMED,
	/// The resumed stream ended without an event: whether the text had been whole
	/// is not known, so it starts over.
	JOB_ATTEMPT_EMPTY,
	JOB_ATTEMPT_FAILED, ///< the server failed it: counts against max_failures
	JOB_ATTEMPT_IMPOSSIBLE, ///< no attempt can succeed: the item is abandoned
	JOB_ATTEMPT_NOT_RUN, ///< refused without running
};

/// How a reward call ended.
enum job_reward_outcome {
	JOB_REWARD_SCORED, ///< answered with a seal
	JOB_REWARD_FAILED, ///< the server failed it: counts against max_failures
	JOB_REWARD_UNANSWERED, ///< no usable answer; may be retried
	JOB_REWARD_NOT_RUN, ///< refused without running
};

/// Create the run of a batch, with all items waiting.
///
/// @param spec  owned by the caller, outlives the run
/// @return run, NULL when out of memory
struct job_run *job_run_new(const struct job_spec *spec,
			    const struct job_run_opts *opts);
void job_run_free(struct job_run *r);

/// Apply new results of the store's list: items that have a position are over.
void job_run_apply_list(struct job_run *r, const struct job_list *list);

/// Next item to send. From give_up_ms on, waiting items are abandoned instead.
///
/// Load pattern: a batch larger than its servers' capacity, with heavy-tailed lengths.
/// Items with the longest hints start first, since the last one to start decides when
/// the batch is complete. Groups carried over from an earlier batch (job_recent_mark_carried())
/// start before all others.
///
/// Load pattern: a trainer continues once it has a share of the groups, and slots are
/// so few that samples wait. As many groups as it waits for, those with the fewest
/// waiting samples, go first; groups with an abandoned sample go last.
///
/// @return index of the item, -1 for none
int job_run_next_item(struct job_run *r, int64_t now);

/// Record that an item was sent.
///
/// @return ERR_OK, or ERR_INVALID without any change if it is not waiting
enum err job_run_item_sent(struct job_run *r, int item);

/// Next item whose reward call to send; give_up_ms as in job_run_next_item().
///
/// Load pattern: the texts of a step complete together, and a trainer can use complete
/// groups only. Groups with the fewest unfinished samples go first. A burst of all calls
/// would open a connection each and delay other callers: JOB_REWARD_CALLS_MAX limits it.
///
/// @return index of the item, -1 for none now
int job_run_next_reward(struct job_run *r, int64_t now);

/// Postpone a reward call that found no server, so that it doesn't block others.
void job_run_reward_postpone(struct job_run *r, int item, int64_t now);

/// Record that a reward call was sent.
///
/// @return ERR_OK, or ERR_INVALID without any change if the text is not complete
enum err job_run_reward_sent(struct job_run *r, int item);

/// Record that a reward call ended; ignored if none is in flight.
///
/// @param max_failures  failed calls after which the item is abandoned
/// @param seal          with JOB_REWARD_SCORED; copied
void job_run_reward_ended(struct job_run *r, int item, int64_t now,
			  enum job_reward_outcome outcome, int max_failures,
			  const char *seal);

/// Add a server to those that an item's reward calls have tried.
///
/// @param tried  servers of the item's calls, latest first
void job_reward_tried_add(uint32_t tried[JOB_REWARD_TRIED_MAX],
			  uint32_t server);

/// How many of the latest tried servers a retry avoids, with so many usable servers:
/// a slow one is avoided, but one is always left to ask.
int job_reward_avoid_count(int servers);

/// Reward calls of an item that got no usable answer.
int job_run_reward_unanswered(const struct job_run *r, int item);

/// Text generated so far for an item.
const struct job_text *job_run_text(const struct job_run *r, int item);

/// Bytes of the texts that are kept.
size_t job_run_text_bytes(const struct job_run *r);

/// Find an item by id.
///
/// @return index, -1 if the batch has none
int job_run_find(const struct job_run *r, const char *id);

/// Phase of an item.
enum job_phase job_run_phase(const struct job_run *r, int item);

/// Restore an item's text and score from an earlier run of this batch. Nothing changes
/// if the item is not waiting, has a longer text, or the batch does not allow the weights.
///
/// @return ERR_OK, ERR_INVALID if it was not restored, ERR_NOMEM
enum err job_run_restore(struct job_run *r, int item,
			 const struct job_text *text);

/// Append one complete event to an item's text.
///
/// @param version  weights that generated it, 0 if not known
/// @return ERR_OK, ERR_NOMEM; ERR_INVALID for one out of order or of weights that the
///         batch does not allow: the attempt must be ended as JOB_ATTEMPT_INTERRUPTED.
///         A text of more than JOB_VERSIONS_MAX versions starts over
enum err job_run_add_event(struct job_run *r, int item, uint64_t id,
			   uint64_t version, const char *data, size_t len);

/// Record that an attempt ended; ignored if none is in flight.
void job_run_attempt_ended(struct job_run *r, int item, int64_t now,
			   enum job_attempt_outcome outcome);

/// Requeue an item at once, to continue at another server.
///
/// @return ERR_OK, or ERR_INVALID if it was not in flight: another owner may have
///         listed its result
enum err job_run_requeue(struct job_run *r, int item);

/// Abandon the items that are not finished: the batch's route was removed.
void job_run_abandon(struct job_run *r);

/// Results to write now.
///
/// Load pattern: store calls are expensive, and a trainer continues once it has the
/// complete groups that it waits for, or at the due time. It pauses after each read that
/// returns results, so that a result written shortly before the last one it waits for
/// delays the whole step. Before that, results are written together at intervals; from
/// then on, each group as it becomes complete.
///
/// @param all        also write results that are not due yet
/// @param max_bytes  limit on the texts' bytes; one result is returned regardless
/// @param[out] out   array of as many entries as the batch has items
/// @return count, 0 when nothing is due; those items are JOB_WRITING now
size_t job_run_flush(struct job_run *r, int64_t now, bool all, size_t max_bytes,
		     struct job_result *out);

/// The record of the last job_run_flush() was not written: it is due again.
void job_run_write_failed(struct job_run *r);

/// Whether every item has a position in the list.
bool job_run_all_listed(const struct job_run *r);

/// Events that waiting and in-flight items are still expected to generate.
int64_t job_run_remaining_events(const struct job_run *r);

/// Number of items in a phase.
size_t job_run_count(const struct job_run *r, enum job_phase phase);
