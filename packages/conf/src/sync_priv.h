// Private state of conf/sync.h.
#pragma once

#include "base/rng.h"
#include "conf/sync.h"

enum {
	SYNC_NEVER = INT32_MIN, ///< time in ms before all others
	SYNC_REQUESTS_MAX = 64, ///< in flight
};

struct sync_peer {
	struct conf_sync_member m;
	uint64_t rev; ///< highest reported
};

struct sync_domain {
	char name[64];
	int64_t answered_ms; ///< send time of the latest answered query
	int64_t last_member_ms; ///< when it last had members
	bool has_members; ///< in membership
};

/// A query in flight.
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
	int64_t confirmed_ms; ///< when the document was the newest in the store
	uint64_t kv_rev; ///< to watch after
	bool watch_in_flight; ///< a watch or read is in flight
	unsigned int n_watches; ///< started, for WATCHES_PER_READ
	int64_t next_watch_ms; ///< start of the next watch
	int64_t watch_sent_ms; ///< start of the watch in flight
	int64_t next_read_ms; ///< next read while stale
	int64_t next_query_ms; ///< next query to a watcher
	int64_t next_domain_query_ms; ///< next query to all domains
	const char *watchers[CONF_SYNC_WATCHERS]; ///< ids, lowest rank first
	size_t n_watchers;
	bool is_watcher; ///< this node is one of them
	unsigned int next_watcher; ///< round robin over the watchers
	struct sync_peer *peers; ///< sorted by id
	size_t n_peers;
	struct sync_domain domains[CONF_SYNC_DOMAINS_MAX];
	size_t n_domains;
	struct sync_request requests[SYNC_REQUESTS_MAX];
	size_t next_request;
};

/// Find a peer by id.
///
/// @return NULL if there is none
struct sync_peer *sync_peer_find(const struct conf_sync *s, const char *id);

/// Find a failure domain by name.
///
/// @return NULL if there is none
struct sync_domain *sync_domain_find(struct conf_sync *s, const char *name);

/// Select the alive nodes of lowest rank as watchers of the own failure domain.
void sync_select_watchers(struct conf_sync *s);

/// Push the document to the next node of the own failure domain. A node that
/// accepts it forwards it, so the push ends where the document is known.
void sync_push(struct conf_sync *s);

/// Send a query to one peer.
void sync_query(struct conf_sync *s, int64_t now, const char *to);

/// Query one member of each failure domain.
void sync_query_domains(struct conf_sync *s, int64_t now);

/// Query the next watcher of the own failure domain; not on a watcher.
void sync_query_watcher(struct conf_sync *s, int64_t now);
