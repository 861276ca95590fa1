// This node's liveness key.
#pragma once

#include "daemon/platform_mod.h"

enum live_step {
	LIVE_IDLE, ///< nobody waits for this node: it needs no key
	LIVE_GRANT, ///< grant a store lease
	LIVE_READ, ///< read the key, for its revision
	LIVE_PUT, ///< write it under the lease
	LIVE_RENEW, ///< renew the lease
	LIVE_REVOKE, ///< end the lease
	LIVE_ENDED,
};

struct live {
	enum live_step step;
	bool home; ///< others wait for this node's batches: noticed sooner
	int64_t last_wanted_ms; ///< the key was wanted last
	bool busy; ///< a call is outstanding
	enum live_step call_step; ///< its step
	uint64_t lease;
	uint64_t rev; ///< of the key
	bool retiring; ///< the key is to say that this node is no home any more
	bool put_retiring; ///< the call on its way writes that
	bool stored_retiring; ///< it does
	int64_t call_start_ms; ///< start of the call
	int64_t until_ms; ///< the lease stands at least until then
	int64_t next_ms; ///< earliest next call
};

/// Make the next call if it is due.
void live_step(struct core *c, struct live *l);

/// The key is wanted: this node runs a batch, or is about to. A home's key always
/// is.
///
/// Load pattern: hundreds of nodes that run a batch only while homes are lost. A key
/// of each would be the most frequent call of the whole system.
void live_want(struct live *l, int64_t now);

/// Whether the key surely stands.
bool live_held(const struct live *l, int64_t now);

/// End the lease.
void live_revoke(struct live *l);
