// What the nodes need of servers: each node writes its own need to the store,
// the leader reads and sums them.
#pragma once

#include "core/core.h"
#include "daemon/platform_mod.h"
#include "site/conf.h"
#include "store_keys.h"

enum {
	NEED_SERVICES_MAX = 16, ///< services whose servers can be ordered
	NEED_MODELS_MAX = 64, ///< models whose steps are weighed
};

/// What the largest batch of a model takes, in tokens to be made.
struct need_model {
	char name[SITE_NAME];
	double step_tokens;
};

struct need_models {
	struct need_model rows[NEED_MODELS_MAX];
	int n;
};

/// Need of one service, in requests that run at the same time: the mean over a
/// while. Items that wait do not count: what they wait for is mostly a server
/// with new weights, and more servers only make loads slower.
struct need_row {
	char service[SITE_NAME];
	double requests; ///< of the looks of this node, or of all nodes' means
};

struct need_rows {
	struct need_row rows[NEED_SERVICES_MAX];
	int n;
};

/// This node's need and its key.
struct need_node {
	struct need_rows rows;
	struct need_models models; ///< of the looks
	int observations; ///< that the rows are the sum of
	bool stored_empty; ///< the store says that nothing is needed, or has no key
	bool busy; ///< a call is outstanding
	bool must_read; ///< the key's revision must be read first
	uint64_t rev; ///< of the key, 0 for none
	int64_t next_observe_ms; ///< next look at what this node runs
	int64_t next_ms; ///< earliest next write
};

/// The leader's sum over all nodes.
struct need_total {
	struct need_rows rows;
	struct need_rows partial; ///< of the list in progress
	struct need_models models; ///< also those that nothing runs of just now
	char cursor[STORE_KEY]; ///< last key of the list's page, "" for none
	bool busy; ///< a call is outstanding
	int64_t next_ms; ///< next list
	int64_t read_ms; ///< end of the last whole list, 0 for none
};

/// Look at what this node runs, and write it when it is due.
void need_node_step(struct core *c, struct need_node *node);

/// Read what all nodes need when it is due.
void need_total_step(struct core *c, struct need_total *total);

/// Work of a model's step, 0 if not known.
double need_model_step_tokens(const struct need_total *total,
			      const char *model);

/// Row of a service, made if there is room.
///
/// @return row, NULL when all are taken
struct need_row *need_row_get(struct need_rows *rows, const char *service);
