// Simulated conf_sync nodes and key-value store in virtual time, with faults.
#pragma once

#include <stdbool.h>

#include "base/rng.h"
#include "conf/sync.h"

enum {
	NET_DOMAINS = 3,
	NET_NODES_PER_DOMAIN = 5, ///< more than CONF_SYNC_WATCHERS
	NET_NODES = NET_DOMAINS * NET_NODES_PER_DOMAIN,
	NET_EVENTS_MAX = 8192,
	NET_EDITS_MAX = 512,
	NET_GRACE_MS = 3000, ///< default of key.cut_off_grace
};

/// Deliberate bugs; each must fail one of the checks.
enum net_mutant {
	NET_MUTANT_NONE,
	NET_MUTANT_NO_PEERS, ///< all messages between nodes are dropped
	NET_MUTANT_REPLY_IS_FRESH, ///< a peer's reply counts as age 0
	NET_MUTANT_LAST_DOC_WINS, ///< the last received document is used
	NET_MUTANT_IGNORE_CUT_OFF, ///< CONF_CUT_OFF counts as CONF_KV_DOWN
};

struct net_opts {
	uint64_t seed;
	enum net_mutant mutant;
	bool partitions; ///< partition failure domains
	bool outages; ///< stop the store
	bool restarts; ///< replace nodes
	int64_t run_ms;
	int64_t outage_ms; ///< one store outage of this length, 0 for random
};

struct net_result {
	int edits; ///< accepted edits
	int reverted; ///< times a node's revision decreased
	int late_nodes; ///< nodes with contact without an edit after 3 s
	int stale_served; ///< ticks that admit keyed work too long after an edit
	int refused_ticks; ///< ticks on which a node refused keyed work
	int unconverged; ///< nodes without the last revision at the end
	int64_t max_stale_ms; ///< longest use of an outdated document
	int64_t lag_ms_hist[16]; ///< edits per 250 ms until on all nodes
};

/// Run one seed; adds to res.
void net_run(const struct net_opts *opts, struct net_result *res);
