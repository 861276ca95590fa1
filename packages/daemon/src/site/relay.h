// Passes on what relays know of the store's keys, so that a failure domain costs
// the store the calls of its relays alone.
//
// A follower asks its relay what changed after the revisions that it has; the
// relay answers at once if something did, else after a short wait, and says how
// old its knowledge is. The follower counts that age from when it asked.
#pragma once

#include "core/core.h"
#include "relay/follow.h"
#include "site/feed.h"

enum {
	RELAY_FEEDS = 3, ///< prefixes that are passed on
	RELAY_ASKS = 512, ///< followers of one relay
};

/// A follower and its last question.
struct relay_ask {
	char node[FOLLOW_NODE];
	bool open; ///< to be answered
	bool vain; ///< what the relay knew was too old when it was asked
	int64_t asked_ms;
	int64_t not_before_ms; ///< first answer
	uint64_t seq;
	uint64_t revs[RELAY_FEEDS]; ///< that it has, 0 for nothing
	int64_t until_ms; ///< answered then at the latest
};

struct relay {
	struct feed *feeds[RELAY_FEEDS];
	struct follow follow;
	bool serves; ///< this node is a relay
	struct relay_ask asks[RELAY_ASKS];
	int n_asks;
	uint64_t asked_revs[RELAY_FEEDS]; ///< of the open question
	int64_t good_ms; ///< last usable answer
	int64_t hold_ms; ///< longest wait of a question without news
	int64_t store_back_ms; ///< since when the store answers the relay that is
		///< followed, as of its last answer; 0 while it does not
};

/// Register the messages. The feeds outlive the relay.
///
/// @param hold_ms  longest wait of a question without news
enum err relay_init(struct core *c, struct relay *r, struct feed *const *feeds,
		    int64_t hold_ms);

/// Ask, and answer questions that are due.
void relay_step(struct core *c, struct relay *r);

/// Whether a relay keeps this node up to date: no own calls are needed.
bool relay_following(const struct core *c, const struct relay *r);

/// Since when the store answers the relay that this node follows.
///
/// @return clock_now_ms() time, 0 while it does not, or without a relay
int64_t relay_store_back(const struct core *c, const struct relay *r);

/// Nodes came or went.
void relay_node(struct core *c, struct relay *r, const char *node,
		const char *addr, bool near);
void relay_node_gone(struct core *c, struct relay *r, const char *node);
