// Distributes the store's keys, so that only the relays of a failure domain call the
// store.
//
// A follower asks its relay for changes after its revisions (long polling). The relay
// answers at once if there are any, else after a short hold, and adds the age of its
// data. The follower counts that age from when it sent the request.
#pragma once

#include "core/core.h"
#include "relay/follow.h"
#include "site/feed.h"

enum {
	RELAY_FEEDS = 3, ///< distributed prefixes
	RELAY_FOLLOWERS_MAX = 512, ///< followers of one relay
};

/// A follower and its last request.
struct relay_follower {
	struct core_peer_run from;
	bool pending; ///< not answered yet
	bool was_stale; ///< the relay's data was too old at arrived_ms
	int64_t arrived_ms;
	int64_t not_before_ms; ///< of the first response
	uint64_t seq;
	uint64_t revs[RELAY_FEEDS]; ///< known to it, 0 for none
	int64_t deadline_ms; ///< latest time of the response
};

struct relay {
	struct feed *feeds[RELAY_FEEDS];
	struct follow follow;
	bool is_relay; ///< whether this node is one
	struct relay_follower followers[RELAY_FOLLOWERS_MAX];
	int n_followers;
	uint64_t requested_revs[RELAY_FEEDS]; ///< in the outstanding request
	int64_t last_usable_ms; ///< of the last usable response
	int64_t hold_ms; ///< maximum hold of a request without changes
	/// Since when the store answers the followed relay, as of its last response;
	/// 0 while it does not.
	int64_t store_up_since_ms;
};

/// Register the message handlers. The feeds must outlive the relay.
///
/// @param hold_ms  maximum hold of a request without changes
enum err relay_init(struct core *c, struct relay *r, struct feed *const *feeds,
		    int64_t hold_ms);

/// Send requests, and responses that are due.
void relay_step(struct core *c, struct relay *r);

/// Whether a relay keeps this node up to date, without own calls.
bool relay_following(const struct core *c, const struct relay *r);

/// Since when the store answers the relay that this node follows.
///
/// @return clock_now_ms() time, 0 while it does not, or without a relay
int64_t relay_store_up_since(const struct core *c, const struct relay *r);

/// A relay was added or changed.
void relay_node_changed(struct core *c, struct relay *r, const char *node,
			const char *addr, bool same_domain);

/// A node was removed.
void relay_node_removed(struct core *c, struct relay *r, const char *node);
