// Answers: complete ones, chunked ones with a bounded buffer, and errors.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "conn_table.h"
#include "mhd_req.h"

enum {
	ANSWER_MAX_HEADERS = 64, ///< most header fields that the reader may add
	STREAM_BLOCK_BYTES = 16384, ///< read at once by libmicrohttpd
	STREAM_BUF_MIN_BYTES = 1024, ///< initial bytes of a stream's buffer
};

static struct mhd_req *req_of(struct http_req *req)
{
	return (struct mhd_req *)req;
}

void mhd_header(struct http_req *req, const char *name, const char *value)
{
	struct mhd_req *r = req_of(req);
	struct http_pair *h;

	if (!r->out_headers)
		r->out_headers = arena_alloc(&req->arena,
					     ANSWER_MAX_HEADERS *
						     sizeof(*r->out_headers));
	if (!r->out_headers || r->n_out_headers == ANSWER_MAX_HEADERS)
		return;
	h = &r->out_headers[r->n_out_headers++];
	h->name = arena_strdup(&req->arena, name);
	h->value = arena_strdup(&req->arena, value);
}

static void answer_headers(struct mhd_req *r, struct MHD_Response *resp,
			   const char *ctype)
{
	if (ctype && *ctype)
		MHD_add_response_header(resp, MHD_HTTP_HEADER_CONTENT_TYPE,
					ctype);
	for (size_t i = 0; i < r->n_out_headers; i++) {
		if (r->out_headers[i].name && r->out_headers[i].value)
			MHD_add_response_header(resp, r->out_headers[i].name,
						r->out_headers[i].value);
	}
	if (atomic_load(&r->acceptor->server->draining))
		MHD_add_response_header(resp, MHD_HTTP_HEADER_CONNECTION,
					"close");
}

/// Hand the answer to the listener's thread. The lock must be held.
static void answer_ready(struct mhd_req *r, int status,
			 struct MHD_Response *resp)
{
	r->status = status;
	r->response = resp;
	r->phase = resp ? MHD_PHASE_ANSWER : MHD_PHASE_DROP;
	mhd_req_resume(r);
}

void mhd_end_by_close(struct http_req *req)
{
	req_of(req)->ends_by_close = true;
}

/// Body of an answer without a length.
struct unframed {
	size_t len; ///< bytes
	char data[];
};

static ssize_t unframed_read(void *ctx, uint64_t pos, char *out, size_t max)
{
	const struct unframed *u = ctx;
	size_t n = u->len - (size_t)pos < max ? u->len - (size_t)pos : max;

	if (!n)
		return MHD_CONTENT_READER_END_OF_STREAM;
	memcpy(out, u->data + pos, n);
	return (ssize_t)n;
}

/* HTTP/1.0 has no chunks, whose last one would say that the body is whole. */
static struct MHD_Response *unframed_response(const void *body, size_t len)
{
	struct unframed *u = malloc(sizeof(*u) + len);
	struct MHD_Response *resp;

	if (!u)
		return NULL;
	u->len = len;
	if (len)
		memcpy(u->data, body, len);
	resp = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, unframed_read, u, free);
	if (!resp)
		free(u);
	else
		MHD_set_response_options(
			resp, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
	return resp;
}

void mhd_answer(struct http_req *req, int status, const char *ctype,
		const void *body, size_t len)
{
	struct mhd_req *r = req_of(req);
	struct MHD_Response *resp =
		r->ends_by_close
			? unframed_response(body, len)
			: MHD_create_response_from_buffer(
				  len, (void *)body, MHD_RESPMEM_MUST_COPY);

	if (resp) {
		answer_headers(r, resp, ctype);
		mhd_req_add_held(r, len);
	}
	pthread_mutex_lock(&r->lock);
	answer_ready(r, status, resp);
	r->answer_ended = true;
	pthread_mutex_unlock(&r->lock);
	mhd_req_unref(r);
}

void mhd_drop(struct http_req *req)
{
	struct mhd_req *r = req_of(req);

	pthread_mutex_lock(&r->lock);
	if (r->phase == MHD_PHASE_WAIT)
		r->phase = MHD_PHASE_DROP;
	r->answer_ended = true;
	r->stream_complete = false;
	mhd_req_resume(r);
	pthread_mutex_unlock(&r->lock);
	mhd_req_unref(r);
}

