// Calls to a platform's key-value store, and the table that puts them on a wire.
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
		///< effect; ERR_KV_DOWN: it surely did not
	uint64_t rev; ///< store's revision, or that of the key after a put
	/// Of a watch, a key is among items or deleted as it stands at the end.
	const struct kv_item *items;
	size_t n_items;
	bool more; ///< of a list: keys after the last one were left out
	const char *const *deleted; ///< keys that a watch saw go
	size_t n_deleted;
	uint64_t lease; ///< of kv_lease_grant()
	int64_t ttl_ms; ///< of grant and renew, counted from core_now() at the call
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
	KV_OPS,
};

/// One call, in the terms of daemon/platform_mod.h.
struct kv_call {
	enum kv_op op;
	const char *key; ///< key or prefix
	const char *from; ///< of a list: only keys after this one, NULL for all
	const char *value;
	size_t len; ///< bytes of value
	uint64_t rev; ///< prev_rev of a write, after of a watch
	uint64_t lease;
	int64_t ms; ///< wait of a watch, time to live of a grant
	bool urgent; ///< directly, on a new connection, and given up on soon
};

/// One call as it goes out.
struct kv_wire_req {
	const char *method;
	const char *url;
	const char *body; ///< NULL for none
	size_t len; ///< bytes of body
};

struct kv_wire_ops {
	const char *name;
	/// Write a call.
	///
	/// @param base      base URL of the platform
	/// @param a         owns what req points to
	/// @return ERR_OK, ERR_INVALID (not UTF-8), ERR_TOO_LARGE, ERR_NOMEM
	enum err (*encode)(const struct kv_call *call, const char *base,
			   struct arena *a, struct kv_wire_req *req);
	/// Read an answer. What can't be understood is ERR_KV_UNKNOWN.
	///
	/// @param a         owns what res points to
	void (*decode)(const struct kv_call *call, int status, const char *body,
		       size_t len, struct arena *a, struct kv_result *res);
};
