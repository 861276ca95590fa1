// The event loop: one thread owns all decision state; the I/O edges (HTTP server,
// outgoing requests, peer messages) post events to it from other threads.
#pragma once

#include "core/core_defs.h"

struct settings;

enum core_peer_msg {
	PEER_MSG_NONE = 0,
#define PEER_MSG(sym, num, doc) sym = (num),
#define PEER_REPLY(sym, num, doc) sym = (num),
#include "core/peer_msg.def"
#undef PEER_REPLY
#undef PEER_MSG
};

struct http_ops;
struct upstream_ops;
struct peer_ops;
struct http_pair;
struct wire_ops;

struct core_opts {
	struct settings *settings; ///< must outlive the core; updated on reload
	const char *settings_path; ///< file read on reload, NULL for none
	const struct http_ops *http; ///< NULL for http_mhd_ops
	const struct upstream_ops *upstream; ///< NULL for upstream_curl_ops
	const struct peer_ops *peer; ///< NULL for peer_zmq_ops
	/// MOD_COUNT entries; NULL for modules that this daemon doesn't have.
	const struct core_mod_ops *const *mods;
	const struct wire_ops *wire; ///< external platform's adapter, or NULL
};

/// Create the loop, edges and modules; opens the listeners.
///
/// @return ERR_OK, or why an edge or module failed to start
enum err core_new(const struct core_opts *opts, struct core **out);

/// Run until core_stop(), then drain.
///
/// @return ERR_OK after a clean stop
enum err core_run(struct core *c);

/// Request the loop to drain and return. Safe from a signal handler.
void core_stop(struct core *c);

/// Request the loop to reload the settings file. Safe from a signal handler.
void core_reload(struct core *c);

/// Free the core after core_run() has returned.
///
/// @param c  core or NULL
void core_free(struct core *c);

/// Time of the event being handled.
///
/// @return milliseconds of clock_now_ms()
int64_t core_now(const struct core *c);

/// When the platform ends this process.
///
/// @param[out] begun_ms  when it was told to stop
/// @return clock_now_ms() time, INT64_MAX if it is not stopping or the time is not known
int64_t core_end_ms(const struct core *c, int64_t *begun_ms);

/// Settings in force.
const struct settings *core_settings(const struct core *c);

/// This node's id and failure domain, from its settings.
const char *core_node(const struct core *c);
const char *core_domain(const struct core *c);

/// Random id of this process.
///
/// @return 16 hexadecimal digits
const char *core_incarnation(const struct core *c);

/// State of a module.
///
/// @return state that its start() stored, NULL before that
void *core_mod_state(const struct core *c, enum core_mod m);

/// Adapter of an external platform, NULL for the project's own protocol.
const struct wire_ops *core_wire(const struct core *c);

/// Whether this node accepts work: not draining, every module ready.
bool core_ready(const struct core *c);

/// True from SIGTERM on.
bool core_draining(const struct core *c);

// --- callers ---------------------------------------------------------------

/// Register a handler; call from a module's start().
enum err core_route(struct core *c, const struct core_route_opts *opts);

/// Register a handler that is also called while draining; requests to handlers of
/// core_route() are then refused with ERR_HTTP_DRAINING.
enum err core_route_draining(struct core *c,
			     const struct core_route_opts *opts);

/// Look up a request by its handle.
///
/// @return request, NULL after it was answered or aborted
struct core_req *core_req_get(struct core *c, htab_handle h);

/// Value of a request header, case-insensitive; NULL if absent.
/// Never returns Authorization: see core_req.bearer.
const char *core_req_header(const struct core_req *r, const char *name);

/// All header fields of a request except Authorization.
///
/// @param[out] n  count
const struct http_pair *core_req_headers(const struct core_req *r, size_t *n);

/// Value of a query parameter; NULL if absent.
const char *core_req_query(const struct core_req *r, const char *name);

/// Let the answer's body end with the connection, without a length, before core_reply():
/// for a body that is not known to be whole.
void core_reply_end_by_close(struct core *c, htab_handle h);

/// Add a header to the answer; call before core_reply() or core_stream_begin().
void core_reply_header(struct core *c, htab_handle h, const char *name,
		       const char *value);

/// Answer with a complete body, which is copied. Frees the request.
///
/// @param ctype  Content-Type
void core_reply(struct core *c, htab_handle h, int status, const char *ctype,
		const void *body, size_t len);

