// Trials of barred requests: one sending of each number, at one node of all.
//
// The store grants them: a key that is created once is the trial, and its value says whether
// a server ended in it. So nodes and homes that restart, are cut off or missed the news add
// none. Its lease forgets it. One trial runs at a time, of all requests: if a server ended
// under two, it would be evidence against neither.
#pragma once

#include "core/core.h"
#include "suspect/suspect.h"

struct trials;

/// @return NULL when out of memory
struct trials *trials_new(void);

/// @param t  trials or NULL
void trials_free(struct trials *t);

/// Whether a request of this node asked for a trial, or has one it has not used.
bool trial_is_for(struct core *c, struct suspect_id id, htab_handle owner);

/// Use a trial, or ask the store for it.
///
/// @param e  what this node knows of the request
/// @param owner  handle of the request that is tried
/// @return whether the request may be sent now
bool trial_take(struct core *c, const struct suspect_entry *e,
		htab_handle owner);

/// Record that a server ended under a request, if it was a trial of this node: no other
/// node is granted one without learning of it.
///
/// @param last_trial  number of the last trial that any node may be granted
void trial_mark_ended(struct core *c, struct suspect_id id, int last_trial);

/// Give back a trial of this node that showed nothing, or is not needed any more.
///
/// @return whether there was one
bool trial_give_back(struct core *c, struct suspect_id id);
