// Private declarations of the site module.
#pragma once

#include "daemon/site_mod.h"
#include "site/fresh.h"
#include "site/feed.h"
#include "site/relay.h"
#include "wire/wire.h"

enum {
	SITE_NODES_MAX = 64, ///< of each list of nodes
	SITE_LOSSES_MAX = 64, ///< remembered losses of liveness keys
};

/// An observed loss of a liveness key.
struct site_lost_node {
	char node[SITE_NAME_SIZE];
	char run[SITE_NAME_SIZE];
	struct site_node_loss loss;
};

/// Ids of the homes, for the order in which they grant permits.
struct limit_homes {
	const char *list[SITE_NODES_MAX]; ///< pointers to ids
	char ids[SITE_NODES_MAX][SITE_NAME_SIZE];
	size_t n;
};

struct site {
	const struct publish_wire_ops *wire;
	struct site_conf *conf;
	struct site_servers *servers;
	struct publish_weights
		*weights; ///< of each model with a published version
	int n_weights;
	struct feed operator_feed;
	struct feed server_feed;
	struct feed node_feed;
	uint64_t nodes_gen; ///< changes with the live nodes
	uint32_t nodes_round; ///< lists of the nodes begun
	bool nodes_listed; ///< one was whole
	struct site_node homes[SITE_NODES_MAX];
	size_t n_homes;
	struct site_node neighbours[SITE_NODES_MAX];
	size_t n_neighbours;
	struct site_lost_node lost_nodes[SITE_LOSSES_MAX]; ///< ring buffer
	uint64_t n_lost_nodes; ///< since the start
	struct relay relay;
	int64_t start_ms; ///< of this module
	struct site_freshness conf_fresh; ///< of the operators' keys
	struct site_freshness keys_fresh; ///< of the callers' keys among them
	struct site_freshness servers_fresh; ///< of the servers' entries
	struct limit_homes homes_now; ///< as limits_step() last saw them
	struct limit_homes homes_before; ///< before homes_changed_ms
	int64_t homes_changed_ms;
	bool stale_logged;
	int64_t last_back_ms; ///< last kv_up_since()
	int64_t last_reached_ms; ///< last kv_reachable_since()
	int64_t await_relay_until_ms; ///< a relay is to send changes
	bool retire_pending; ///< an order to empty this VM is unanswered
	bool retiring; ///< this process carries out that order
	int64_t retire_until_ms; ///< deadline to hand over batches, 0: no order
	bool retire_in_flight;
	int64_t retire_next_ms;
};

/// Start the calls of the feeds that are due.
void site_feeds_step(struct core *c, struct site *s);

struct site *site_of(const struct core *c);

/// Handlers of the liveness keys' feed; their ctx is the struct site.
extern const struct feed_ops site_nodes_ops;
