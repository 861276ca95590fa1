// Internal state of a batch's run: one entry for each item.
#pragma once

#include "job/job_run.h"

enum {
	JOB_PHASES = JOB_LISTED + 1,
};

struct run_item {
	enum job_phase phase;
	bool abandoned;
	int failures; ///< failed attempts
	int reward_failures;
	int reward_unanswered; ///< reward calls that got no usable answer
	int64_t not_before_ms; ///< of the next attempt or call
	int64_t finished_ms;
	int group; ///< index of the first item of its group
	int next, prev; ///< items of the same phase, -1 for none
	/// Event at which a stream ended with its connection, 0: none did.
	uint64_t unframed_event;
	struct job_text text;
};

/// Entries "of a group" are at the index of its first item.
struct job_run {
	const struct job_spec *spec;
	struct job_run_opts opts;
	struct run_item *items;
	int *order; ///< item indexes in the order of their start
	int *unfinished; ///< of a group: items before JOB_FINISHED
	int *waiting; ///< of a group: items in JOB_WAITING
	bool *group_abandoned; ///< of a group: an item was abandoned
	bool *carried; ///< of a group: an earlier batch had it
	int *groups_by_waiting; ///< groups by waiting items, without abandoned ones
	int groups; ///< of the batch
	int groups_done; ///< groups without unfinished items
	int carried_groups; ///< groups that were carried over
	int carried_done; ///< those of them without unfinished items
	size_t count[JOB_PHASES]; ///< items in each phase
	int first[JOB_PHASES]; ///< item that entered each phase first, or -1
	int last[JOB_PHASES];
	int *by_id; ///< item indexes, sorted by id
	size_t n_listed; ///< results of the list that were applied
};

/// Set the order in which items start, their groups, and the index by id.
///
/// @return ERR_OK or ERR_NOMEM
enum err run_order_init(struct job_run *r);

/// Find the items with an id; a batch may have the same id more than once.
///
/// @param[out] n  count
/// @return position of the first in by_id
size_t run_find_id(const struct job_run *r, const char *id, size_t *n);

/// Mark a group as unable to become complete: an item was abandoned.
void run_abandon_group(struct job_run *r, int group);

/// Largest number of waiting items with which a group is among the target_groups
/// groups that are nearest to completion.
int run_near_limit(const struct job_run *r);

/// Put all items into the first phase.
void run_phases_init(struct job_run *r);

/// Move an item to the end of a phase's list.
void run_set_phase(struct job_run *r, struct run_item *it,
		   enum job_phase phase);

/// Mark an item as finished; its result is to be written.
void run_set_finished(struct job_run *r, struct run_item *it, int64_t now,
		      bool abandoned);

/// Mark an item's text as complete: the item is finished, or needs a reward call.
void run_set_generated(struct job_run *r, struct run_item *it, int64_t now);
