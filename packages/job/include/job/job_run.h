// Decisions of the node that runs a batch: which item to start next, what an
// item's outcome means, which results to write now. Pure: no I/O, no clock.
#pragma once

#include "base/err.h"
#include "job/job_defs.h"
#include "job/job_list.h"

struct job_run;

enum {
	JOB_RATING_MAX = 48, ///< reward calls of a batch at once
	/// Percent of a server's slots that reward calls may take up: callers who
	/// wait come to the same servers.
	JOB_RATING_SHARE = 67,
	JOB_RATING_TRIED = 8, ///< servers that a call does not go to again soon
};

enum job_phase {
	JOB_WAITING, ///< to be sent
	JOB_SENT, ///< at a server
	JOB_GENERATED, ///< its text is whole; its reward is to be asked for
	JOB_REWARD_SENT, ///< its reward call is at a server
	JOB_READY, ///< over; its result is not written yet
	JOB_WRITING, ///< its result is in a record on its way to the store
	JOB_LISTED, ///< its result has a position
};

struct job_run_opts {
	int max_failures; ///< failed runs after which an item is given up
	bool one_version; ///< a sample may have one weight version only
	int64_t due_ms; ///< clock_now_ms() time at which results are due, 0: now
	int64_t give_up_ms; ///< clock_now_ms() time from which items are given up
};

/// Text of an item as far as it was generated.
struct job_text {
	char *buf;
	size_t len; ///< bytes
	size_t cap; ///< bytes
	uint64_t last_event; ///< id of the last whole event, 0 for none
	uint64_t versions[JOB_VERSIONS_MAX];
	int n_versions;
	bool complete; ///< the last event is in
	int64_t whole_ms; ///< when it came
	char *score; ///< seal of the reward's answer, NULL for none
};

/// How a run of an item ended.
enum job_outcome {
	JOB_RUN_WHOLE, ///< the stream ended as complete
	JOB_RUN_BROKEN, ///< it broke off; what came is kept
	JOB_RUN_FAILED, ///< the server failed it: counts against max_failures
	JOB_RUN_IMPOSSIBLE, ///< it can never be done
	JOB_RUN_NOT_RUN, ///< refused without running
};

/// How a reward call ended.
enum job_rating {
	JOB_RATED, ///< answered with a seal
	JOB_RATING_FAILED, ///< the server failed it: counts toward the most failures
	JOB_RATING_BROKEN, ///< no usable answer; it may be repeated
	JOB_RATING_NOT_RUN, ///< refused without running
};

/// Begin to run a batch.
///
/// @param spec  owned by the caller, outlives the run
/// @return run, NULL when out of memory
struct job_run *job_run_new(const struct job_spec *spec,
			    const struct job_run_opts *opts);
void job_run_free(struct job_run *r);

/// Take over what the store holds: items that have a position are over.
void job_run_listed(struct job_run *r, const struct job_list *list);

/// Next item to send.
///
/// Load pattern: a batch larger than its servers with heavy-tailed lengths.
/// The longest by the caller's hint go first, since the last one to start
/// decides when the batch is whole.
///
/// Groups that were carried over from an earlier batch (seen.h) come before all
/// others.
///
/// Load pattern: a trainer goes on once it has a share of the groups, and slots are
/// so few that samples wait. Samples of groups that have more samples waiting than
/// as many groups as it waits for come last, and so do those of groups that lost a
/// sample for good.
///
/// @return index of the item, -1 for none
int job_run_next(struct job_run *r, int64_t now);

/// An item was sent.
///
/// @return ERR_OK, or ERR_INVALID if it is not waiting; nothing changes then
enum err job_run_sent(struct job_run *r, int item);

/// Next item whose reward to ask for.
///
/// Load pattern: the texts of a step end together, and a trainer can use whole
/// groups only. Groups that lack the fewest other samples go first. A burst of all
/// would open a connection each and meet callers who wait: only some go at once.
///
/// @return index of the item, -1 for none now
int job_run_next_reward(struct job_run *r, int64_t now);

/// No server was found for a reward call: the others are not to wait for it.
void job_run_reward_later(struct job_run *r, int item, int64_t now);

/// A reward call was sent.
///
/// @return ERR_OK, or ERR_INVALID if the item's text is not whole; nothing changes
///         then
enum err job_run_rating(struct job_run *r, int item);

/// A reward call ended.
///
/// @param max_failures  failed calls after which the item is given up
/// @param seal          with JOB_RATED; copied
void job_run_rated(struct job_run *r, int item, int64_t now,
		   enum job_rating outcome, int max_failures, const char *seal);

/// Note the server of a reward call.
///
/// @param tried  servers of the item's calls, latest first
void job_rating_tried(uint32_t tried[JOB_RATING_TRIED], uint32_t server);

/// How many of the servers that were tried last a call does not go to: a slow one is
/// left, and one of few is asked again.
int job_rating_avoids(int servers);

/// Reward calls of an item that got no usable answer.
int job_run_unanswered(const struct job_run *r, int item);

/// Text held of an item.
const struct job_text *job_run_text(const struct job_run *r, int item);

/// Item of an id.
///
/// @return index, -1 if the batch has none
int job_run_find(const struct job_run *r, const char *id);

/// Step of an item.
enum job_phase job_run_step(const struct job_run *r, int item);

/// Take a text that an earlier run of this batch held of an item, and its score
/// if it had one. Nothing changes if the item is not waiting, has a longer text, or
/// the batch does not allow the weights.
///
/// @return ERR_OK, ERR_INVALID if it was not taken, ERR_NOMEM
enum err job_run_restore(struct job_run *r, int item,
			 const struct job_text *text);

/// One whole event came.
///
/// @param version  weights that made it, 0 if not known
/// @return ERR_OK; ERR_INVALID for one out of order or made by weights that the
///         batch does not allow: the run must be ended as JOB_RUN_BROKEN
enum err job_run_event(struct job_run *r, int item, uint64_t id,
		       uint64_t version, const char *data, size_t len);

/// An item's run ended.
void job_run_ended(struct job_run *r, int item, int64_t now,
		   enum job_outcome outcome);

/// An item's run was ended to go on elsewhere at once: it is to be sent.
///
/// @return ERR_OK, or ERR_INVALID if it was at no server: its result may have been
///         listed by another owner meanwhile
enum err job_run_moved(struct job_run *r, int item);

/// The batch's route is gone: give up what is not over yet.
void job_run_give_up(struct job_run *r);

/// Results to write now.
///
/// Load pattern: a call to the store costs, and a trainer goes on once it has as
/// many whole groups as it waits for, or at its due time. Before that, results are
/// written together now and then; from there on each group as it becomes whole.
///
/// @param max_bytes  of texts; one result goes in however long it is
/// @param[out] out   array of as many entries as the batch has items
/// @return count, 0 when nothing is due; those are JOB_WRITING now
size_t job_run_flush(struct job_run *r, int64_t now, bool all, size_t max_bytes,
		     struct job_result *out);

/// The record of the last job_run_flush() was not written: it is due again.
void job_run_unwritten(struct job_run *r);

/// Whether every item has a position.
bool job_run_over(const struct job_run *r);

/// Events that items which wait or are at servers are still expected to make.
int64_t job_run_left(const struct job_run *r);

/// Items in a step.
size_t job_run_count(const struct job_run *r, enum job_phase phase);
