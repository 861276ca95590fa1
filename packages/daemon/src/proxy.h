// Store calls through a peer, for a node that the store rejects or that alone can't
// reach it.
//
// Load pattern: one node, often the busiest writer, loses the store while its peers
// still reach it. Through a peer it keeps its batches and its liveness key; otherwise
// they expire, and its samples are generated again elsewhere.
#pragma once

#include "core/core.h"
#include "wire/store.h"

struct proxy;

/// Whether a peer reported after since_ms that it can't reach the store either.
bool proxy_peers_down(const struct proxy *p, int64_t since_ms);

/// Create the proxy and register its messages.
///
/// @param done  called with the result of each proxy_call()
enum err proxy_start(struct core *c, struct proxy **out,
		     void (*done)(struct core *c, htab_handle call,
				  const struct kv_result *res));
void proxy_free(struct proxy *p);

/// Ask a peer to make a store call.
///
/// @param call  handle that is passed to done()
/// @return false if no peer is usable; done() is not called then
bool proxy_call(struct core *c, struct proxy *p, htab_handle call,
		const struct kv_call *store_call);

/// Fail calls that timed out with ERR_KV_UNKNOWN.
void proxy_expire(struct core *c, struct proxy *p);
