// State of a request and of the server, shared by the listeners' threads and the
// mailbox's reader.
#pragma once

#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>

#include "http/http.h"

struct mhd_listener {
	struct http_server *server;
	int index; ///< index into http_opts.listen
	struct MHD_Daemon *daemon;
	MHD_socket quiesced_fd; ///< listening socket, valid after quiesce()
};

enum mhd_phase {
	MHD_PHASE_BODY, ///< the body is arriving
	MHD_PHASE_WAIT, ///< posted to the reader; the connection is suspended
	MHD_PHASE_ANSWER, ///< status and headers are known
	MHD_PHASE_DROP, ///< the connection must be closed without an answer
};

struct mhd_req {
	struct http_req pub; ///< the reader's view; must be the first member
	struct mhd_listener *acceptor;
	struct MHD_Connection *conn;
	atomic_int refs; ///< listener's thread, reader, event, stream
	struct http_event req_event;
	struct http_event gone_event;
	size_t body_cap; ///< bytes of pub.body
	size_t reserved; ///< bytes counted for a body whose length is known
	atomic_size_t held_bytes; ///< its part of http_server.held_bytes
	bool headers_parsed;
	bool posted; ///< the request was posted to the reader
	bool counted_live; ///< included in http_server.n_live
	enum err refuse_err; ///< answer with this error at once

	pthread_mutex_t lock; ///< protects the fields below
	enum mhd_phase phase;
	bool suspended;
	bool watched; ///< its socket is watched for the client's close
	bool mhd_done; ///< libmicrohttpd has completed or aborted the request
	bool answer_ended; ///< the reader has completed or dropped the answer
	bool gone_posted;
	bool queued; ///< the answer was handed to libmicrohttpd
	int status;
	struct MHD_Response *response; ///< headers; body unless chunked
	bool stream; ///< chunked
	bool stream_complete; ///< valid once answer_ended
	char *buf; ///< bytes of a stream not yet written
	size_t buf_len; ///< bytes in buf
	size_t buf_start; ///< offset of the first one
	size_t buf_cap; ///< bytes allocated
	struct http_pair *out_headers; ///< answer headers, in the arena
	size_t n_out_headers;
	bool ends_by_close; ///< the answer's body has no length
};

struct http_server {
	struct http_opts opts;
	struct mhd_listener listeners[HTTP_LISTENERS];
	int n_listeners;
	int watch_epoll; ///< epoll of suspended connections' sockets
	struct conn_table *conns;
	atomic_uint n_live; ///< posted requests not yet freed
	atomic_uint n_open; ///< requests not yet freed
	atomic_size_t max_body;
	atomic_size_t held_bytes; ///< bodies and unwritten answers
	atomic_bool draining;
};

/// Entry of a connection in http_server.conns, NULL if it has none.
struct conn *mhd_conn_of(struct MHD_Connection *conn);

/// Create a request with one reference.
///
/// @param uri  path and query as sent
/// @return request, NULL when out of memory
struct mhd_req *mhd_req_new(struct mhd_listener *acceptor, const char *uri);

void mhd_req_ref(struct mhd_req *r);
void mhd_req_unref(struct mhd_req *r);

/// Count bytes that a request holds towards max_held until it is freed.
void mhd_req_add_held(struct mhd_req *r, size_t more);

void mhd_req_sub_held(struct mhd_req *r, size_t less);

/// Count bytes towards max_held if they fit. Requests of operators are few and small: the
/// limit does not apply to them.
bool mhd_req_reserve(struct mhd_req *r, size_t more);

/// Store the method and headers and check path, body length and memory.
///
/// @return ERR_OK, or why the request is refused
enum err mhd_req_headers(struct mhd_req *r, const char *method);

/// Append bytes of the body; those of a refused request are discarded.
///
/// @return ERR_OK; ERR_TOO_LARGE or ERR_NOMEM: close the connection
enum err mhd_req_body(struct mhd_req *r, const char *data, size_t len);

/// Post the request to the reader and suspend the connection.
///
/// @return ERR_OK, ERR_HTTP_BUSY or ERR_NOMEM
enum err mhd_req_post(struct mhd_req *r);

/// Hand the reader's answer to libmicrohttpd.
enum MHD_Result mhd_req_queue(struct mhd_req *r);

/// Answer with an error, from the listener's thread.
enum MHD_Result mhd_req_refuse(struct mhd_req *r, enum err e);

/// libmicrohttpd has completed or aborted the request: release its reference.
void mhd_req_close(struct mhd_req *r);

/// Post HTTP_CLIENT_GONE, once, unless the answer is complete. The lock must be held.
void mhd_req_gone(struct mhd_req *r);

/// Resume the connection if it is suspended. The lock must be held.
void mhd_req_resume(struct mhd_req *r);

/// Implementations of the functions of struct http_ops.
void mhd_header(struct http_req *req, const char *name, const char *value);
void mhd_end_by_close(struct http_req *req);
void mhd_answer(struct http_req *req, int status, const char *ctype,
		const void *body, size_t len);
void mhd_stream_begin(struct http_req *req, int status, const char *ctype);
enum err mhd_stream_write(struct http_req *req, const void *data, size_t len);
void mhd_stream_end(struct http_req *req, bool complete);
void mhd_drop(struct http_req *req);
