// Leader election and node liveness, by leases in the platform's store.
//
// One node at a time is the leader: it sends orders, reports usage and takes over
// lost nodes' batches. Home nodes (candidates for leadership), and any node that
// runs a batch, hold a liveness key with the id of their process's run.
#pragma once

#include "core/core.h"

/// Whether this node is the leader now.
///
/// @param[out] epoch  fencing number, may be NULL
bool lead_mod_is_leader(struct core *c, uint64_t *epoch);

/// Whether this node is the leader and may send orders and reports; not right after
/// a takeover, see lease_may_act().
///
/// @param[out] epoch  fencing number, may be NULL
bool lead_mod_may_act(struct core *c, uint64_t *epoch);

/// End of this node's leadership unless renewed. Nothing that the leader decided
/// may be sent later, even if the process was paused after the decision.
///
/// @return clock_now_ms() time, 1 while it is not the leader
int64_t lead_mod_leadership_end_ms(struct core *c);

/// Whether this node's liveness key is certain to be in the store.
bool lead_mod_live_key_held(struct core *c);

/// Request a liveness key: it is written soon and kept while this is called at
/// least every few seconds.
void lead_mod_want_live_key(struct core *c);

/// Store lease of this node's liveness key, 0 while it has none.
uint64_t lead_mod_store_lease(struct core *c);

/// This node stops or is retired: mark its liveness key as no longer a home node's
/// and give up leadership. The key stays until lead_mod_revoke_live_key().
void lead_mod_retire(struct core *c);

/// Revoke the liveness key before it expires: other nodes take over the work.
void lead_mod_revoke_live_key(struct core *c);
