// Inside of the site module.
#pragma once

#include "daemon/site_mod.h"
#include "site/fresh.h"
#include "site/feed.h"
#include "site/relay.h"
#include "wire/wire.h"

enum {
	SITE_WEIGHTS = 64, ///< models whose versions are followed
	SITE_HOMES = 64, ///< nodes that may be homes of batches, or neighbours
	SITE_LOSSES = 64, ///< liveness keys whose going is remembered
};

/// A liveness key that went while this node watched.
struct site_gone {
	char node[SITE_NAME_SIZE];
	char run[SITE_NAME_SIZE];
	struct site_loss loss;
};

struct site {
	const struct publish_wire_ops *wire;
	struct site_conf *conf;
	struct site_servers *servers;
	struct publish_weights weights[SITE_WEIGHTS];
	int n_weights;
	struct feed operators;
	struct feed entries;
	struct feed nodes;
	uint64_t nodes_gen; ///< changes with the nodes
	struct site_node homes[SITE_HOMES];
	size_t n_homes;
	struct site_node neighbours[SITE_HOMES];
	size_t n_neighbours;
	struct site_gone gone[SITE_LOSSES]; ///< a ring, by n_gone
	uint64_t n_gone; ///< since the start
	struct relay relay;
	int64_t start_ms; ///< of this module
	struct site_freshness conf_fresh; ///< of the operators' keys
	struct site_freshness keys_fresh; ///< of the callers' keys among them
	struct site_freshness servers_fresh; ///< of the servers' entries
	bool stale_logged;
	int64_t back_ms; ///< since when the store answers, as last seen
	int64_t reached_ms; ///< since when directly, as last seen
	int64_t leave_to_relay_ms; ///< until then a relay is to tell what is new
	bool retire; ///< this VM is to be emptied, and it was not answered yet
	bool retiring; ///< this process empties the VM
	int64_t retire_ms; ///< batches are to be handed over until then, 0: no order
	bool retire_busy;
	int64_t retire_next_ms;
};

/// Make the calls of the feeds that are due.
void site_feeds_step(struct core *c, struct site *s);

struct site *site_of(const struct core *c);

/// Keeps up with the nodes' liveness keys; its context is the struct site.
extern const struct feed_ops site_nodes_ops;
