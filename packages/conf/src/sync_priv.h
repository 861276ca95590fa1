// State behind conf/sync.h.
#pragma once

#include "base/rng.h"
#include "conf/sync.h"

enum {
	SYNC_NEVER = INT32_MIN, ///< a time before every other
	SYNC_REQUESTS_MAX = 64, ///< questions whose answers are awaited
};

struct sync_peer {
	struct conf_sync_member m;
	uint64_t rev;
};

struct sync_domain {
	char name[64];
	int64_t answered_ms; ///< when a question that was answered was asked
	int64_t last_member_ms; ///< when it last had a node in view
	bool has_members; ///< it has a node in view now
};

/// A question on its way.
struct sync_request {
	uint64_t nonce; ///< 0 for a free entry
	int64_t sent_ms;
};

struct conf_sync {
	char node[64];
	char domain[64];
	const struct conf_sync_ops *ops;
	void *ctx;
	struct rng rng;
	struct conf *doc;
	int64_t confirmed_ms; ///< the document was the store's newest then
	uint64_t kv_rev; ///< to watch after
	bool watch_in_flight; ///< a watch is out
	unsigned int n_watches; ///< started so far
	int64_t next_watch_ms; ///< when to start the next watch
	int64_t watch_sent_ms; ///< when the watch that is out was started
	int64_t next_read_ms; ///< when to read the store next, while stale
	int64_t next_query_ms; ///< when to ask next
	int64_t next_domain_query_ms; ///< when to ask every failure domain next
	const char *watchers[CONF_SYNC_WATCHERS]; ///< ids, of lowest rank first
	size_t n_watchers;
	bool is_watcher; ///< this node is one of them
	unsigned int next_watcher; ///< rotates through the watchers
	struct sync_peer *peers; ///< sorted by id
	size_t n_peers;
	struct sync_domain domains[CONF_SYNC_DOMAINS_MAX];
	size_t n_domains;
	struct sync_request requests[SYNC_REQUESTS_MAX];
	size_t next_request;
};

/// Peer of an id.
///
/// @return NULL if there is none
struct sync_peer *sync_peer_find(const struct conf_sync *s, const char *id);

/// Failure domain of a name.
///
/// @return NULL if there is none
struct sync_domain *sync_domain_find(struct conf_sync *s, const char *name);

/// Choose the watchers of the own failure domain by the nodes in view.
void sync_select_watchers(struct conf_sync *s);

/// Push the document to the next node of the own failure domain; each node
/// that takes it passes it on, so the pushes end where it is known.
void sync_push(struct conf_sync *s);

/// Ask one peer.
void sync_query(struct conf_sync *s, int64_t now, const char *to);

/// Ask one member of each failure domain.
void sync_query_domains(struct conf_sync *s, int64_t now);

/// Ask a watcher of the own failure domain, another one each time; not on a
/// watcher.
void sync_query_watcher(struct conf_sync *s, int64_t now);
