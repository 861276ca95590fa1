// HTTP server with libmicrohttpd: one thread per listener.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/metric.h"
#include "conn_table.h"
#include "mhd_req.h"

enum {
	/// Bytes per connection; limits a request's headers.
	HTTP_CONN_MEMORY_BYTES = 16384,
	HTTP_WATCH_BATCH = 64,
	MS_PER_S = 1000,
};

struct conn *mhd_conn_of(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

static void *on_uri(void *ctx, const char *uri, struct MHD_Connection *conn)
{
	struct mhd_listener *l = ctx;
	struct mhd_req *r = mhd_req_new(l, uri);

	if (!r)
		return NULL;
	r->conn = conn;
	conn_set_waiting(l->server->conns, mhd_conn_of(conn), true,
			 r->pub.arrived_ms);
	return r;
}

/// Leave the path as sent: no percent-decoding.
static size_t on_unescape(void *ctx, struct MHD_Connection *conn, char *s)
{
	return strlen(s);
}

static void on_log(void *ctx, const char *fmt, va_list ap)
{
	/* Only malformed requests, which are answered with an error. */
}

static void on_connection(void *ctx, struct MHD_Connection *conn,
			  void **socket_ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	struct mhd_listener *l = ctx;
	struct conn_table *t = l->server->conns;
	const union MHD_ConnectionInfo *info;
	int bytes = l->server->opts.send_buffer;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		conn_del(t, *socket_ctx);
		*socket_ctx = NULL;
		return;
	}
	info = MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	/* Otherwise the kernel grows the buffer to megabytes if a client doesn't read. */
	if (bytes)
		setsockopt(info->connect_fd, SOL_SOCKET, SO_SNDBUF, &bytes,
			   sizeof(bytes));
	*socket_ctx = conn_add(t, info->connect_fd, clock_now_ms());
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **con_cls,
			 enum MHD_RequestTerminationCode code)
{
	struct mhd_listener *l = ctx;

	conn_set_waiting(l->server->conns, mhd_conn_of(conn), true,
			 clock_now_ms());
	if (*con_cls)
		mhd_req_close(*con_cls);
	*con_cls = NULL;
}

static enum MHD_Result on_complete_request(struct mhd_listener *l,
					   struct mhd_req *r)
{
	enum err e = r->refuse_err;

	conn_set_waiting(l->server->conns, mhd_conn_of(r->conn), false, 0);
	if (e == ERR_OK)
		e = mhd_req_post(r);
	return e == ERR_OK ? MHD_YES : mhd_req_refuse(r, e);
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **con_cls)
{
	struct mhd_req *r = *con_cls;

	if (!r)
		return MHD_NO;
	if (!r->headers_parsed) {
		enum err e = mhd_req_headers(r, method);

		return e == ERR_OK ? MHD_YES : mhd_req_refuse(r, e);
	}
	if (*len) {
		enum err e = mhd_req_body(r, data, *len);

		*len = 0;
		return e == ERR_OK ? MHD_YES : MHD_NO;
	}
	return r->posted ? mhd_req_queue(r) : on_complete_request(ctx, r);
}

static bool parse_addr(const char *text, struct sockaddr_in *sa)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	int port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = atoi(colon + 1);
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	return port > 0 && port < 65536 &&
	       inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

static bool listener_start(struct http_server *h, int i)
{
	struct mhd_listener *l = &h->listeners[i];
	int64_t idle_s = (h->opts.idle_timeout_ms + MS_PER_S - 1) / MS_PER_S;
	struct sockaddr_in sa;

	l->server = h;
	l->index = i;
	l->quiesced_fd = MHD_INVALID_SOCKET;
	if (!parse_addr(h->opts.listen[i], &sa))
		return false;
	l->daemon = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
			MHD_USE_ITC | MHD_USE_ERROR_LOG,
		0, NULL, NULL, on_request, l, MHD_OPTION_EXTERNAL_LOGGER,
		on_log, NULL, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_CONNECTION_LIMIT, h->opts.max_connections,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)HTTP_CONN_MEMORY_BYTES, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)idle_s, MHD_OPTION_URI_LOG_CALLBACK, on_uri, l,
		MHD_OPTION_UNESCAPE_CALLBACK, on_unescape, NULL,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, l,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, l,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	return l->daemon != NULL;
}

