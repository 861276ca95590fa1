// Private state of the simulated network: events, nodes, faults.
#pragma once

#include "conf_net.h"

enum {
	TICK_MS = 100,
	MEMBERSHIP_DELAY_MS = 1000, ///< to detect a change of links
	IN_FORCE_MAX_MS = 3000, ///< limit from accepted to in force
	FAULT_FREE_MS = 8000, ///< final phase of a run, without faults
	MSG_DELAY_MAX_MS = 20, ///< longest delay of a message
	LOST_WATCH_PERCENT = 5, ///< watches that never get a reply
};

enum event_kind {
	EVENT_TICK,
	EVENT_MSG,
	EVENT_KV,
	EVENT_WATCH_END,
	EVENT_FAULT,
	EVENT_MEMBERSHIP,
	EVENT_EDIT,
	EVENT_CHECK_IN_FORCE,
};

struct event {
	int64_t at_ms;
	uint64_t seq; ///< order of events of the same time
	enum event_kind kind;
	int node;
	int incarnation; ///< of the node; events of an older one are dropped
	int from;
	uint64_t doc_rev; ///< revision of the attached document, 0 for none
	struct conf_msg msg;
	struct conf_sync_kv_result kv;
};

struct net_node {
	struct conf_sync *sync;
	int incarnation;
	bool watching;
	int64_t watch_sent_ms;
	uint64_t rev; ///< revision in force in this incarnation
	uint64_t last_doc_rev; ///< for NET_MUTANT_LAST_DOC_WINS
};

struct net {
	struct net_opts opts;
	struct net_result *res;
	struct rng rng;
	int64_t now;
	uint64_t seq;
	struct event *heap;
	size_t n_heap;
	struct net_node nodes[NET_NODES];
	bool link[NET_DOMAINS][NET_DOMAINS];
	bool kv_link[NET_DOMAINS];
	bool kv_up;
	uint64_t rev; ///< of the document in the store
	uint64_t accepted_rev; ///< highest revision that any node has
	int64_t accepted_ms[NET_EDITS_MAX]; ///< of each revision
	int64_t last_fault_ms; ///< time of the last fault or repair
	uint64_t rev_on_all; ///< highest revision in force on all nodes
};

/// Running simulation, for the callbacks of conf_sync.
extern struct net *current_net;

static inline int domain_of(int node)
{
	return node / NET_NODES_PER_DOMAIN;
}

/* conf_net_heap.c */
void event_push(struct net *n, struct event e);
struct event event_pop(struct net *n);

/* conf_net_kv.c */
int64_t delivery_ms(struct net *n);
const char *doc_text(uint64_t rev, char *buf, size_t *len);
int node_index(void *ctx);
bool kv_reachable(const struct net *n, int node);
void kv_answer(struct net *n, int node, int64_t asked, bool unchanged);
void net_watch(void *ctx, uint64_t after, int64_t wait_ms);
void net_read(void *ctx);

/* conf_net_fault.c */
bool has_path_to_kv(const struct net *n, int node);
void heal_all(struct net *n);
void run_fault(struct net *n);
void update_outage(struct net *n);

/* conf_net.c */
void node_start(struct net *n, int i);
