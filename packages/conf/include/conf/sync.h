// Distributes the configuration document and tracks how fresh it is.
//
// A few watchers of each failure domain watch the key-value store. The others
// query one of them every second; new documents are pushed around a ring. A
// confirmation is dated to when its query was sent, so a late reply never
// makes a document look fresher than it is.
#pragma once

#include "conf/conf.h"

enum {
	CONF_SYNC_WATCHERS = 3, ///< watcher nodes per failure domain
	CONF_SYNC_WATCH_WAIT_MS = 500, ///< server-side wait of one watch
	CONF_SYNC_QUERY_MS = 1000, ///< interval between queries
	CONF_SYNC_RETRY_MS = 300, ///< until a query is retried
	CONF_SYNC_STALE_WATCHER_MS =
		1300, ///< age from which a watcher queries all domains
	CONF_SYNC_STALE_MS = 2300, ///< the same for other nodes
	CONF_SYNC_DOMAINS_MAX = 64,
};

enum conf_freshness {
	CONF_NO_DOC, ///< keyed work is refused
	CONF_FRESH, ///< confirmed within key.cut_off_grace
	CONF_KV_DOWN, ///< unconfirmed, but all domains reply
	CONF_CUT_OFF, ///< unconfirmed, and a domain is silent
};

enum conf_msg_type {
	CONF_MSG_QUERY,
	CONF_MSG_REPLY, ///< with the document if the query's is older
	CONF_MSG_DOC, ///< pushes a new document
};

struct conf_msg {
	enum conf_msg_type type;
	uint64_t nonce; ///< matches a reply to its query
	uint64_t rev; ///< sender's revision, 0 for none
	int64_t age_ms; ///< since the sender's last confirmation, -1 for never
	const char *text; ///< document, NULL for none
	size_t len; ///< bytes of text
};

struct conf_sync_member {
	char id[64];
	char domain[64];
	bool alive;
};

/// Callbacks of the state machine. They must not call back into it.
struct conf_sync_ops {
	void (*watch)(void *ctx, uint64_t after, int64_t wait_ms);
	void (*read)(void *ctx);
	void (*send)(void *ctx, const char *to, const struct conf_msg *m);
	/// A new document is in force.
	void (*doc_changed)(void *ctx);
	/// A document from "kv" or a peer was rejected; the old one stays.
	void (*doc_rejected)(void *ctx, const char *from, enum err e);
};

struct conf_sync_opts {
	const char *node;
	const char *domain;
	uint64_t seed;
	const struct conf_sync_ops *ops;
	void *ctx;
};

/// Result of a read, a watch or a write of the document in the store.
struct conf_sync_kv_result {
	int64_t asked_ms; ///< when the call was sent
	enum err err; ///< ERR_OK, ERR_NOT_FOUND (no document), or a failure
	bool unchanged; ///< the watch ended without a change
	const char *text;
	size_t len;
	uint64_t kv_rev; ///< store's revision to watch after
};

struct conf_sync;

enum err conf_sync_new(const struct conf_sync_opts *opts,
		       struct conf_sync **out);
void conf_sync_free(struct conf_sync *s);

/// Set the other nodes, from membership. A failure domain without nodes still
/// counts until it has had none for 60 s of CONF_FRESH.
void conf_sync_set_members(struct conf_sync *s,
			   const struct conf_sync_member *m, size_t n);

/// Call about every 100 ms.
void conf_sync_tick(struct conf_sync *s, int64_t now);

/// Handle a result from the store.
void conf_sync_on_kv(struct conf_sync *s, int64_t now,
		     const struct conf_sync_kv_result *kv);

/// Handle a message from a peer.
void conf_sync_on_msg(struct conf_sync *s, int64_t now, const char *from,
		      const struct conf_msg *m);

/// Document in force, NULL if there is none yet.
const struct conf *conf_sync_doc(const struct conf_sync *s);

/// Freshness of the document in force.
enum conf_freshness conf_sync_freshness(const struct conf_sync *s, int64_t now);

/// Milliseconds since the last confirmation, -1 if never confirmed.
int64_t conf_sync_age_ms(const struct conf_sync *s, int64_t now);

/// Whether this node is one of its failure domain's watchers.
bool conf_sync_is_watcher(const struct conf_sync *s);

/// Highest revision that a member has reported, 0 if none.
uint64_t conf_sync_member_rev(const struct conf_sync *s, const char *id);

/// Query every member that has reported only lower revisions.
void conf_sync_query_missing(struct conf_sync *s, int64_t now, uint64_t rev);
