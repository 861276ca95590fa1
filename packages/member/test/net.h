// A virtual network of memberships: delays, loss, cuts, dead connections.
#pragma once

#include "base/rng.h"
#include "member/member.h"

enum {
	NET_NODES = 400,
	NET_STEP_MS = 20,
	NET_OVERHEAD = 110, ///< bytes of frames, TCP and IP headers, one ACK
};

struct net_node {
	struct member *m; ///< NULL while it is down
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
	bool cut[NET_NODES][NET_NODES]; ///< from, to: nothing passes
	bool dead[NET_NODES][NET_NODES]; ///< connection silent until a new one
	bool linked[NET_NODES][NET_NODES]; ///< a connection exists
	struct net_msg *queue; ///< by time
	uint64_t msgs; ///< sent
	uint64_t bytes; ///< sent, with NET_OVERHEAD a message
};

/// Start nodes that know a few seeds of each domain.
///
/// @param domains  failure domains
/// @param each     nodes of each
void net_start(struct net *n, int domains, int each, uint64_t seed);

/// Bring a node up (again), with a new incarnation.
void net_up(struct net *n, int i);

/// Let a node die without a word.
void net_kill(struct net *n, int i);

/// Let time pass.
void net_run(struct net *n, int64_t ms);

/// Let time pass until a condition holds.
///
/// @return milliseconds that it took, -1 if it did not hold in time
int64_t net_until(struct net *n, bool (*fn)(struct net *n, void *ctx),
		  void *ctx, int64_t limit_ms);

/// State of a node as another sees it.
enum member_state net_sees(struct net *n, int from, int of);

/// Whether every living node sees every other one of its domain alive, and
/// hears every other domain.
bool net_settled(struct net *n, void *ctx);

/// Free everything.
void net_stop(struct net *n);
