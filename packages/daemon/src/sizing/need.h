// The nodes' need of servers: each node writes its own to the store, the leader
// reads and sums them.
#pragma once

#include "core/core.h"
#include "daemon/platform_mod.h"
#include "site/conf.h"
#include "store_keys.h"

enum {
	NEED_SERVICES_MAX = 64, ///< services whose servers can be ordered
	NEED_MODELS_MAX = 128, ///< models whose work per step is estimated
};

/// Work of a model's step (its largest batch), in tokens to generate.
struct need_model {
	char name[SITE_NAME_SIZE];
	double step_tokens;
};

struct need_models {
	struct need_model rows[NEED_MODELS_MAX];
	int n;
};

/// Need of one service, in concurrent requests, averaged over the observations
/// since the last write. Queued items don't count: they mostly wait for a server
/// with new weights, and more servers only make loads slower.
struct need_row {
	char service[SITE_NAME_SIZE];
	double requests; ///< sum of the observations, or of the nodes' means
};

struct need_rows {
	struct need_row rows[NEED_SERVICES_MAX];
	int n;
};

/// This node's need and its key.
struct need_node {
	struct need_rows rows;
	struct need_models models; ///< maximum of the observations
	int observations; ///< number summed up in rows
	bool stored_empty; ///< the stored need is empty, or there is no key
	bool call_outstanding;
	bool must_read_rev;
	uint64_t rev; ///< of the key, 0 for none
	int64_t next_observe_ms; ///< next observation of this node's work
	int64_t next_call_ms;
};

/// The leader's sum over all nodes.
struct need_total {
	struct need_rows rows;
	struct need_rows partial; ///< sum of the list in progress
	struct need_models
		models; ///< including models that don't run at present
	char cursor
		[STORE_KEY_SIZE]; ///< last key of the previous page, "" for none
	bool call_outstanding;
	int64_t next_list_ms;
	int64_t last_list_ms; ///< end of the last complete one, 0: none
};

/// Observe this node's work, and write its need to the store when due.
void need_node_step(struct core *c, struct need_node *node);

/// Read all nodes' needs from the store when due.
void need_total_step(struct core *c, struct need_total *total);

/// Work of a model's step, in tokens to generate; 0 if not known.
double need_model_step_tokens(const struct need_total *total,
			      const char *model);

/// Row of a service, added if missing.
///
/// @return row, NULL when all NEED_SERVICES_MAX are in use
struct need_row *need_row_get(struct need_rows *rows, const char *service);
