// Receives a request and posts it to the reader: headers, body, references.
#include "mhd_req.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>

#include "base/clock.h"
#include "base/mbox.h"
#include "base/metric.h"
#include "http/syntax.h"

enum {
	REQ_ARENA_MAX = 1048576, ///< bytes of headers, answer headers, queries
	REQ_BODY_MIN_BYTES = 1024, ///< initial bytes of a body buffer
	/// Bytes read past max_body so that the error can be answered.
	REQ_EXCESS_MAX_BYTES = 1048576,
};

/// Split a URI into path and query. Fails if the arena is full.
static bool req_split_uri(struct http_req *p, const char *uri)
{
	const char *q = strchr(uri, '?');
	size_t len = q ? (size_t)(q - uri) : strlen(uri);

	p->path = arena_strndup(&p->arena, uri, len);
	p->query = arena_strdup(&p->arena, q ? q + 1 : "");
	return p->path && p->query;
}

struct mhd_req *mhd_req_new(struct mhd_listener *acceptor, const char *uri)
{
	struct mhd_req *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	atomic_fetch_add(&acceptor->server->n_open, 1);
	atomic_init(&r->refs, 1);
	pthread_mutex_init(&r->lock, NULL);
	arena_init(&r->pub.arena, REQ_ARENA_MAX);
	r->acceptor = acceptor;
	r->pub.listener = acceptor->index;
	r->pub.arrived_ms = clock_now_ms();
	r->req_event = (struct http_event){HTTP_REQ, &r->pub};
	r->gone_event = (struct http_event){HTTP_CLIENT_GONE, &r->pub};
	if (!req_split_uri(&r->pub, uri))
		r->refuse_err = ERR_TOO_LARGE;
	return r;
}

void mhd_req_add_held(struct mhd_req *r, size_t more)
{
	atomic_fetch_add(&r->held_bytes, more);
	atomic_fetch_add(&r->acceptor->server->held_bytes, more);
}

void mhd_req_sub_held(struct mhd_req *r, size_t less)
{
	atomic_fetch_sub(&r->held_bytes, less);
	atomic_fetch_sub(&r->acceptor->server->held_bytes, less);
}

bool mhd_req_reserve(struct mhd_req *r, size_t more)
{
	struct http_server *server = r->acceptor->server;
	size_t held = atomic_fetch_add(&server->held_bytes, more);

	atomic_fetch_add(&r->held_bytes, more);
	if (!server->opts.max_held || r->pub.listener != 0 ||
	    held + more <= server->opts.max_held)
		return true;
	mhd_req_sub_held(r, more);
	return false;
}

void mhd_req_ref(struct mhd_req *r)
{
	atomic_fetch_add(&r->refs, 1);
}

void mhd_req_unref(struct mhd_req *r)
{
	struct http_server *server = r->acceptor->server;

	if (atomic_fetch_sub(&r->refs, 1) != 1)
		return;
	if (r->counted_live) {
		unsigned int n = atomic_fetch_sub(&server->n_live, 1);

		metric_set(M_HTTP_LIVE, n - 1);
	}
	atomic_fetch_sub(&server->held_bytes, atomic_load(&r->held_bytes));
	if (r->response)
		MHD_destroy_response(r->response);
	pthread_mutex_destroy(&r->lock);
	arena_free(&r->pub.arena);
	free(r->pub.body);
	free(r->buf);
	free(r);
	atomic_fetch_sub(&server->n_open, 1);
}

static void store_bearer(struct http_req *p, const char *value)
{
	static const char scheme[] = "Bearer ";
	size_t len = sizeof(scheme) - 1;

	if (strncasecmp(value, scheme, len) == 0 && value[len])
		p->bearer = arena_strdup(&p->arena, value + len);
}

/* A request has one host. */
static bool host_valid(const struct http_req *p, const char *value)
{
	return !http_req_header(p, "Host") &&
	       (!*value || http_host_valid(value));
}

static enum MHD_Result store_header(void *ctx, enum MHD_ValueKind kind,
				    const char *name, const char *value)
{
	struct mhd_req *r = ctx;
	struct http_req *p = &r->pub;
	struct http_pair *h;

	value = value ? value : "";
	if (strcasecmp(name, "Authorization") == 0) {
		store_bearer(p, value);
		return MHD_YES;
	}
	if (p->n_headers == HTTP_MAX_HEADERS) {
		r->refuse_err = ERR_TOO_LARGE;
		return MHD_NO;
	}
	if (!http_name_valid(name) || !http_value_valid(value) ||
	    (strcasecmp(name, "Host") == 0 && !host_valid(p, value))) {
		r->refuse_err = ERR_HTTP_FIELD;
		return MHD_NO;
	}
	h = &p->headers[p->n_headers];
	h->name = arena_strdup(&p->arena, name);
	h->value = arena_strdup(&p->arena, value);
	if (!h->name || !h->value) {
		r->refuse_err = ERR_TOO_LARGE;
		return MHD_NO;
	}
	p->n_headers++;
	return MHD_YES;
}

enum err mhd_req_headers(struct mhd_req *r, const char *method)
{
	struct http_req *p = &r->pub;
	unsigned long long len;
	const char *length;

