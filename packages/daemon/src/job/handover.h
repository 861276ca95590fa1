// Hands the batches of a node that stops or is retired to their next home nodes.
//
// Load pattern: operators stop home nodes while steps run. A batch that waits until the
// leader detects the loss of its owner loses the text generated since the last write,
// and none of its items run meanwhile.
#pragma once

#include "core/core.h"

/// Register the message handler.
enum err job_handover_start(struct core *c);

/// Start handing over all batches, including those accepted later.
///
/// @param deadline_ms  clock_now_ms() time: batches left then go to the leader
void job_handover_begin(struct core *c, int64_t deadline_ms);

/// Advance the handover.
void job_handover_step(struct core *c);

/// Whether no batch is left, or the leader gets those that are.
bool job_handover_done(struct core *c);

/// Whether this node has stopped all batches and accepts no more.
bool job_handover_closed(const struct core *c);
