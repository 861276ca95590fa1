// Store calls by way of another node, for a node that the store turns away or
// that is cut off from it alone.
//
// Load pattern: one node, often the busiest writer, loses the store while its
// peers keep it. Its batches and its liveness key go on through a peer; without
// that they lapse, and what it had generated is generated again elsewhere.
#pragma once

#include "core/core.h"
#include "wire/store.h"

struct proxy;

/// Register the messages.
///
/// Whether a peer said since then that it could not reach the store either.
bool proxy_peers_lost(const struct proxy *p, int64_t since_ms);

/// @param done  takes the outcome of a call that was begun with proxy_call()
enum err proxy_start(struct core *c, struct proxy **out,
		     void (*done)(struct core *c, htab_handle call,
				  const struct kv_result *res));
void proxy_free(struct proxy *p);

/// Ask a peer to make a call.
///
/// @param call  handle that goes to done()
/// @return false if no peer is known that could; done() is not called then
bool proxy_call(struct core *c, struct proxy *p, htab_handle call,
		const struct kv_call *what);

/// Give up on peers that do not answer.
void proxy_step(struct core *c, struct proxy *p);
