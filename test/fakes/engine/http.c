// HTTP handlers: one thread per connection, a table of routes.
#include "http.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "cache.h"
#include "fault.h"
#include "load.h"
#include "stream.h"
#include "weights.h"

enum {
	HTTP_READ_MAX = 65536, ///< bytes of a stream read at once
	HTTP_KEY_LEN_MIN = 8, ///< characters after "ck_" that make a key
};

/// A request body, while it arrives.
struct http_request {
	char *body;
	size_t len; ///< bytes
};

struct http_stream {
	struct engine *e;
	struct stream *s;
};

static enum MHD_Result http_reply(struct MHD_Connection *conn, int status,
				  json_t *obj)
{
	char *text = obj ? json_dumps(obj, JSON_COMPACT) : strdup("{}");
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result res;

	MHD_add_response_header(r, "Content-Type", "application/json");
	res = MHD_queue_response(conn, (unsigned int)status, r);
	MHD_destroy_response(r);
	json_decref(obj);
	return res;
}

static ssize_t http_stream_read(void *ctx, uint64_t pos, char *buf, size_t max)
{
	struct http_stream *h = ctx;
	ssize_t n = stream_read(h->e, h->s, buf, max);

	if (n < 0)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	return n > 0 ? n : MHD_CONTENT_READER_END_OF_STREAM;
}

static void http_stream_free(void *ctx)
{
	struct http_stream *h = ctx;

	stream_close(h->e, h->s);
	free(h);
}

static enum MHD_Result
http_generate(struct engine *e, struct MHD_Connection *conn, const json_t *body)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct http_stream *h = malloc(sizeof(*h));
	struct MHD_Response *r;
	enum MHD_Result res;
	int status;

	h->e = e;
	status = stream_open(e, body, info->connect_fd, &h->s);
	if (status != 200) {
		free(h);
		return status ? http_reply(conn, status, NULL) : MHD_NO;
	}
	r = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, HTTP_READ_MAX,
					      http_stream_read, h,
					      http_stream_free);
	MHD_add_response_header(r, "Content-Type", "application/x-ndjson");
	res = MHD_queue_response(conn, 200, r);
	MHD_destroy_response(r);
	return res;
}

static enum MHD_Result
http_cancel(struct engine *e, struct MHD_Connection *conn, const json_t *body)
{
	const char *id = json_string_value(json_object_get(body, "id"));

	return http_reply(conn, stream_cancel(e, id), NULL);
}

static enum MHD_Result http_load(struct engine *e, struct MHD_Connection *conn,
				 const json_t *body)
{
	return http_reply(conn, 200, load_report(e, clock_now_ms()));
}

static enum MHD_Result http_cache(struct engine *e, struct MHD_Connection *conn,
				  const json_t *body)
{
	const char *after = MHD_lookup_connection_value(
		conn, MHD_GET_ARGUMENT_KIND, "after");
	uint64_t seq = after ? strtoull(after, NULL, 10) : 0;

	return http_reply(conn, 200, cache_events(e, seq, clock_now_ms()));
}

static enum MHD_Result
http_weights(struct engine *e, struct MHD_Connection *conn, const json_t *body)
{
	const json_t *version = json_object_get(body, "version");
	const json_t *epoch = json_object_get(body, "epoch");

	if (!json_is_integer(version) || !json_is_integer(epoch))
		return http_reply(conn, 400, NULL);
	return http_reply(conn,
			  weights_order(e,
					(uint64_t)json_integer_value(version),
					(uint64_t)json_integer_value(epoch),
					clock_now_ms()),
			  NULL);
}

static enum MHD_Result http_stats(struct engine *e, struct MHD_Connection *conn,
				  const json_t *body)
{
	return http_reply(conn, 200, load_stats(e));
}

static enum MHD_Result http_fault(struct engine *e, struct MHD_Connection *conn,
				  const json_t *body)
{
	return http_reply(conn, fault_set(e, body), NULL);
}

static const struct {
	const char *method;
	const char *path;
	enum MHD_Result (*fn)(struct engine *e, struct MHD_Connection *conn,
			      const json_t *body);
} http_routes[] = {
	{"POST", "/v1/generate", http_generate},
	{"POST", "/v1/cancel", http_cancel},
	{"GET", "/v1/load", http_load},
	{"GET", "/v1/cache", http_cache},
	{"POST", "/v1/weights", http_weights},
	{"GET", "/fake/stats", http_stats},
	{"POST", "/fake/fault", http_fault},
};

