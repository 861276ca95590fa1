// The platform's key-value store, for modules. Callbacks run on the loop.
#pragma once

#include "core/core.h"

struct kv_item {
	const char *key;
	const char *value; ///< NUL-terminated as well
	size_t len; ///< bytes
	uint64_t rev; ///< revision of the last change
};

struct kv_result {
	enum err err; ///< ERR_OK; ERR_KV_CONFLICT; ERR_NOT_FOUND; ERR_KV_LEASE;
		///< ERR_KV_UNKNOWN: the call may have taken effect;
		///< ERR_KV_DOWN: it surely did not
	uint64_t rev; ///< store's revision, or that of the key after a put
	const struct kv_item *items;
	size_t n_items;
	const char *const *deleted; ///< keys that a watch saw go
	size_t n_deleted;
	uint64_t lease; ///< of kv_lease_grant()
	int64_t ttl_ms; ///< of grant and renew, counted from core_now() at the call
};

struct kv_put_opts {
	const char *key;
	const char *value;
	size_t len;
	uint64_t prev_rev; ///< must match; 0 means: must not exist
	uint64_t lease; ///< key goes with this lease; 0 for none
};

/// Callback of a call; result and items are valid during it only.
struct kv_cb {
	void (*fn)(struct core *c, void *ctx, const struct kv_result *res);
	void *ctx;
};

enum err kv_get(struct core *c, const char *key, struct kv_cb cb);
enum err kv_list(struct core *c, const char *prefix, struct kv_cb cb);
enum err kv_put(struct core *c, const struct kv_put_opts *opts,
		struct kv_cb cb);
enum err kv_del(struct core *c, const char *key, uint64_t prev_rev,
		struct kv_cb cb);

/// Wait for a change below a prefix after a revision.
///
/// @param wait_ms  the store answers with no items after this
enum err kv_watch(struct core *c, const char *prefix, uint64_t after,
		  int64_t wait_ms, struct kv_cb cb);

enum err kv_lease_grant(struct core *c, int64_t ttl_ms, struct kv_cb cb);
enum err kv_lease_renew(struct core *c, uint64_t lease, struct kv_cb cb);
enum err kv_lease_revoke(struct core *c, uint64_t lease, struct kv_cb cb);

/// Latest time from which the store was surely heard: the start of a call that
/// it answered, or the end of the wait of a watch that ended with no items. An
/// answer that lay unread while the process was paused doesn't count as new.
///
/// @return clock_now_ms() time, 0 for never
int64_t kv_last_contact(struct core *c);
