// This node's liveness key in the store.
#pragma once

#include "daemon/platform_mod.h"

enum live_step {
	LIVE_IDLE, ///< no key needed: no batch runs here
	LIVE_GRANT,
	LIVE_READ, ///< read the key, for its revision
	LIVE_PUT, ///< write the key under the lease
	LIVE_RENEW,
	LIVE_REVOKE,
	LIVE_ENDED, ///< revoked
};

struct live {
	enum live_step step;
	bool home; ///< others depend on its batches: shorter TTL, always wanted
	int64_t last_wanted_ms; ///< last call of live_want()
	bool call_outstanding;
	enum live_step call_step; ///< step of the outstanding call
	uint64_t lease;
	uint64_t rev; ///< of the key
	bool retiring; ///< to be written to the key
	bool put_retiring; ///< `retiring` in the outstanding write
	bool stored_retiring; ///< `retiring` in the stored key
	int64_t call_start_ms;
	int64_t lease_until_ms; ///< the lease is valid at least until then
	int64_t next_call_ms;
};

/// Make the next call if it is due.
void live_step(struct core *c, struct live *l);

/// Request the key, for a batch that runs or is about to; home nodes always have it.
///
/// Load pattern: hundreds of nodes that run a batch only while home nodes are lost.
/// Renewing a key for each would be the most frequent call of the whole system.
void live_want(struct live *l, int64_t now);

/// Whether the key is certain to be in the store.
bool live_held(const struct live *l, int64_t now);

/// Revoke the lease, which deletes the key; permanent.
void live_revoke(struct live *l);
