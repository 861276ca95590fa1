// Which document a node has in force, how fresh it is, and whom to ask.
//
// A few nodes of each failure domain watch the key-value store. The others ask
// one of them every second; new documents are pushed around a ring. Every
// confirmation counts from the moment its question was asked, so a late answer
// never makes a document look fresher than it is.
#pragma once

#include "conf/conf.h"

enum {
	CONF_SYNC_WATCHERS = 3, ///< nodes a failure domain that watch the store
	CONF_SYNC_WATCH_WAIT_MS = 500, ///< longest wait of one watch
	CONF_SYNC_QUERY_MS = 1000, ///< interval between questions to a peer
	CONF_SYNC_RETRY_MS = 300, ///< until a question is taken as lost
	CONF_SYNC_STALE_WATCHER_MS =
		1300, ///< age from which a watcher asks all
	CONF_SYNC_STALE_MS = 2300, ///< age from which another node asks all
	CONF_SYNC_DOMAINS_MAX = 64,
};

enum conf_freshness {
	CONF_NO_DOC, ///< no document yet: nothing keyed is served
	CONF_FRESH, ///< contact with the KV, own or through a peer
	CONF_KV_DOWN, ///< every failure domain is heard and none has contact
	CONF_CUT_OFF, ///< some failure domain is unheard and there is no contact
};

enum conf_msg_type {
	CONF_MSG_QUERY,
	CONF_MSG_REPLY, ///< with the document if the asker's is older
	CONF_MSG_DOC, ///< a new document, pushed
};

struct conf_msg {
	enum conf_msg_type type;
	uint64_t nonce; ///< of the question
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

/// What the state machine wants done. None of them may call back into it.
struct conf_sync_ops {
	void (*watch)(void *ctx, uint64_t after, int64_t wait_ms);
	void (*read)(void *ctx);
	void (*send)(void *ctx, const char *to, const struct conf_msg *m);
	/// A new document is in force.
	void (*doc_changed)(void *ctx);
	/// A document was refused; the last good one stays in force.
	void (*doc_rejected)(void *ctx, const char *from, enum err e);
};

struct conf_sync_opts {
	const char *node;
	const char *domain;
	uint64_t seed;
	const struct conf_sync_ops *ops;
	void *ctx;
};

/// Answer of the store to a read, a watch or a write of the document.
struct conf_sync_kv {
	int64_t asked_ms; ///< when the call was made
	enum err err; ///< ERR_OK, ERR_NOT_FOUND (no document), or a failure
	bool unchanged; ///< a watch that ended without a change
	const char *text;
	size_t len;
	uint64_t kv_rev; ///< store's revision to watch after
};

struct conf_sync;

enum err conf_sync_new(const struct conf_sync_opts *opts,
		       struct conf_sync **out);
void conf_sync_free(struct conf_sync *s);

/// Other nodes as membership shows them; a failure domain once seen counts
/// until operators take it out.
void conf_sync_view(struct conf_sync *s, const struct conf_sync_member *m,
		    size_t n);

/// Call every 100 ms or so.
void conf_sync_tick(struct conf_sync *s, int64_t now);

/// An answer of the store.
void conf_sync_on_kv(struct conf_sync *s, int64_t now,
		     const struct conf_sync_kv *kv);

/// A peer's message.
void conf_sync_on_msg(struct conf_sync *s, int64_t now, const char *from,
		      const struct conf_msg *m);

/// Document in force, NULL before the first.
const struct conf *conf_sync_doc(const struct conf_sync *s);

enum conf_freshness conf_sync_freshness(const struct conf_sync *s, int64_t now);

/// Milliseconds since the last confirmation, -1 for never.
int64_t conf_sync_age_ms(const struct conf_sync *s, int64_t now);

/// Whether this node is one of its failure domain's watchers.
bool conf_sync_is_watcher(const struct conf_sync *s);

/// Last revision that a member was heard to have, 0 if never heard.
uint64_t conf_sync_member_rev(const struct conf_sync *s, const char *id);

/// Ask every member that was not heard to have a revision yet.
void conf_sync_query_missing(struct conf_sync *s, int64_t now, uint64_t rev);
