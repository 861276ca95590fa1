// This node's liveness key in the store.
#pragma once

#include "daemon/platform_mod.h"

enum live_step {
	LIVE_IDLE, ///< no key needed: no batch runs here
	LIVE_GRANT, ///< grant a store lease
	LIVE_READ, ///< read the key, for its revision
	LIVE_PUT, ///< write the key under the lease
	LIVE_RENEW, ///< renew the lease
	LIVE_REVOKE, ///< revoke the lease
	LIVE_ENDED, ///< revoked, no further calls
};

struct live {
	enum live_step step;
	bool home; ///< others depend on its batches: shorter TTL, always wanted
	int64_t last_wanted_ms; ///< last call of live_want()
	bool call_outstanding; ///< a call is outstanding
	enum live_step call_step; ///< step of the outstanding call
	uint64_t lease;
	uint64_t rev; ///< of the key
	bool retiring; ///< the key should say that this node is retiring
	bool put_retiring; ///< value of `retiring` in the outstanding write
	bool stored_retiring; ///< value of `retiring` in the stored key
	int64_t call_start_ms; ///< of the outstanding call
	int64_t until_ms; ///< the lease is valid at least until then
	int64_t next_call_ms; ///< earliest next call
};

/// Make the next call if it is due.
void live_step(struct core *c, struct live *l);

/// Request the key: this node runs a batch or is about to. Home nodes always have
/// one.
///
/// Load pattern: hundreds of nodes that run a batch only while home nodes are lost.
/// Renewing a key for each would be the most frequent call of the whole system.
void live_want(struct live *l, int64_t now);

/// Whether the key is certain to be in the store.
bool live_held(const struct live *l, int64_t now);

/// Revoke the lease, which deletes the key; permanent.
void live_revoke(struct live *l);