/// Called by libmicrohttpd for the next bytes of a stream, on the listener's thread.
static ssize_t stream_read(void *ctx, uint64_t pos, char *out, size_t max)
{
	struct mhd_req *r = ctx;
	size_t n;
	ssize_t res;

	pthread_mutex_lock(&r->lock);
	n = r->buf_len < max ? r->buf_len : max;
	if (n) {
		memcpy(out, r->buf + r->buf_start, n);
		r->buf_start += n;
		r->buf_len -= n;
		res = (ssize_t)n;
	} else if (r->answer_ended) {
		res = r->stream_complete ? MHD_CONTENT_READER_END_OF_STREAM
					 : MHD_CONTENT_READER_END_WITH_ERROR;
	} else {
		MHD_suspend_connection(r->conn);
		r->suspended = true;
		res = 0;
	}
	pthread_mutex_unlock(&r->lock);
	return res;
}

static void stream_free(void *ctx)
{
	mhd_req_unref(ctx);
}

void mhd_stream_begin(struct http_req *req, int status, const char *ctype)
{
	struct mhd_req *r = req_of(req);
	struct MHD_Response *resp;

	mhd_req_ref(r);
	resp = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
						 STREAM_BLOCK_BYTES,
						 stream_read, r, stream_free);
	if (resp)
		answer_headers(r, resp, ctype);
	else
		mhd_req_unref(r);
	pthread_mutex_lock(&r->lock);
	r->stream = true;
	answer_ready(r, status, resp);
	pthread_mutex_unlock(&r->lock);
}

static bool buf_reserve(struct mhd_req *r, size_t len)
{
	size_t cap = r->buf_cap ? r->buf_cap : STREAM_BUF_MIN_BYTES;
	char *p;

	if (r->buf_start) {
		memmove(r->buf, r->buf + r->buf_start, r->buf_len);
		r->buf_start = 0;
	}
	while (cap < r->buf_len + len)
		cap *= 2;
	if (cap == r->buf_cap)
		return true;
	p = realloc(r->buf, cap);
	if (!p)
		return false;
	r->buf = p;
	mhd_req_add_held(r, cap - r->buf_cap);
	r->buf_cap = cap;
	return true;
}

enum err mhd_stream_write(struct http_req *req, const void *data, size_t len)
{
	struct mhd_req *r = req_of(req);
	enum err e = ERR_OK;

	pthread_mutex_lock(&r->lock);
	if (r->mhd_done || r->phase == MHD_PHASE_DROP) {
		e = ERR_CLOSED;
	} else if (r->buf_len + len > HTTP_STREAM_BUF_BYTES ||
		   !buf_reserve(r, len)) {
		e = ERR_FULL;
	} else {
		memcpy(r->buf + r->buf_len, data, len);
		r->buf_len += len;
		mhd_req_resume(r);
	}
	pthread_mutex_unlock(&r->lock);
	return e;
}

void mhd_stream_end(struct http_req *req, bool complete)
{
	struct mhd_req *r = req_of(req);

	pthread_mutex_lock(&r->lock);
	r->answer_ended = true;
	r->stream_complete = complete;
	mhd_req_resume(r);
	pthread_mutex_unlock(&r->lock);
	mhd_req_unref(r);
}

enum MHD_Result mhd_req_queue(struct mhd_req *r)
{
	enum MHD_Result res = MHD_NO;
	struct MHD_Response *resp = NULL;

	pthread_mutex_lock(&r->lock);
	if (r->phase == MHD_PHASE_ANSWER && !r->queued) {
		resp = r->response;
		r->response = NULL;
		r->queued = true;
	}
	pthread_mutex_unlock(&r->lock);
	if (!resp)
		return MHD_NO;
	conn_set_answering(r->acceptor->server->conns, mhd_conn_of(r->conn));
	res = MHD_queue_response(r->conn, (unsigned int)r->status, resp);
	MHD_destroy_response(resp);
	return res;
}

enum MHD_Result mhd_req_refuse(struct mhd_req *r, enum err e)
{
	char *text = http_err_body(e, RUN_NO, 0, NULL);
	struct MHD_Response *resp;
	enum MHD_Result res;

	metric_add(M_HTTP_REFUSED, 1);
	if (!text)
		return MHD_NO;
	resp = MHD_create_response_from_buffer(strlen(text), text,
					       MHD_RESPMEM_MUST_FREE);
	if (!resp) {
		free(text);
		return MHD_NO;
	}
	MHD_add_response_header(resp, MHD_HTTP_HEADER_CONTENT_TYPE,
				"application/json");
	MHD_add_response_header(resp, "Catkin-Run", run_state_name(RUN_NO));
	MHD_add_response_header(resp, MHD_HTTP_HEADER_CONNECTION, "close");
	res = MHD_queue_response(r->conn, (unsigned int)err_http(e), resp);
	MHD_destroy_response(resp);
	return res;
}
