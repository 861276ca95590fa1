// Which node runs a batch next: whether a batch may be taken over in a round of the
// leader's, and which node is the home of a team.
//
// Load pattern: homes are lost or stopped while steps run. The engines hold nothing
// of those steps until the next owner sends their items again, and the whole step
// waits for that.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/// After the store was away, nodes that live need this long to renew their
	/// liveness keys.
	JOB_STORE_SETTLE_MS = 1500,
};

/// What is known of the owner of a batch that holds no liveness key now.
struct job_takeover {
	bool own; ///< an earlier process of this node
	bool watched; ///< its key went while this node watched the keys
	uint64_t owner_rev; ///< of the owner key
	uint64_t lost_rev; ///< with watched: of the store when the key was gone
	int64_t store_ms; ///< with it: how long the store had answered by then
	bool suspected; ///< it held none in the round before either
	bool settled; ///< the store has answered long enough in this round
};

/// Whether the batch may be taken in this round. A key that went during an outage
/// of the store, or before this node watched, has to be missing in two rounds: its
/// node may be alive and about to write it again. So may one that wrote the owner key
/// after its liveness key went: it has a new one that this node does not know yet.
bool job_takeover_now(const struct job_takeover *t);

/// A node that may be a home.
struct job_home {
	const char *node;
	bool usable; ///< it can be asked now
};

/// Home of a team: rendezvous hash, so that a lost home moves its own teams only.
///
/// @return index, -1 if no node is usable
int job_home_choose(const char *team, const struct job_home *homes, size_t n);
