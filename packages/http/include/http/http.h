// HTTP server: complete requests are posted to a mailbox; its reader answers them.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"

struct mbox;
struct http_server;

enum {
	HTTP_LISTENERS = 2,
	HTTP_MAX_HEADERS = 64, ///< most header fields of a request
	HTTP_STREAM_BUF_BYTES = 262144, ///< unwritten bytes of a chunked answer
};

struct http_opts {
	struct mbox *events; ///< struct http_event; 2 entries per request
	unsigned int max_requests; ///< requests in flight, over all listeners
	const char *listen[HTTP_LISTENERS]; ///< "IP:port"
	unsigned int max_connections; ///< of each listener
	int64_t idle_timeout_ms; ///< longest inactivity within a request
	int64_t receive_timeout_ms; ///< longest time for a request to arrive
	int64_t unread_timeout_ms; ///< longest time without an acknowledged answer byte
	int send_buffer; ///< bytes, SO_SNDBUF; 0: the kernel's default
	size_t max_held; ///< bytes of bodies and unwritten answers; 0 for no limit
	size_t max_body; ///< bytes of a request's body
};

struct http_pair {
	const char *name;
	const char *value;
};

/// A complete request. All strings except the body are in its arena.
struct http_req {
	struct arena arena;
	int listener; ///< index into http_opts.listen
	const char *method;
	const char *path; ///< as sent, without the query
	const char *query; ///< as sent, "" if none
	const char *bearer; ///< token of "Authorization: Bearer", NULL if none
	struct http_pair headers[HTTP_MAX_HEADERS]; ///< without Authorization
	size_t n_headers;
	char *body; ///< NUL-terminated
	size_t body_len; ///< bytes
	int64_t arrived_ms; ///< clock_now_ms()
	uint32_t id; ///< for the reader's use
};

enum http_event_kind {
	HTTP_REQ, ///< a request arrived; the reader owns a reference
	HTTP_CLIENT_GONE, ///< its connection closed before the answer was complete
};

struct http_event {
	enum http_event_kind kind;
	struct http_req *req;
};

/// Interface of an HTTP server, for the mailbox's reader only.
struct http_ops {
	enum err (*start)(const struct http_opts *opts,
			  struct http_server **out);

	/// Release the reference of an HTTP_CLIENT_GONE event.
	void (*release_gone)(struct http_req *r);

	/// Add a header field to the answer; ignored beyond 64 fields.
	void (*header)(struct http_req *r, const char *name, const char *value);

	/// Let the answer's body end with the connection, without a length: it is not
	/// known to be whole.
	void (*end_by_close)(struct http_req *r);

	/// Answer with a complete body, which is copied, and release the reference.
	void (*answer)(struct http_req *r, int status, const char *ctype,
		       const void *body, size_t len);

	/// Begin a chunked answer.
	void (*stream_begin)(struct http_req *r, int status, const char *ctype);

	/// Add bytes to a chunked answer; they are copied.
	///
	/// @return ERR_OK, ERR_FULL (nothing was added) or ERR_CLOSED
	enum err (*stream_write)(struct http_req *r, const void *data,
				 size_t len);

	/// End a chunked answer and release the reference.
	///
	/// @param complete  false: close the connection without the last chunk
	void (*stream_end)(struct http_req *r, bool complete);

	/// Close the connection without an answer and release the reference.
	void (*drop)(struct http_req *r);

	/// Descriptor that is readable when a client has closed its connection.
	int (*poll_fd)(struct http_server *h);

	/// Post HTTP_CLIENT_GONE for closed connections; close those past their timeouts.
	void (*poll)(struct http_server *h, int64_t now_ms);

	/// Change the limit on a request's body, in bytes.
	void (*set_max_body)(struct http_server *h, size_t max_body);

	/// Number of requests that have begun to arrive and are not completely
	/// answered yet.
	unsigned int (*open)(struct http_server *h);

	/// Drain: from now on each answer closes its connection.
	void (*drain)(struct http_server *h);

	/// Stop accepting connections.
	void (*quiesce)(struct http_server *h);

	/// Stop the threads. Every request must have been answered or dropped.
	void (*stop)(struct http_server *h);
};

/// Implementation with GNU libmicrohttpd.
extern const struct http_ops http_mhd_ops;

/// Whether a status ends an answer: neither an interim one nor none at all.
static inline bool http_status_final(int status)
{
	return status >= 200 && status <= 599;
}

/// JSON body of an error answer, as in docs/PROTOCOLS.md.
///
/// @return text, free with free(); NULL when out of memory
char *http_err_body(enum err e, enum run_state run, int64_t retry_after_ms,
		    const char *detail);

/// Value of a request header, by name without regard to case.
///
/// @return value, NULL if absent
const char *http_req_header(const struct http_req *r, const char *name);

/// Value of a query parameter, decoded into the request's arena.
///
/// @return value, NULL if absent or malformed
const char *http_req_query(struct http_req *r, const char *name);