static void mhd_quiesce(struct http_server *h)
{
	for (int i = 0; i < h->n_listeners; i++) {
		struct mhd_listener *l = &h->listeners[i];

		if (l->quiesced_fd != MHD_INVALID_SOCKET)
			continue;
		l->quiesced_fd = MHD_quiesce_daemon(l->daemon);
		if (l->quiesced_fd != MHD_INVALID_SOCKET)
			close(l->quiesced_fd);
	}
}

static void mhd_stop(struct http_server *h)
{
	for (int i = 0; i < h->n_listeners; i++)
		MHD_stop_daemon(h->listeners[i].daemon);
	if (h->watch_epoll >= 0)
		close(h->watch_epoll);
	conn_table_free(h->conns);
	free(h);
}

static enum err mhd_start(const struct http_opts *opts,
			  struct http_server **out)
{
	struct http_server *h = calloc(1, sizeof(*h));

	if (!h)
		return ERR_NOMEM;
	h->opts = *opts;
	atomic_init(&h->max_body, opts->max_body);
	h->conns = conn_table_new();
	h->watch_epoll = epoll_create1(EPOLL_CLOEXEC);
	if (!h->conns || h->watch_epoll < 0)
		goto err;
	for (int i = 0; i < HTTP_LISTENERS; i++) {
		if (!listener_start(h, i))
			goto err;
		h->n_listeners++;
	}
	*out = h;
	return ERR_OK;

err:
	mhd_stop(h);
	return ERR_SYS;
}

static int mhd_poll_fd(struct http_server *h)
{
	return h->watch_epoll;
}

static void mhd_poll(struct http_server *h, int64_t now_ms)
{
	struct epoll_event evs[HTTP_WATCH_BATCH];
	int n = epoll_wait(h->watch_epoll, evs, HTTP_WATCH_BATCH, 0);

	for (int i = 0; i < n; i++) {
		struct mhd_req *r = evs[i].data.ptr;

		pthread_mutex_lock(&r->lock);
		mhd_req_gone(r);
		pthread_mutex_unlock(&r->lock);
	}
	n = conn_table_close_expired(h->conns, now_ms,
				     h->opts.receive_timeout_ms);
	if (n)
		metric_add(M_HTTP_SLOW, (uint64_t)n);
	n = conn_table_close_unread(h->conns, now_ms,
				    h->opts.unread_timeout_ms);
	if (n)
		metric_add(M_HTTP_UNREAD, (uint64_t)n);
	metric_set(M_HTTP_HELD, atomic_load(&h->held_bytes));
}

static void mhd_set_max_body(struct http_server *h, size_t max_body)
{
	atomic_store(&h->max_body, max_body);
}

static unsigned int mhd_open(struct http_server *h)
{
	return atomic_load(&h->n_open);
}

static void mhd_drain(struct http_server *h)
{
	atomic_store(&h->draining, true);
}

static void mhd_gone_done(struct http_req *r)
{
	mhd_req_unref((struct mhd_req *)r);
}

const struct http_ops http_mhd_ops = {
	.start = mhd_start,
	.release_gone = mhd_gone_done,
	.header = mhd_header,
	.end_by_close = mhd_end_by_close,
	.answer = mhd_answer,
	.stream_begin = mhd_stream_begin,
	.stream_write = mhd_stream_write,
	.stream_end = mhd_stream_end,
	.drop = mhd_drop,
	.poll_fd = mhd_poll_fd,
	.poll = mhd_poll,
	.set_max_body = mhd_set_max_body,
	.open = mhd_open,
	.drain = mhd_drain,
	.quiesce = mhd_quiesce,
	.stop = mhd_stop,
};