/* Whether a text contains a caller's key, such as ck_ID_SECRET. */
static bool http_contains_key(const char *text, size_t len)
{
	const char *end = text + len;
	const char *p;
	size_t n = 0;

	if (!text || len == 0)
		return false;
	p = memmem(text, len, "ck_", 3);
	if (!p)
		return false;
	for (p += 3; p < end && (isalnum((unsigned char)*p) || *p == '_'); p++)
		n++;
	return n >= HTTP_KEY_LEN_MIN;
}

static enum MHD_Result http_check_header(void *ctx, enum MHD_ValueKind kind,
					 const char *name, const char *value)
{
	bool *leak = ctx;

	if (strcasecmp(name, "Authorization") == 0 ||
	    strcasecmp(name, "Idempotency-Key") == 0 ||
	    (value && http_contains_key(value, strlen(value))))
		*leak = true;
	return MHD_YES;
}

/* An engine must never receive a caller's key; once it does, all requests fail
   except tests'. */
static bool http_key_received(struct engine *e, struct MHD_Connection *conn,
			      const char *url, const struct http_request *req)
{
	bool leak = http_contains_key(req->body, req->len) ||
		    http_contains_key(url, strlen(url));
	bool key_received;

	MHD_get_connection_values(conn, MHD_HEADER_KIND, http_check_header,
				  &leak);
	pthread_mutex_lock(&e->lock);
	if (leak) {
		e->key_leaks++;
		e->key_received = true;
		fprintf(stderr,
			"fake_engine %s: request contained a caller's key\n",
			e->opts.id);
	}
	key_received = e->key_received;
	pthread_mutex_unlock(&e->lock);
	return key_received && strncmp(url, "/fake/", 6) != 0;
}

static enum MHD_Result http_route(struct engine *e, struct MHD_Connection *conn,
				  const char *method, const char *url,
				  const struct http_request *req)
{
	json_t *body =
		json_loadb(req->body ? req->body : "", req->len, 0, NULL);
	enum MHD_Result res = MHD_NO;
	bool found = false;

	if (http_key_received(e, conn, url, req)) {
		json_decref(body);
		return http_reply(conn, 500, NULL);
	}
	for (size_t i = 0; i < sizeof(http_routes) / sizeof(*http_routes);
	     i++) {
		if (found || strcmp(http_routes[i].method, method) != 0 ||
		    strcmp(http_routes[i].path, url) != 0)
			continue;
		found = true;
		res = http_routes[i].fn(e, conn, body);
	}
	json_decref(body);
	return found ? res : http_reply(conn, 404, NULL);
}

static enum MHD_Result http_on_request(void *ctx, struct MHD_Connection *conn,
				       const char *url, const char *method,
				       const char *http_version,
				       const char *data, size_t *len,
				       void **state)
{
	struct http_request *req = *state;

	if (!req) {
		*state = calloc(1, sizeof(*req));
		return *state ? MHD_YES : MHD_NO;
	}
	if (*len == 0)
		return http_route(ctx, conn, method, url, req);
	req->body = realloc(req->body, req->len + *len);
	memcpy(req->body + req->len, data, *len);
	req->len += *len;
	*len = 0;
	return MHD_YES;
}

static void http_on_completed(void *ctx, struct MHD_Connection *conn,
			      void **state, enum MHD_RequestTerminationCode why)
{
	struct http_request *req = *state;

	if (!req)
		return;
	free(req->body);
	free(req);
	*state = NULL;
}

static enum MHD_Result http_accept(void *ctx, const struct sockaddr *addr,
				   socklen_t len)
{
	struct engine *e = ctx;
	bool refuse;

	pthread_mutex_lock(&e->lock);
	refuse = e->outage_end_ms > clock_now_ms();
	pthread_mutex_unlock(&e->lock);
	return refuse ? MHD_NO : MHD_YES;
}

struct MHD_Daemon *http_start(struct engine *e)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	const char *colon = strrchr(e->opts.listen, ':');
	char ip[32];

	if (!colon)
		return NULL;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - e->opts.listen),
		 e->opts.listen);
	sa.sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
	if (inet_pton(AF_INET, ip, &sa.sin_addr) != 1)
		return NULL;
	return MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD |
			MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL,
		0, http_accept, e, http_on_request, e, MHD_OPTION_SOCK_ADDR,
		&sa, MHD_OPTION_NOTIFY_COMPLETED, http_on_completed, NULL,
		MHD_OPTION_CONNECTION_LIMIT, 2u * ENGINE_STREAMS_MAX,
		MHD_OPTION_THREAD_STACK_SIZE, (size_t)256 * 1024,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
}
