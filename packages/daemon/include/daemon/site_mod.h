// This node's view of what operators, trainers and backend servers publish in the
// platform's store.
#pragma once

#include "core/core.h"
#include "site/conf.h"
#include "site/server.h"

/// Configuration in force; valid until the next event.
///
/// @return configuration, NULL before the first
const struct site_conf *site_mod_conf(struct core *c);

/// Whether callers' keys may be trusted: the configuration was confirmed recently.
bool site_mod_keys_fresh(struct core *c);

/// Milliseconds since the configuration was confirmed.
int64_t site_mod_conf_age_ms(struct core *c);

/// Milliseconds since the list of servers was confirmed, INT64_MAX for never.
int64_t site_mod_servers_age_ms(struct core *c);

/// Time up to which requests may be sent on the known servers and operators' keys.
///
/// @return clock_now_ms() time, INT64_MAX while this node can't reach the store
int64_t site_mod_valid_until(struct core *c);

/// Deadline to send a request whose server is selected now: site_mod_valid_until(),
/// capped at a fixed time from now, also while the store can't be reached.
///
/// @return clock_now_ms() time
int64_t site_mod_send_until(struct core *c);

/// Whether new work may be started on what is known now.
bool site_mod_may_start_work(struct core *c);

/// Ask homes for the permits of servers with a limit that requests wait for.
void site_mod_ask_permits(struct core *c);

/// Known servers; entries stay until their handles are stale.
struct site_servers *site_mod_servers(struct core *c);

/// Newest weight version that a trainer published.
///
/// @return version, 0 if none was published
uint64_t site_mod_weight_version(struct core *c, const char *model);

/// Check a caller's key.
///
/// @param route      route, NULL for calls bound only to a team
/// @param bearer     key, may be NULL
/// @param[out] team  name, "" on an open route without a key; valid until the next event
/// @return ERR_OK, ERR_CONF_NONE, ERR_CONF_CUT_OFF, ERR_KEY_MISSING or
///         ERR_KEY_UNKNOWN
enum err site_mod_auth(struct core *c, const struct site_route *route,
		       const char *bearer, const char **team);

/// A live node.
struct site_node {
	char node[SITE_NAME_SIZE];
	char peer[SITE_ADDR_SIZE]; ///< "IP:port" for messages between daemons
	int64_t known_ms; ///< clock_now_ms() time since which it is known
	int64_t hello_sent_ms; ///< last hello sent to it, 0: never
	int64_t avoid_until_ms; ///< it left an ask for permits unanswered
	uint32_t list_round; ///< last list that had it
};

/// Other live nodes that may be asked for help: first some of the own failure
/// domain, then those that may be homes.
///
/// @param[out] n  count
const struct site_node *site_mod_neighbours(struct core *c, size_t *n);

/// Live nodes that may be homes, including this one if it may.
///
/// @param[out] n  count, 0 until all nodes were listed once
const struct site_node *site_mod_homes(struct core *c, size_t *n);

/// Number that changes with the set of live nodes.
uint64_t site_mod_nodes_gen(struct core *c);

/// Whether the nodes were listed; only at nodes that may lead.
bool site_mod_nodes_listed(struct core *c);

/// Whether a process's run holds its node's liveness key; only at nodes that may
/// lead.
bool site_mod_run_alive(struct core *c, const char *node, const char *run);

/// Whether trainers publish weights for a service's servers. These are engines: they
/// load weights by order, and only a known number of requests fits.
bool site_mod_loads_weights(struct core *c, const char *service);

/// Loss of a liveness key.
struct site_node_loss {
	int64_t at_ms; ///< clock_now_ms() time at which this node learned of it
	uint64_t rev; ///< store revision; all changes up to it are known
	int64_t store_ms; ///< how long the store had answered this node by then
};

/// When a process's run lost its node's liveness key; only at nodes that may lead.
///
/// @return false if this node did not observe it
bool site_mod_node_loss(struct core *c, const char *node, const char *run,
			struct site_node_loss *out);

/// Latest loss of any liveness key.
///
/// @return false if none was observed
bool site_mod_last_node_loss(struct core *c, struct site_node_loss *out);

/// Whether operators are emptying this VM.
///
/// @param[out] until_ms  clock_now_ms() deadline for the handover of its batches to
///                       other nodes
bool site_mod_retiring(struct core *c, int64_t *until_ms);

/// Models with a published version.
///
/// @param i  index from 0
/// @return model, NULL past the end
const char *site_mod_model(struct core *c, int i);
