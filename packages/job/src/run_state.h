// Inside of a batch's run: what is known of each item.
#pragma once

#include "job/job_run.h"

enum {
	JOB_PHASES = JOB_LISTED + 1,
};

struct run_item {
	enum job_phase phase;
	bool abandoned;
	int failures;
	int reward_failures;
	int reward_unanswered; ///< reward calls that got no usable answer
	int64_t not_before_ms;
	int64_t finished_ms;
	int group; ///< index of the first item of its group
	int next, prev; ///< items of the same step, -1 for none
	struct job_text text;
};

struct job_run {
	const struct job_spec *spec;
	struct job_run_opts opts;
	struct run_item *items;
	int *order; ///< items, those to be started first in front
	int *unfinished; ///< at a group's first item: items that are not over yet
	int *waiting; ///< at a group's first item: items that wait
	bool *group_abandoned; ///< at a group's first item: an item was given up
	bool *carried; ///< at a group's first item: it was in an earlier batch
	int *groups_by_waiting; ///< groups with so many items that wait, spoilt ones apart
	int groups; ///< of the batch
	int groups_done; ///< all of whose items are over
	size_t count[JOB_PHASES]; ///< items in each step
	int first
		[JOB_PHASES]; ///< item that came into each step first, -1 for none
	int last[JOB_PHASES];
	int *by_id; ///< items, sorted by id
	size_t n_listed; ///< results that were taken from the list
};

/// Put the items in the order of their start, and find their groups.
///
/// @return ERR_OK or ERR_NOMEM
enum err run_order_init(struct job_run *r);

/// Items of an id; a batch may name one more than once.
///
/// @param[out] n  count
/// @return place of the first in by_id
size_t run_find_id(const struct job_run *r, const char *id, size_t *n);

/// A group can't be complete any more.
void run_abandon_group(struct job_run *r, int group);

/// Most items that may wait in a group for it to be among those nearest to
/// completion, as many as the trainer waits for.
int run_near_limit(const struct job_run *r);

/// Put all items into the first step.
void run_phases_init(struct job_run *r);

/// Move an item to a step, as its last one.
void run_set_phase(struct job_run *r, struct run_item *it,
		   enum job_phase phase);

/// An item is over; its result is to be written.
void run_set_finished(struct job_run *r, struct run_item *it, int64_t now,
		      bool abandoned);

/// An item's text is whole: it is over, or its reward is to be asked for.
void run_set_generated(struct job_run *r, struct run_item *it, int64_t now);
