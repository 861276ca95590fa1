// HTTP server: whole requests go to a mailbox, answers come from its reader.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"

struct mbox;
struct http_edge;

enum {
	HTTP_LISTENERS = 2,
	HTTP_MAX_HEADERS = 64, ///< of a request
	HTTP_STREAM_BUF =
		262144, ///< bytes of an answer that wait for its reader
};

struct http_opts {
	struct mbox *events; ///< gets struct http_event; room for 2 a request
	unsigned int max_requests; ///< unanswered ones, over all listeners
	const char *listen[HTTP_LISTENERS]; ///< "IP:port"
	unsigned int max_connections; ///< of each listener
	int64_t idle_timeout_ms; ///< longest silence inside a request
	int64_t receive_timeout_ms; ///< longest time for a request to arrive
	int64_t unread_timeout_ms; ///< longest time without a byte of an answer read
	int send_buffer; ///< bytes that the kernel holds of a connection; 0: its choice
	size_t max_held; ///< bytes of bodies and unread answers; 0 for no bound
	size_t max_body; ///< bytes
};

struct http_pair {
	const char *name;
	const char *value;
};

/// A request, whole. Everything is in its arena.
struct http_req {
	struct arena arena;
	int listener; ///< index into http_opts.listen
	const char *method;
	const char *path; ///< as sent, without the query
	const char *query; ///< as sent, "" if none
	const char *bearer; ///< key of Authorization: Bearer, NULL if none
	struct http_pair headers[HTTP_MAX_HEADERS]; ///< without Authorization
	size_t n_headers;
	char *body; ///< NUL-terminated
	size_t body_len; ///< bytes
	int64_t arrived_ms; ///< clock_now_ms()
	uint32_t id; ///< the reader's own
};

enum http_event_kind {
	HTTP_REQ, ///< a request arrived; the reader owns a reference
	HTTP_GONE, ///< its caller went away before the answer was complete
};

struct http_event {
	enum http_event_kind kind;
	struct http_req *req;
};

/// What an implementation offers; all belongs to the mailbox's reader.
struct http_ops {
	enum err (*start)(const struct http_opts *opts, struct http_edge **out);

	/// Release what an HTTP_GONE event holds of its request.
	void (*gone_done)(struct http_req *r);

	/// Add a header to the answer.
	void (*header)(struct http_req *r, const char *name, const char *value);

	/// Answer with a whole body, copied, and give up the reference.
	void (*answer)(struct http_req *r, int status, const char *ctype,
		       const void *body, size_t len);

	/// Begin a chunked answer.
	void (*stream_begin)(struct http_req *r, int status, const char *ctype);

	/// Add bytes, copied.
	///
	/// @return ERR_OK, ERR_FULL (nothing was taken) or ERR_CLOSED
	enum err (*stream_write)(struct http_req *r, const void *data,
				 size_t len);

	/// End a chunked answer and give up the reference.
	///
	/// @param whole  false closes the connection before the last chunk
	void (*stream_end)(struct http_req *r, bool whole);

	/// Close the connection without an answer and give up the reference.
	void (*drop)(struct http_req *r);

	/// Descriptor that is readable when poll() has something to do.
	int (*poll_fd)(struct http_edge *h);

	/// Find callers that went away, and requests that arrive too slowly.
	void (*poll)(struct http_edge *h, int64_t now_ms);

	/// Change the body limit.
	void (*set_max_body)(struct http_edge *h, size_t max_body);

	/// Requests of which a byte has arrived and whose answer is not written
	/// whole yet.
	unsigned int (*open)(struct http_edge *h);

	/// From now on each answer closes its connection.
	void (*drain)(struct http_edge *h);

	/// Accept no more connections.
	void (*quiesce)(struct http_edge *h);

	/// Stop the threads. Every request must have been answered or dropped.
	void (*stop)(struct http_edge *h);
};

/// Over GNU libmicrohttpd.
extern const struct http_ops http_mhd_ops;

/// Body of an error answer, as in docs/PROTOCOLS.md.
///
/// @return text, free with free(); NULL when out of memory
char *http_err_body(enum err e, enum run_state run, int64_t retry_after_ms,
		    const char *detail);

/// Value of a request header.
///
/// @return value, NULL if absent
const char *http_req_header(const struct http_req *r, const char *name);

/// Value of a query parameter, decoded into the request's arena.
///
/// @return value, NULL if absent or malformed
const char *http_req_query(struct http_req *r, const char *name);
