// This node's liveness key.
#pragma once

#include "daemon/platform_mod.h"

enum live_step {
	LIVE_GRANT, ///< grant a store lease
	LIVE_READ, ///< read the key, for its revision
	LIVE_PUT, ///< write it under the lease
	LIVE_RENEW, ///< renew the lease
	LIVE_LEAVE, ///< end the lease
	LIVE_LEFT,
};

struct live {
	enum live_step step;
	bool home; ///< others wait for this node's batches: noticed sooner
	bool busy; ///< a call is outstanding
	uint64_t lease;
	uint64_t rev; ///< of the key
	int64_t called_ms; ///< start of the call
	int64_t until_ms; ///< the lease stands at least until then
	int64_t next_ms; ///< earliest next call
};

/// Make the next call if it is due.
void live_step(struct core *c, struct live *l);

/// Whether the key surely stands.
bool live_held(const struct live *l, int64_t now);

/// End the lease.
void live_leave(struct live *l);