	r->headers_parsed = true;
	p->method = arena_strdup(&p->arena, method);
	MHD_get_connection_values(r->conn, MHD_HEADER_KIND, store_header, r);
	if (r->refuse_err != ERR_OK)
		return r->refuse_err;
	if (!http_path_valid(p->path) ||
	    (*p->query && !http_word_valid(p->query)) || strchr(p->query, '#'))
		return ERR_HTTP_PATH;
	length = http_req_header(p, "Content-Length");
	len = length ? strtoull(length, NULL, 10) : 0;
	if (len > atomic_load(&r->acceptor->server->max_body))
		return ERR_TOO_LARGE;
	r->reserved = len ? len + 1 : 0;
	if (mhd_req_reserve(r, r->reserved))
		return ERR_OK;
	r->reserved = 0;
	if (!len || http_req_header(p, "Expect"))
		return ERR_HTTP_BUSY;
	/* A connection that is closed while its client sends loses the answer: the body is
	 * discarded first. */
	r->refuse_err = ERR_HTTP_BUSY;
	return ERR_OK;
}

/* Size of the buffer for a body: its length if it is known. */
static size_t body_cap_for(const struct mhd_req *r, size_t need)
{
	size_t cap = r->body_cap ? r->body_cap : REQ_BODY_MIN_BYTES;

	if (need <= r->reserved)
		return r->reserved;
	while (cap < need)
		cap *= 2;
	return cap;
}

static enum err body_grow(struct mhd_req *r, size_t need)
{
	size_t cap = body_cap_for(r, need);
	size_t counted = r->body_cap > r->reserved ? r->body_cap : r->reserved;
	char *p;

	if (cap == r->body_cap)
		return ERR_OK;
	/* The number of connections bounds the smallest buffers. */
	if (cap <= REQ_BODY_MIN_BYTES)
		mhd_req_add_held(r, cap - counted);
	else if (cap > counted && !mhd_req_reserve(r, cap - counted))
		return ERR_HTTP_BUSY;
	p = realloc(r->pub.body, cap);
	if (!p)
		return ERR_NOMEM;
	r->pub.body = p;
	r->body_cap = cap;
	return ERR_OK;
}

/* Gives back what a refused request holds while the rest of its body is discarded. */
static void body_discard(struct mhd_req *r, enum err e)
{
	size_t counted = r->body_cap > r->reserved ? r->body_cap : r->reserved;

	r->refuse_err = e;
	free(r->pub.body);
	r->pub.body = NULL;
	r->body_cap = 0;
	r->reserved = 0;
	mhd_req_sub_held(r, counted);
}

enum err mhd_req_body(struct mhd_req *r, const char *data, size_t len)
{
	struct http_req *p = &r->pub;
	size_t max = atomic_load(&r->acceptor->server->max_body);
	enum err e = r->refuse_err;

	if (e == ERR_OK)
		e = p->body_len + len > max
			    ? ERR_TOO_LARGE
			    : body_grow(r, p->body_len + len + 1);
	if (e != ERR_OK) {
		if (r->refuse_err == ERR_OK)
			body_discard(r, e);
		p->body_len += len;
		return p->body_len > max + REQ_EXCESS_MAX_BYTES ? ERR_TOO_LARGE
								: ERR_OK;
	}
	memcpy(p->body + p->body_len, data, len);
	p->body_len += len;
	p->body[p->body_len] = '\0';
	return ERR_OK;
}

static int req_socket(const struct mhd_req *r)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info->connect_fd;
}

/// Watch the socket for the client's close: a suspended connection is not read.
static void watch_add(struct mhd_req *r)
{
	struct epoll_event ev = {
		.events = EPOLLRDHUP | EPOLLONESHOT,
		.data.ptr = r,
	};

	r->watched = epoll_ctl(r->acceptor->server->watch_epoll, EPOLL_CTL_ADD,
			       req_socket(r), &ev) == 0;
}

static void watch_del(struct mhd_req *r)
{
	if (r->watched)
		epoll_ctl(r->acceptor->server->watch_epoll, EPOLL_CTL_DEL,
			  req_socket(r), NULL);
	r->watched = false;
}

static void req_wait(struct mhd_req *r)
{
	r->posted = true;
	r->phase = MHD_PHASE_WAIT;
	MHD_suspend_connection(r->conn);
	r->suspended = true;
	watch_add(r);
}

enum err mhd_req_post(struct mhd_req *r)
{
	struct http_server *server = r->acceptor->server;
	unsigned int n_live = atomic_fetch_add(&server->n_live, 1);
	enum err e;

	r->counted_live = true;
	if (n_live >= server->opts.max_requests)
		return ERR_HTTP_BUSY;
	e = body_grow(r, r->pub.body_len + 1);
	if (e != ERR_OK)
		return e;
	r->pub.body[r->pub.body_len] = '\0';
	metric_set(M_HTTP_LIVE, n_live + 1);
	metric_add(M_HTTP_REQUESTS, 1);
	pthread_mutex_lock(&r->lock);
	mhd_req_ref(r);
	e = mbox_put(server->opts.events, &r->req_event);
	if (e == ERR_OK)
		req_wait(r);
	pthread_mutex_unlock(&r->lock);
	if (e == ERR_OK)
		return ERR_OK;
	mhd_req_unref(r);
	return ERR_HTTP_BUSY;
}

void mhd_req_resume(struct mhd_req *r)
{
	if (!r->suspended)
		return;
	r->suspended = false;
	watch_del(r);
	MHD_resume_connection(r->conn);
}

void mhd_req_gone(struct mhd_req *r)
{
	if (r->gone_posted || r->answer_ended || r->phase == MHD_PHASE_BODY)
		return;
	r->gone_posted = true;
	mhd_req_ref(r);
	if (mbox_put(r->acceptor->server->opts.events, &r->gone_event) !=
	    ERR_OK)
		abort(); /* The mailbox has an entry for it: see struct http_opts. */
}

void mhd_req_close(struct mhd_req *r)
{
	pthread_mutex_lock(&r->lock);
	r->mhd_done = true;
	mhd_req_gone(r);
	pthread_mutex_unlock(&r->lock);
	mhd_req_unref(r);
}
