// A request with its place at the server: shared by a listener's thread and
// the mailbox's reader.
#pragma once

#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>

#include "http/http.h"

struct mhd_listener {
	struct http_edge *edge;
	int index; ///< into http_opts.listen
	struct MHD_Daemon *daemon;
	MHD_socket quiesced; ///< listening socket after quiesce
};

enum mhd_phase {
	MHD_PHASE_BODY, ///< the body is arriving
	MHD_PHASE_WAIT, ///< the reader has it; the connection is suspended
	MHD_PHASE_ANSWER, ///< status and headers are known
	MHD_PHASE_DROP, ///< the connection is to be closed
};

struct mhd_req {
	struct http_req pub; ///< first: the reader's view
	struct mhd_listener *at;
	struct MHD_Connection *conn;
	atomic_int refs; ///< listener's thread, reader, event
	struct http_event req_event;
	struct http_event gone_event;
	size_t body_cap; ///< bytes of pub.body
	atomic_size_t held; ///< bytes counted in the edge's
	bool seen; ///< the headers were taken
	bool posted; ///< the reader was given the request
	bool counted; ///< among the edge's requests
	enum err refuse; ///< answer at once with this

	pthread_mutex_t lock; ///< guards what follows
	enum mhd_phase phase;
	bool suspended;
	bool watched; ///< its socket is watched for the caller going away
	bool closed; ///< the listener's thread is done with it
	bool ended; ///< the reader is done with it
	bool gone_posted;
	bool queued; ///< the answer was handed to the server
	int status;
	struct MHD_Response *response; ///< headers; the body of a whole answer
	bool stream; ///< chunked
	bool whole; ///< of an ended stream
	char *buf; ///< bytes of a stream that wait
	size_t buf_len; ///< bytes in buf
	size_t buf_at; ///< first unread byte
	size_t buf_cap; ///< bytes
	struct http_pair *added; ///< answer headers, in the arena
	size_t n_added;
};

struct http_edge {
	struct http_opts opts;
	struct mhd_listener listeners[HTTP_LISTENERS];
	int n_listeners;
	int watch; ///< epoll of suspended connections' sockets
	struct conn_table *conns;
	atomic_uint live; ///< requests that the reader may still hold
	atomic_uint open; ///< requests not yet freed
	atomic_size_t max_body;
	atomic_size_t held; ///< bytes of bodies and of answers not written yet
	atomic_bool draining;
};

/// Entry of a connection in the edge's table, NULL if it has none.
struct conn *mhd_conn_of(struct MHD_Connection *conn);

/// New request with one reference.
///
/// @param uri  path and query as sent
/// @return request, NULL when out of memory
struct mhd_req *mhd_req_new(struct mhd_listener *at, const char *uri);

void mhd_req_ref(struct mhd_req *r);
void mhd_req_unref(struct mhd_req *r);

/// Count bytes that a request holds until it is freed.
void mhd_req_hold(struct mhd_req *r, size_t more);

/// Whether so many more bytes would be too many.
bool mhd_req_crowded(const struct mhd_req *r, size_t more);

/// Take the method and headers.
///
/// @return ERR_OK, or why the request is refused
enum err mhd_req_headers(struct mhd_req *r, const char *method);

/// Take a piece of the body.
///
/// @return ERR_OK, ERR_TOO_LARGE, ERR_NOMEM
enum err mhd_req_body(struct mhd_req *r, const char *data, size_t len);

/// Hand the request to the reader and suspend the connection.
///
/// @return ERR_OK or ERR_HTTP_BUSY
enum err mhd_req_post(struct mhd_req *r);

/// Queue the answer that the reader made.
enum MHD_Result mhd_req_queue(struct mhd_req *r);

/// Queue an error answer from the listener's thread.
enum MHD_Result mhd_req_refuse(struct mhd_req *r, enum err e);

/// The server is done with the request.
void mhd_req_close(struct mhd_req *r);

/// Tell the reader that the caller went away, once. Called locked.
void mhd_req_gone(struct mhd_req *r);

/// Let the connection go on. Called locked.
void mhd_req_resume(struct mhd_req *r);

/// Functions of struct http_ops.
void mhd_header(struct http_req *req, const char *name, const char *value);
void mhd_answer(struct http_req *req, int status, const char *ctype,
		const void *body, size_t len);
void mhd_stream_begin(struct http_req *req, int status, const char *ctype);
enum err mhd_stream_write(struct http_req *req, const void *data, size_t len);
void mhd_stream_end(struct http_req *req, bool whole);
void mhd_drop(struct http_req *req);
