// Hands the batches of a node that stops or is retired to their next homes.
//
// Load pattern: operators stop homes while steps run. A batch that waits for the
// leader to miss its owner loses the texts since their last write, and its items are
// at no server meanwhile.
#pragma once

#include "core/core.h"

/// Register the message.
enum err job_handover_start(struct core *c);

/// Hand over all batches, also those that are yet to come.
///
/// @param until_ms  clock_now_ms() time: what is not handed over then is left to
///                  the leader
void job_handover_begin(struct core *c, int64_t deadline_ms);

/// Move the handover on.
void job_handover_step(struct core *c);

/// Whether nothing is left to be handed over, or this node gave it up.
bool job_handover_done(struct core *c);

/// Whether this node takes no batches any more.
bool job_handover_closed(const struct core *c);
