// Private declarations of the site module.
#pragma once

#include "daemon/site_mod.h"
#include "site/fresh.h"
#include "site/feed.h"
#include "site/relay.h"
#include "wire/wire.h"

enum {
	SITE_WEIGHTS = 64, ///< models with published versions
	SITE_HOMES = 64, ///< of each list of nodes
	SITE_LOSSES = 64, ///< remembered losses of liveness keys
};

/// An observed loss of a liveness key.
struct site_gone {
	char node[SITE_NAME];
	char run[SITE_NAME];
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
	uint64_t nodes_gen; ///< changes with the live nodes
	struct site_node homes[SITE_HOMES];
	size_t n_homes;
	struct site_node neighbours[SITE_HOMES];
	size_t n_neighbours;
	struct site_gone gone[SITE_LOSSES]; ///< ring buffer
	uint64_t n_gone; ///< since the start
	struct relay relay;
	int64_t start_ms; ///< of this module
	struct site_fresh conf_fresh; ///< of the operators' keys
	struct site_fresh keys_fresh; ///< of the callers' keys among them
	struct site_fresh servers_fresh; ///< of the servers' entries
	bool stale_logged;
	int64_t back_ms; ///< last kv_back_since()
	int64_t reached_ms; ///< last kv_reached_since()
	int64_t leave_to_relay_ms; ///< until then a relay is to send changes
	bool retire; ///< an order to empty this VM is unanswered
	bool retiring; ///< this process carries out that order
	int64_t retire_ms; ///< deadline to hand over batches, 0: no order
	bool retire_busy;
	int64_t retire_next_ms;
};

/// Start the calls of the feeds that are due.
void site_feeds_step(struct core *c, struct site *s);

struct site *site_of(const struct core *c);

/// Handlers of the liveness keys' feed; their ctx is the struct site.
extern const struct feed_ops site_nodes_ops;
