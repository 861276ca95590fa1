// A network of conf_sync objects and a store in virtual time, with faults.
#pragma once

#include <stdbool.h>

#include "base/rng.h"
#include "conf/sync.h"

enum {
	NET_DOMAINS = 3,
	NET_NODES_PER_DOMAIN = 5, ///< more than watch
	NET_NODES = NET_DOMAINS * NET_NODES_PER_DOMAIN,
	NET_EVENTS_MAX = 8192,
	NET_EDITS_MAX = 512,
	NET_GRACE_MS = 3000, ///< key.cut_off_grace as built in
};

/// Ways to break the mechanism: the checks must notice each of them.
enum net_mutant {
	NET_MUTANT_NONE,
	NET_MUTANT_NO_PEERS, ///< nodes rely on the store alone
	NET_MUTANT_REPLY_IS_FRESH, ///< a peer's answer counts as fresh contact
	NET_MUTANT_LAST_DOC_WINS, ///< the document that came last is taken
	NET_MUTANT_IGNORE_CUT_OFF, ///< silence of a failure domain is taken for an outage
};

struct net_opts {
	uint64_t seed;
	enum net_mutant mutant;
	bool partitions; ///< cut failure domains off
	bool outages; ///< stop the store
	bool restarts; ///< replace nodes
	int64_t run_ms;
	int64_t outage_ms; ///< one outage of this length instead of random ones
};

struct net_result {
	int edits; ///< accepted
	int reverted; ///< a node's revision went down
	int late_nodes; ///< not in force within 3 s where connected
	int stale_served; ///< keyed work let in too long after an edit
	int refused_ticks; ///< ticks on which a node refused keyed work
	int unconverged; ///< nodes without the last revision at the end
	int64_t max_stale_ms; ///< longest use of an outdated document
	int64_t lag_histogram
		[16]; ///< edits by quarter seconds until everywhere
};

/// Run one seed.
void net_run(const struct net_opts *opts, struct net_result *res);
