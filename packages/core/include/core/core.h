// The loop: one thread owns all decision state; edges post events to it.
#pragma once

#include "core/core_defs.h"

struct settings;

enum core_peer_msg {
	PEER_MSG_NONE = 0,
#define PEER_MSG(sym, num, doc) sym = (num),
#include "core/peer_msg.def"
#undef PEER_MSG
};

struct http_ops;
struct upstream_ops;
struct peer_ops;
struct http_pair;
struct wire_ops;

struct core_opts {
	struct settings *settings; ///< outlives the core; changed by a reload
	const char *settings_path; ///< file read by a reload, NULL for none
	const struct http_ops *http; ///< NULL for the usual one
	const struct upstream_ops *upstream; ///< NULL for the usual one
	const struct peer_ops *peer; ///< NULL for the usual one
	/// MOD_COUNT entries; NULL for those that this system does without.
	const struct core_mod_ops *const *mods;
	const struct wire_ops *wire; ///< outside platform's wire, or NULL
};

/// Create the loop and its edges; opens the listeners.
///
/// @param opts      options
/// @param[out] out  core
/// @return ERR_OK, or why an edge or module could not start
enum err core_new(const struct core_opts *opts, struct core **out);

/// Run until core_stop(); drains first.
///
/// @param c  core
/// @return ERR_OK after a clean stop
enum err core_run(struct core *c);

/// Ask the loop to drain and end. Safe from a signal handler.
///
/// @param c  core
void core_stop(struct core *c);

/// Ask the loop to take new settings. Safe from a signal handler.
///
/// @param c  core
void core_reload(struct core *c);

/// Free everything after core_run() returned.
///
/// @param c  core or NULL
void core_free(struct core *c);

/// Time of the event being handled.
///
/// @param c  core
/// @return milliseconds of clock_now_ms()
int64_t core_now(const struct core *c);

/// Settings in force.
const struct settings *core_settings(const struct core *c);

/// This node's id and failure domain, from its settings.
const char *core_node(const struct core *c);
const char *core_domain(const struct core *c);

/// Unique id of this process's run.
///
/// @return 16 hexadecimal digits
const char *core_incarnation(const struct core *c);

/// State of a module.
///
/// @return what its start() stored, NULL before that
void *core_mod_state(const struct core *c, enum core_mod m);

/// Wire of the outside platform, NULL for the project's own.
const struct wire_ops *core_wire(const struct core *c);

/// Whether every module of this node can take work.
bool core_ready(const struct core *c);

/// True from SIGTERM on.
bool core_draining(const struct core *c);

// --- callers ---------------------------------------------------------------

/// Register a handler; call from a module's start().
enum err core_route(struct core *c, const struct core_route_opts *opts);

/// Register a handler that is still called after SIGTERM; those of
/// core_route() are then refused as draining.
enum err core_route_draining(struct core *c,
			     const struct core_route_opts *opts);

/// Request of a handle.
///
/// @return request, NULL once answered or aborted
struct core_req *core_req_get(struct core *c, htab_handle h);

/// Value of a request header, case-insensitive; NULL if absent.
/// Authorization is never among them: see core_req.bearer.
const char *core_req_header(const struct core_req *r, const char *name);

/// All header fields of a request but Authorization.
///
/// @param[out] n  count
const struct http_pair *core_req_headers(const struct core_req *r, size_t *n);

/// Value of a query parameter; NULL if absent.
const char *core_req_query(const struct core_req *r, const char *name);

/// Add a header to the answer; before core_reply() or core_stream_begin().
void core_reply_header(struct core *c, htab_handle h, const char *name,
		       const char *value);

/// Answer with a whole body, copied. Frees the request.
///
/// @param ctype  Content-Type
void core_reply(struct core *c, htab_handle h, int status, const char *ctype,
		const void *body, size_t len);

/// Answer with JSON. Frees the request and releases obj.
void core_reply_json(struct core *c, htab_handle h, int status,
		     struct json_t *obj);

/// Answer with a typed error: status of the error, headers Catkin-Run and
/// (when retry_after_ms > 0) Retry-After, and the body of docs/PROTOCOLS.md.
/// Frees the request.
///
/// @param run             what is true of the request
/// @param retry_after_ms  milliseconds until a retry makes sense, 0 for none
/// @param detail          text for people, without secrets
void core_reply_err(struct core *c, htab_handle h, enum err e,
		    enum run_state run, int64_t retry_after_ms,
		    const char *detail);

/// Begin a streamed answer (chunked).
void core_stream_begin(struct core *c, htab_handle h, int status,
		       const char *ctype);

/// Add bytes, copied.
///
/// @return ERR_FULL when the caller reads too slowly (nothing was taken),
///         ERR_STALE_HANDLE when it is gone
enum err core_stream_write(struct core *c, htab_handle h, const void *data,
			   size_t len);

/// End a streamed answer. Frees the request.
///
/// @param whole  false closes the connection so that the caller sees a
///               broken answer instead of a short one
void core_stream_end(struct core *c, htab_handle h, bool whole);

// --- outgoing requests -----------------------------------------------------

/// Start an outgoing request; everything in opts is copied.
///
/// @param[out] h  handle for core_fetch_cancel(), may be NULL
/// @return ERR_OK, or ERR_FULL, ERR_TOO_LARGE, ERR_NOMEM, ERR_CLOSED:
///         on_done will not be called and nothing left
enum err core_fetch(struct core *c, const struct core_fetch_opts *opts,
		    htab_handle *h);

/// Register what sees the head of each answer to a request with a tag: also of one
/// that is then broken off, and of one that was cancelled after the head arrived. May
/// be called more than once an answer.
void core_on_heads(struct core *c,
		   void (*fn)(struct core *c, uint32_t tag, int status,
			      const struct upstream_head *head));

/// Cancel; no callback but that of core_on_heads() follows. The request may have been
/// sent.
void core_fetch_cancel(struct core *c, htab_handle h);

// --- peers -----------------------------------------------------------------

/// Know a peer's address; connects in the background. Idempotent.
///
/// @param node  node id
/// @param addr  "IP:port"
enum err core_peer_add(struct core *c, const char *node, const char *addr);

/// Forget a peer and close its connection.
void core_peer_del(struct core *c, const char *node);

/// Use a new connection to a peer: the old one may be dead at one end. For
/// modules whose messages stay without an answer.
void core_peer_reset(struct core *c, const char *node);

/// Send a message, copied; delivery is not promised. The body must be one
/// msgpack object; the other side refuses anything else.
///
/// @return ERR_NOT_FOUND for an unknown peer, ERR_FULL
enum err core_peer_send(struct core *c, const char *node,
			enum core_peer_msg type, const void *buf, size_t len);

/// Register the handler of a message type.
///
/// @param fn  given the sender's node id; buf is valid during the call only
enum err core_peer_on(struct core *c, enum core_peer_msg type,
		      void (*fn)(struct core *c, void *ctx, const char *from,
				 const void *buf, size_t len),
		      void *ctx);
