// Who leads, and which nodes are alive, by leases in the platform's store.
//
// One node at a time leads: it gives orders, reports usage and takes over what
// lost nodes left. Homes, and any node that runs a batch, hold a liveness key that
// names their process's run.
#pragma once

#include "core/core.h"

/// Whether this node leads now.
///
/// @param[out] epoch  fencing number, may be NULL
bool lead_mod_held(struct core *c, uint64_t *epoch);

/// Whether this node leads and may give orders and reports: not at once after it
/// took over.
///
/// @param[out] epoch  fencing number, may be NULL
bool lead_mod_may_act(struct core *c, uint64_t *epoch);

/// End of this node's lead unless it is renewed: what a leader sends may not leave
/// later, however long the process was paused after it decided.
///
/// @return clock_now_ms() time, 1 while it does not lead
int64_t lead_mod_until(struct core *c);

/// Whether this node's liveness key surely stands in the store.
bool lead_mod_alive(struct core *c);

/// Have a liveness key soon, and for as long as this is called now and then.
void lead_mod_want_alive(struct core *c);

/// Store lease of this node's liveness key, 0 while it has none.
uint64_t lead_mod_store_lease(struct core *c);

/// This node stops or is retired: its liveness key says that it is no home any more,
/// and it gives the lead up. The key stands until lead_mod_leave().
void lead_mod_retire(struct core *c);

/// Give the liveness key up before its time: others take over this node's work.
void lead_mod_leave(struct core *c);
