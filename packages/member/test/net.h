// A simulated network: delays, message loss, partitions, dead connections.
#pragma once

#include "base/rng.h"
#include "member/member.h"

enum {
	NET_NODES = 400,
	NET_TICK_MS = 20,
	NET_FORGET_MS = 90000,
	NET_OVERHEAD_BYTES =
		110, ///< bytes of frames, TCP and IP headers, one ACK
};

struct net_node {
	struct member *m; ///< NULL while the node is down
	char id[16];
	char domain[16];
	char addr[32];
	int64_t tick_ms;
	uint64_t starts;
};

struct net {
	int n;
	struct net_node nodes[NET_NODES];
	int64_t now_ms;
	struct rng rng;
	int loss_permille; ///< of all messages
	int damage_permille; ///< of all messages: some bytes corrupted
	bool cut[NET_NODES][NET_NODES]; ///< [from][to]: nothing is delivered
	bool dead[NET_NODES][NET_NODES]; ///< the same, until reconnected
	bool linked[NET_NODES][NET_NODES]; ///< [from][to]: a connection exists
	struct net_msg *queue; ///< by time of delivery
	uint64_t msgs; ///< sent
	uint64_t bytes; ///< sent, with NET_OVERHEAD_BYTES per message
};

/// Start nodes that know a few seeds of each domain.
///
/// @param domains  failure domains
/// @param each     nodes per domain
void net_start(struct net *n, int domains, int each, uint64_t seed);

/// Start or restart a node with a new incarnation.
void net_start_node(struct net *n, int i);

/// Kill a node, which sends nothing.
void net_kill_node(struct net *n, int i);

/// Advance the simulated time.
void net_run(struct net *n, int64_t ms);

/// Advance the simulated time until a condition holds.
///
/// @return elapsed milliseconds, -1 if it did not hold within limit_ms
int64_t net_run_until(struct net *n, bool (*fn)(struct net *n, void *ctx),
		      void *ctx, int64_t limit_ms);

/// State of one node as another one sees it.
enum member_state net_state_of(struct net *n, int from, int of);

/// Whether every running node sees exactly the running nodes of its domain alive,
/// and hears every domain.
bool net_converged(struct net *n, void *ctx);

/// Free everything.
void net_stop(struct net *n);
