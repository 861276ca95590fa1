// Client of the platform's key-value store. Callbacks run on the event loop.
#pragma once

#include "core/core.h"
#include "wire/store.h"

struct kv_put_opts {
	const char *key;
	const char *value;
	size_t len;
	uint64_t prev_rev; ///< expected revision; 0: the key must not exist
	uint64_t lease; ///< the key is deleted when this lease ends; 0 for none
};

/// Completion callback; the result and its items are valid only during it.
struct kv_cb {
	void (*fn)(struct core *c, void *ctx, const struct kv_result *res);
	void *ctx;
};

enum err kv_get(struct core *c, const char *key, struct kv_cb cb);
enum err kv_list(struct core *c, const char *prefix, struct kv_cb cb);

/// List the keys of a prefix after `from`: the next page of a truncated list.
enum err kv_list_after(struct core *c, const char *prefix, const char *from,
		       struct kv_cb cb);
enum err kv_put(struct core *c, const struct kv_put_opts *opts,
		struct kv_cb cb);
enum err kv_del(struct core *c, const char *key, uint64_t prev_rev,
		struct kv_cb cb);

/// Long poll for a change below a prefix after a revision.
///
/// @param wait_ms  the store answers with no items after this
enum err kv_watch(struct core *c, const char *prefix, uint64_t after,
		  int64_t wait_ms, struct kv_cb cb);

/// Watch sent directly to the store on a new connection with a short timeout, for a
/// node that must know whether it can reach the store.
enum err kv_watch_direct(struct core *c, const char *prefix, uint64_t after,
			 int64_t wait_ms, struct kv_cb cb);

enum err kv_lease_grant(struct core *c, int64_t ttl_ms, struct kv_cb cb);
enum err kv_lease_renew(struct core *c, uint64_t lease, struct kv_cb cb);
enum err kv_lease_revoke(struct core *c, uint64_t lease, struct kv_cb cb);

/// Call the store directly, never through a peer; for calls on behalf of peers.
///
/// @return ERR_OK, or why the call was not started: ERR_KV_DOWN when this node
///         cannot reach the store itself
enum err kv_call_direct(struct core *c, const struct kv_call *call,
			struct kv_cb cb);

/// Latest time at which the store was certainly up: the start of an answered call, or
/// the end of the wait of a watch that returned no items. A response left unread while
/// the process was paused doesn't count as recent.
///
/// @return clock_now_ms() time, 0 for never
int64_t kv_last_contact(struct core *c);

/// Time of the last response to a call of this node, directly or through a peer.
///
/// @return clock_now_ms() time, 0 for never
int64_t kv_last_response(struct core *c);

/// Record that a relay had the state of the store as of a time.
void kv_note_relay_contact(struct core *c, int64_t as_of_ms);

/// Record that a relay can't reach the store: own probes are delayed.
void kv_note_relay_down(struct core *c);

/// Retry delay for a caller that was refused because the store is unreachable.
///
/// Load pattern: the store is down, and callers retry only a few times. The delay is the
/// duration of the outage so far, as it lasts about as long again. If peers still reach
/// the store, another node can serve the caller soon.
///
/// @return milliseconds
int64_t kv_retry_after(struct core *c);

/// Start of the last direct call on a new connection that got no answer, while this
/// node can't reach the store and for a short time after, in which cached state can
/// be confirmed. A peer may reach the store.
///
/// @return clock_now_ms() time, 0 while the store is reachable
int64_t kv_unreachable_since(struct core *c);

/// Time of the first direct response after such a failed call.
///
/// @return clock_now_ms() time, 0 if there was none yet
int64_t kv_reachable_since(struct core *c);

/// Time since which the store has answered every call.
///
/// @return clock_now_ms() time, 0 while it does not answer
int64_t kv_up_since(struct core *c);
