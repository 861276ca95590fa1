// Wire format of the platform's key-value store, behind a table of functions.
#pragma once

#include <jansson.h>

#include "base/arena.h"
#include "daemon/platform_mod.h"

enum kv_op {
	KV_GET,
	KV_LIST,
	KV_PUT,
	KV_DEL,
	KV_WATCH,
	KV_GRANT,
	KV_RENEW,
	KV_REVOKE,
};

/// One call, in the terms of platform_mod.h.
struct kv_call {
	enum kv_op op;
	const char *key; ///< key or prefix
	const char *value;
	size_t len; ///< bytes of value
	uint64_t rev; ///< prev_rev of a write, after of a watch
	uint64_t lease;
	int64_t ms; ///< wait of a watch, time to live of a grant
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

/// HTTP and JSON as in docs/PROTOCOLS.md.
extern const struct kv_wire_ops kv_wire_json;
