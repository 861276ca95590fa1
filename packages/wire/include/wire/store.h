// Calls to a platform's key-value store, and the table that encodes and decodes them.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"

struct kv_item {
	const char *key;
	const char *value; ///< NUL-terminated as well
	size_t len; ///< bytes
	uint64_t rev; ///< revision of the last change
};

struct kv_result {
	enum err err; ///< ERR_OK; ERR_KV_CONFLICT; ERR_NOT_FOUND; ERR_KV_LEASE;
		///< ERR_KV_HISTORY; ERR_KV_UNKNOWN: the call may have taken
		///< effect; ERR_KV_DOWN: it had no effect
	uint64_t rev; ///< revision of the store, or of the key after a put
	/// For a watch, a key is in items or in deleted by its last change.
	const struct kv_item *items;
	size_t n_items;
	/// For a list: there are more keys after the last one, which the next page has. Such
	/// a page has an item.
	bool more;
	const char *const *deleted; ///< keys that were deleted during a watch
	size_t n_deleted;
	uint64_t lease; ///< id of the lease from kv_lease_grant()
	int64_t ttl_ms; ///< for grant and renew, counted from core_now() at the call
};

enum kv_op {
	KV_GET,
	KV_LIST,
	KV_PUT,
	KV_DEL,
	KV_WATCH,
	KV_GRANT,
	KV_RENEW,
	KV_REVOKE,
	KV_OP_COUNT,
};

/// One call, with the arguments of the functions in daemon/platform_mod.h.
struct kv_call {
	enum kv_op op;
	const char *key; ///< key or prefix
	const char *from; ///< cursor of a list: last key already read, or NULL
	const char *value;
	size_t len; ///< bytes of value
	uint64_t
		rev; ///< prev_rev of a write; start revision of a watch, exclusive
	uint64_t lease;
	int64_t ms; ///< longest wait of a watch, TTL of a grant
	bool urgent; ///< sent directly, on a new connection, with a short timeout
};

/// One call as an HTTP request.
struct kv_wire_req {
	const char *method;
	const char *url;
	const char *body; ///< NULL for none
	size_t len; ///< bytes of body
};

struct kv_wire_ops {
	const char *name;
	/// Encode a call.
	///
	/// @param base      base URL of the platform
	/// @param a         owns what req points to
	/// @return ERR_OK, ERR_INVALID (not UTF-8), ERR_TOO_LARGE, ERR_NOMEM
	enum err (*encode)(const struct kv_call *call, const char *base,
			   struct arena *a, struct kv_wire_req *req);
	/// Decode an answer. An answer that can't be parsed is ERR_KV_UNKNOWN.
	///
	/// @param a         owns what res points to
	void (*decode)(const struct kv_call *call, int status, const char *body,
		       size_t len, struct arena *a, struct kv_result *res);
};
