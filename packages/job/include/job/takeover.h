// Which node runs a batch next: whether the leader may take it over now, and which node
// is the home of a team.
//
// Load pattern: home nodes are lost or stopped while steps run. The engines run nothing
// of those steps until the next owner sends their items again, and the whole step waits
// for that.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/// Time that live nodes need to renew their liveness keys after an outage
	/// of the store.
	JOB_STORE_SETTLE_MS = 1500,
};

/// What is known of the owner of a batch that holds no liveness key now.
struct job_takeover {
	bool own; ///< it is an earlier process of this node
	bool watched; ///< this node was watching when the key was removed
	uint64_t owner_rev; ///< store revision of the owner key
	uint64_t lost_rev; ///< with watched: store revision after its removal
	int64_t store_ms; ///< with watched: how long the store had answered then
	bool suspected; ///< it held no key in the previous round either
	bool settled; ///< the store had answered long enough when this round began
};

/// Whether the leader may take the batch over in this round. A key that was removed
/// during a store outage, or before this node watched, has to be missing in two rounds:
/// its node may be alive and about to write it again. So may one that wrote the owner
/// key after its liveness key was removed: it has a new one, not known here yet.
bool job_takeover_allowed(const struct job_takeover *t);

/// A candidate for the home node of a team.
struct job_home {
	const char *node;
	bool usable; ///< it can be asked now
};

/// Choose the home node of a team by rendezvous hashing, so that the loss of a home
/// moves only its own teams.
///
/// @return index, -1 if no node is usable
int job_home_choose(const char *team, const struct job_home *homes, size_t n);