/// Answer with JSON. Frees the request and releases obj.
void core_reply_json(struct core *c, htab_handle h, int status,
		     struct json_t *obj);

/// Answer with an error: its HTTP status, headers Catkin-Run and (when
/// retry_after_ms > 0) Retry-After, and the body of docs/PROTOCOLS.md.
/// Frees the request.
///
/// @param run             whether the request ran
/// @param retry_after_ms  milliseconds until a retry may succeed, 0 for none
/// @param detail          text for people, without secrets, may be NULL
void core_reply_err(struct core *c, htab_handle h, enum err e,
		    enum run_state run, int64_t retry_after_ms,
		    const char *detail);

/// Begin a streamed answer with chunked transfer encoding.
void core_stream_begin(struct core *c, htab_handle h, int status,
		       const char *ctype);

/// Add bytes to a streamed answer; they are copied.
///
/// @return ERR_OK, ERR_FULL when the caller reads too slowly (nothing was written),
///         ERR_STALE_HANDLE when the request was aborted
enum err core_stream_write(struct core *c, htab_handle h, const void *data,
			   size_t len);

/// End a streamed answer. Frees the request.
///
/// @param complete  false closes the connection, so that the caller sees a broken
///                  answer instead of a short one
void core_stream_end(struct core *c, htab_handle h, bool complete);

// --- outgoing requests -----------------------------------------------------

/// Start an outgoing request; everything in opts is copied.
///
/// @param[out] h  handle for core_fetch_cancel(), may be NULL
/// @return ERR_OK, or ERR_FULL, ERR_TOO_LARGE, ERR_NOMEM, ERR_CLOSED:
///         on_done will not be called and nothing was sent
enum err core_fetch(struct core *c, const struct core_fetch_opts *opts,
		    htab_handle *h);

/// Register the callback for the header fields of answers to requests with a tag,
/// including answers that break off later and requests cancelled after the header
/// fields arrived. May be called more than once per answer.
void core_on_response_heads(struct core *c,
			    void (*fn)(struct core *c, uint32_t tag, int status,
				       const struct upstream_head *head));

/// Cancel a request, which may already have been sent. Of its callbacks only that of
/// core_on_response_heads() may still be called.
void core_fetch_cancel(struct core *c, htab_handle h);

// --- peers -----------------------------------------------------------------

/// Set a peer's address; connects in the background. Idempotent.
///
/// @param addr  "IP:port"
enum err core_peer_add(struct core *c, const char *node, const char *addr);

/// Remove a peer and close its connection.
void core_peer_del(struct core *c, const char *node);

/// Reconnect to a peer: the old connection may be half-open. For modules whose
/// messages get no reply.
void core_peer_reset(struct core *c, const char *node);

/// A process of a node. What was learned from one says nothing of the next: numbers that
/// it chose, such as handles, start anew.
struct core_peer_run {
	char node[64];
	/// 0: the node runs an earlier version, which does not name its process.
	uint64_t run;
};

/// Send a message to any process of a node; it is copied, and its delivery is not
/// guaranteed. The body must be one msgpack object; the receiver drops anything else.
///
/// @return ERR_OK, ERR_NOT_FOUND for an unknown peer, ERR_FULL, ERR_INVALID for a reply
enum err core_peer_send(struct core *c, const char *node,
			enum core_peer_msg type, const void *buf, size_t len);

/// Sender of the message being handled.
struct core_peer_run core_peer_sender(const struct core *c);

/// Send a reply, as by core_peer_send(). Another process of that node does not take it.
///
/// @param to  core_peer_sender() when the message arrived that this replies to
enum err core_peer_reply(struct core *c, const struct core_peer_run *to,
			 enum core_peer_msg type, const void *buf, size_t len);

/// Count and log a reply to nothing that this node still waits for.
void core_peer_late_reply(const char *from, enum core_peer_msg type);

/// Send a message to all peers, as by core_peer_send().
void core_peer_broadcast(struct core *c, enum core_peer_msg type,
			 const void *buf, size_t len);

/// Register the handler of a message type.
///
/// @param fn  handler; from is the sender's node id, buf is valid only in the call
/// @return ERR_OK, ERR_INVALID for a type out of range
enum err core_peer_on(struct core *c, enum core_peer_msg type,
		      void (*fn)(struct core *c, void *ctx, const char *from,
				 const void *buf, size_t len),
		      void *ctx);
