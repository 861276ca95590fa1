// Trials of barred requests: one sending of each number, at one node of all.
//
// The store grants them: a key that is created once is the trial, so that nodes and homes
// which restart or are cut off do not add further ones. Its lease forgets it.
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
/// @param number  of the trial, from 1
/// @param owner  handle of the request that is tried
/// @return whether the request may be sent now
bool trial_take(struct core *c, struct suspect_id id, int number,
		htab_handle owner);

/// Give back a trial of this node that showed nothing, or is not needed any more.
///
/// @return whether there was one
bool trial_give_back(struct core *c, struct suspect_id id);
