// State of the usage module, shared by its files.
#pragma once

#include "core/core.h"
#include "daemon/member_mod.h"
#include "daemon/usage_mod.h"
#include "usage/collect.h"
#include "usage/seal.h"

enum {
	USAGE_TARGETS = 2, ///< peers that hold copies
};

#define USAGE_DUTY "usage"

/// A peer that holds copies of this node's counters.
struct usage_target {
	char node[64]; ///< "" for none
	uint64_t sent; ///< book version that was sent
	uint64_t held; ///< book version that it says to hold
	int64_t sent_ms; ///< when something was last sent
	int64_t full_at; ///< when to send everything again
};

struct usage_mod {
	struct core *c;
	char run[USAGE_RUN_MAX + 1]; ///< of this process
	struct usage_book book; ///< own counters, copies, what the store had
	struct usage_collect collect;
	struct usage_seal seal;
	uint64_t epoch; ///< of the duty, 0 while it is not held
	struct usage_target targets[USAGE_TARGETS];
	int64_t unheld_since; ///< when a use was counted that no peer holds, 0
	bool collecting; ///< this node collects for its failure domain
};

struct usage_mod *usage_mod_of(const struct core *c);

/// Register the message handlers.
enum err usage_mod_copy_start(struct usage_mod *m);

/// Choose the peers, send them what is due.
void usage_mod_copy_tick(struct usage_mod *m, int64_t now);

/// Whether some peer holds everything that this process counted.
bool usage_mod_held(const struct usage_mod *m);

/// Set up the collector's and the sealer's calls to the store.
void usage_mod_store_start(struct usage_mod *m);

/// Register GET /admin/usage.
enum err usage_mod_admin_start(struct usage_mod *m);
