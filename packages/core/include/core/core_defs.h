// Types that modules share with the event loop and its I/O edges.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"
#include "base/htab.h"
#include "base/trace.h"
#include "upstream/upstream.h"

struct core;
struct core_req;

/// Listener of the daemon that received a request.
enum core_listener {
	CORE_LISTENER_PUBLIC, ///< callers and trainers
	CORE_LISTENER_ADMIN, ///< operators
};

/// A completely received request, with its arena. Valid until it is answered or
/// aborted; across events keep its handle, not its address.
struct core_req {
	htab_handle h;
	struct arena arena; ///< freed with the request
	enum core_listener listener;
	const char *method;
	const char *path; ///< as received, without the query
	const char *query; ///< as received, "" if none
	const char *bearer; ///< caller's key, NULL if none; never logged
	const char *body;
	size_t body_len; ///< bytes
	int64_t arrived_ms; ///< time of arrival, clock_now_ms()
	struct span span; ///< span of the caller's hop
	/// Called once if the caller disconnects before the answer is complete;
	/// the request must then not be answered.
	void (*on_abort)(struct core *c, struct core_req *r, void *user);
	void *user; ///< owned by the handler, passed to on_abort
};

struct core_route_opts {
	enum core_listener listener;
	const char *method; ///< "GET", "POST", ...; NULL for any
	const char *prefix; ///< longest matching prefix of the path wins
	void (*fn)(struct core *c, struct core_req *r, void *ctx);
	void *ctx;
};

/// Outcome of an outgoing request.
struct core_fetch_result {
	enum err err; ///< ERR_OK when the answer arrived completely
	bool sent; ///< a byte of the request may have left this process
	bool reused; ///< sent on a connection that had carried other requests: an
		///< answer without a request id may belong to one of those
	enum upstream_framing framing;
	uint64_t received; ///< bytes of the body that arrived, whole or not
	size_t surplus; ///< bytes that the server sent behind the body
	int status; ///< HTTP status, 0 unless a whole head arrived
	const char *body; ///< complete body, NULL when it was streamed
	size_t body_len; ///< bytes
	const char *ctype; ///< Content-Type, "" if none
	const struct upstream_head *head; ///< empty without want_head
	int64_t total_us; ///< microseconds from start to end
};

/// Whether the answer arrived, for users of its status or of a body that shows its own
/// end: one that ended with its connection, too.
static inline bool core_fetch_answered(const struct core_fetch_result *res)
{
	return res->err == ERR_OK || res->err == ERR_UP_UNFRAMED;
}

struct core_fetch_opts {
	const char *method;
	const char *url;
	const char *const *headers; ///< "Name: value", NULL-terminated, or NULL
	const char *body;
	size_t body_len;
	int64_t timeout_ms; ///< from start to end; 0 for none
	int64_t connect_timeout_ms; ///< 0 for the setting's value
	int64_t idle_timeout_ms; ///< longest time without a byte once sent; 0 for none
	size_t max_body; ///< bytes; 0 for the setting's value
	bool fresh; ///< use a new connection
	/// Time of clock_now_ms() after which it is no longer sent; 0 for none.
	int64_t send_until_ms;
	const struct trace_ctx *trace; ///< sent as traceparent if not NULL
	bool want_head; ///< keep the answer's header fields
	/// Field of the request that its answer repeats, NULL if none.
	const char *id_field;
	/// Server's id for core_on_response_heads(), with want_head; 0 for none.
	uint32_t tag;
	/// Called with status and header fields before the body. Needs
	/// want_head, and a tag if the answer isn't streamed or has no body.
	void (*on_head)(struct core *c, void *ctx, int status,
			const struct upstream_head *head);
	/// Called with each part of the body; NULL to get it whole in on_done.
	void (*on_data)(struct core *c, void *ctx, const char *data,
			size_t len);
	/// Called exactly once unless cancelled.
	void (*on_done)(struct core *c, void *ctx,
			const struct core_fetch_result *res);
	void *ctx;
};

/// Modules of the daemon, in start order; stopped in reverse.
enum core_mod {
	MOD_PLATFORM,
	MOD_MEMBER,
	MOD_CONF,
	MOD_FLEET,
	MOD_DUTY,
	MOD_USAGE,
	MOD_WORK,
	MOD_ROLLOUT,
	MOD_SITE,
	MOD_LEAD,
	MOD_TALLY,
	MOD_JOB,
	MOD_ORDER,
	MOD_SIZING,
	MOD_ROOM,
	MOD_SUSPECT,
	MOD_FRONT,
	MOD_COUNT
};

struct json_t;

/// Callbacks of a module, all called on the loop's thread. All but start may be
/// NULL.
struct core_mod_ops {
	const char *name;
	enum err (*start)(struct core *c, void **state);
	void (*tick)(struct core *c, void *state, int64_t now_ms);
	/// Called on SIGTERM: accept no new work.
	void (*drain)(struct core *c, void *state);
	/// @return true when no accepted work is running any more
	bool (*idle)(struct core *c, void *state);
	/// @return true when the module can accept work
	bool (*ready)(struct core *c, void *state);
	/// Add the module's part of GET /admin/status.
	void (*status)(struct core *c, void *state, struct json_t *obj);
	void (*stop)(struct core *c, void *state);
};
