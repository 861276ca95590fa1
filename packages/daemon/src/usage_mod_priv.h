// State of the usage module, shared by its files.
#pragma once

#include "core/core.h"
#include "daemon/member_mod.h"
#include "daemon/usage_mod.h"
#include "usage/collect.h"
#include "usage/seal.h"

enum {
	USAGE_REPLICAS = 2, ///< peers that hold replicas
};

#define USAGE_DUTY "usage"

/// A peer that holds a replica of this node's counters.
struct usage_replica {
	char node[64]; ///< "" for none
	uint64_t sent_version; ///< version sent last
	uint64_t acked_version; ///< version acknowledged by the peer
	int64_t last_sent_ms;
	int64_t next_full_ms;
};

struct usage_mod {
	struct core *c;
	char run[USAGE_RUN_MAX + 1]; ///< of this process
	struct usage_counters counters; ///< own, replicas, stored ones
	struct usage_collect collect;
	struct usage_seal seal;
	uint64_t epoch; ///< of the duty, 0 if not held
	struct usage_replica replicas[USAGE_REPLICAS];
	int64_t unreplicated_since_ms; ///< oldest count not replicated, 0: none
	bool is_collector; ///< for its failure domain
};

/// State, NULL before start.
struct usage_mod *usage_mod_of(const struct core *c);

/// Register the handlers of peer messages.
enum err usage_mod_copy_start(struct usage_mod *m);

/// Choose the peers and send them the changes that are due.
void usage_mod_copy_tick(struct usage_mod *m, int64_t now);

/// Whether at least one peer acknowledged everything that this process counted.
bool usage_mod_replicated(const struct usage_mod *m);

/// Set the collector's and the sealer's operations.
void usage_mod_store_start(struct usage_mod *m);

/// Register GET /admin/usage.
enum err usage_mod_admin_start(struct usage_mod *m);
