// The platform's key-value store, for modules. Callbacks run on the loop.
#pragma once

#include "core/core.h"
#include "wire/store.h"

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

/// List the keys of a prefix after one of them, when a list left some out.
enum err kv_list_from(struct core *c, const char *prefix, const char *from,
		      struct kv_cb cb);
enum err kv_put(struct core *c, const struct kv_put_opts *opts,
		struct kv_cb cb);
enum err kv_del(struct core *c, const char *key, uint64_t prev_rev,
		struct kv_cb cb);

/// Wait for a change below a prefix after a revision.
///
/// @param wait_ms  the store answers with no items after this
enum err kv_watch(struct core *c, const char *prefix, uint64_t after,
		  int64_t wait_ms, struct kv_cb cb);

/// A watch that is made directly, on a new connection, and given up on soon, for a
/// node that must know whether the store can be reached.
enum err kv_confirm(struct core *c, const char *prefix, uint64_t after,
		    int64_t wait_ms, struct kv_cb cb);

enum err kv_lease_grant(struct core *c, int64_t ttl_ms, struct kv_cb cb);
enum err kv_lease_renew(struct core *c, uint64_t lease, struct kv_cb cb);
enum err kv_lease_revoke(struct core *c, uint64_t lease, struct kv_cb cb);

/// Make a call without the way by a peer; for calls on behalf of peers.
///
/// @return ERR_OK, or why the call was not begun: ERR_KV_DOWN when this node
///         has no contact of its own
enum err kv_direct(struct core *c, const struct kv_call *call, struct kv_cb cb);

/// Latest time from which the store was surely heard: the start of a call that
/// it answered, or the end of the wait of a watch that ended with no items. An
/// answer that lay unread while the process was paused doesn't count as new.
///
/// @return clock_now_ms() time, 0 for never
int64_t kv_last_contact(struct core *c);

/// Last time at which a call of this node got an answer, directly or by a peer.
///
/// @return clock_now_ms() time, 0 for never
int64_t kv_answered(struct core *c);

/// A relay knows what was true at the store at a time.
void kv_told(struct core *c, int64_t as_of_ms);

/// A relay can't reach the store just now: this node's probes may wait for it.
void kv_told_away(struct core *c);

/// When a caller should come back that was refused for want of the store.
///
/// Load pattern: the store is away, and callers come back a few times only. A
/// silence that has lasted for some time lasts about as long again, so that is
/// the time. Where peers have the store, another node can serve the caller soon.
///
/// @return milliseconds
int64_t kv_retry_after(struct core *c);

/// Begin of the last direct call on a new connection that the store did not answer,
/// while it can't be reached from here, and for a short time after, in which what is
/// known can be confirmed. A peer may reach it.
///
/// @return clock_now_ms() time, 0 while the store can be reached
int64_t kv_vain_since(struct core *c);

/// When the store was reached again after such a call.
///
/// @return clock_now_ms() time, 0 before
int64_t kv_reached_since(struct core *c);

/// Since when the store answers without a failed call in between.
///
/// @return clock_now_ms() time, 0 while it does not answer
int64_t kv_back_since(struct core *c);
