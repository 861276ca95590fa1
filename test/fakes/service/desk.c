// Booking service: executes calls, counts them and applies injected faults.
#include "desk.h"

#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "fault.h"
#include "keyscan.h"

struct desk_req {
	char *body;
	size_t len;
};

/// A truncated response: `send_len` bytes, then the connection is closed.
struct desk_truncated {
	char *body;
	size_t send_len;
	bool framed; ///< its length is stated
};

static struct desk_opts desk;
static pthread_mutex_t desk_lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *desk_calls; ///< runs by the body's "call"
static json_t *desk_requests; ///< runs by Catkin-Request
static long long desk_runs;
static long long desk_keys_seen;
static long long desk_last_booking;

void desk_init(const struct desk_opts *opts)
{
	desk = *opts;
	desk_calls = json_object();
	desk_requests = json_object();
	desk_last_booking = opts->seed;
}

static void desk_sleep(int ms)
{
	if (ms > 0)
		usleep((useconds_t)ms * 1000);
}

static long long desk_increment(json_t *table, const char *name)
{
	long long n = json_integer_value(json_object_get(table, name)) + 1;

	json_object_set_new(table, name, json_integer(n));
	return n;
}

static enum MHD_Result desk_reply(struct MHD_Connection *conn,
				  unsigned int status, json_t *obj)
{
	char *text = json_dumps(obj, JSON_COMPACT);
	struct MHD_Response *res = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result rc;

	MHD_add_response_header(res, "Content-Type", "application/json");
	rc = MHD_queue_response(conn, status, res);
	MHD_destroy_response(res);
	json_decref(obj);
	return rc;
}

static ssize_t desk_truncated_read(void *cls, uint64_t pos, char *buf,
				   size_t max)
{
	struct desk_truncated *c = cls;
	size_t n = c->send_len - (size_t)pos;

	if (pos >= c->send_len)
		return c->framed ? MHD_CONTENT_READER_END_WITH_ERROR
				 : MHD_CONTENT_READER_END_OF_STREAM;
	n = n < max ? n : max;
	memcpy(buf, c->body + pos, n);
	return (ssize_t)n;
}

static void desk_truncated_free(void *cls)
{
	struct desk_truncated *c = cls;

	free(c->body);
	free(c);
}

static enum MHD_Result desk_reply_half(struct MHD_Connection *conn, json_t *obj,
				       bool framed)
{
	struct desk_truncated *c = calloc(1, sizeof(*c));
	struct MHD_Response *res;
	enum MHD_Result rc;
	size_t len;

	c->body = json_dumps(obj, JSON_COMPACT);
	len = strlen(c->body);
	c->send_len = len / 2;
	c->framed = framed;
	res = MHD_create_response_from_callback(framed ? len : MHD_SIZE_UNKNOWN,
						len, desk_truncated_read, c,
						desk_truncated_free);
	if (!framed)
		MHD_set_response_options(res, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
					 MHD_RO_END);
	rc = MHD_queue_response(conn, MHD_HTTP_OK, res);
	MHD_destroy_response(res);
	json_decref(obj);
	return rc;
}

/* Close the connection with a TCP reset. */
static enum MHD_Result desk_reset(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct linger linger_opt = {1, 0};

	setsockopt(info->connect_fd, SOL_SOCKET, SO_LINGER, &linger_opt,
		   sizeof(linger_opt));
	return MHD_NO;
}

static enum MHD_Result desk_check_header(void *cls, enum MHD_ValueKind kind,
					 const char *name, const char *value)
{
	bool *seen = cls;

	if (strcasecmp(name, "Authorization") == 0 ||
	    strcasecmp(name, "Idempotency-Key") == 0 ||
	    (value && keyscan_contains_key(value, strlen(value))))
		*seen = true;
	return MHD_YES;
}

static bool desk_has_key(struct MHD_Connection *conn,
			 const struct desk_req *req)
{
	bool seen = keyscan_contains_key(req->body ? req->body : "", req->len);

	MHD_get_connection_values(conn, MHD_HEADER_KIND, desk_check_header,
				  &seen);
	return seen;
}

/* Execute one booking: count it, assign a number, digest the request body. */
static json_t *desk_run(struct MHD_Connection *conn, const struct desk_req *req)
{
	const char *id = MHD_lookup_connection_value(conn, MHD_HEADER_KIND,
						     "Catkin-Request");
	const char *trace = MHD_lookup_connection_value(conn, MHD_HEADER_KIND,
							"traceparent");
	json_t *body =
		json_loadb(req->body ? req->body : "", req->len, 0, NULL);
	const char *call = json_string_value(json_object_get(body, "call"));
	char digest[20];
	json_t *out;

	snprintf(digest, sizeof(digest), "%016llx",
		 (unsigned long long)XXH64(req->body, req->len, 0));
	pthread_mutex_lock(&desk_lock);
	desk_runs++;
	if (call)
		desk_increment(desk_calls, call);
	if (id)
		desk_increment(desk_requests, id);
	out = json_pack("{s:I, s:s, s:s, s:I, s:s, s:s, s:s}", "booking",
			(json_int_t)++desk_last_booking, "server", desk.id,
			"digest", digest, "bytes", (json_int_t)req->len, "call",
			call ? call : "", "request", id ? id : "", "trace",
			trace ? trace : "");
	pthread_mutex_unlock(&desk_lock);
	json_decref(body);
	return out;
}

static enum MHD_Result desk_respond(struct MHD_Connection *conn, struct fault f,
				    json_t *answer)
{
	switch (f.mode) {
	case FAULT_RESET_AFTER:
		json_decref(answer);
		return desk_reset(conn);
	case FAULT_HANG:
		json_decref(answer);
		desk_sleep(f.delay_ms);
		return desk_reset(conn);
	case FAULT_LATE:
		desk_sleep(f.delay_ms);
		return desk_reply(conn, MHD_HTTP_OK, answer);
	case FAULT_DROP_HALF:
		return desk_reply_half(conn, answer, true);
	case FAULT_DROP_UNFRAMED:
		return desk_reply_half(conn, answer, false);
	case FAULT_ERROR:
		return desk_reply(conn, MHD_HTTP_INTERNAL_SERVER_ERROR, answer);
	default:
		return desk_reply(conn, MHD_HTTP_OK, answer);
	}
}

static enum MHD_Result desk_book(struct MHD_Connection *conn,
				 const struct desk_req *req)
{
	struct fault f = fault_for_request();
	json_t *answer;

	if (desk_has_key(conn, req)) {
		pthread_mutex_lock(&desk_lock);
		desk_keys_seen++;
		pthread_mutex_unlock(&desk_lock);
		return desk_reply(conn, MHD_HTTP_INTERNAL_SERVER_ERROR,
				  json_pack("{s:s}", "error", "key seen"));
	}
	if (f.mode == FAULT_RESET_BEFORE)
		return desk_reset(conn);
	if (f.mode == FAULT_SLOW)
		desk_sleep(f.delay_ms);
	desk_sleep(desk.delay_ms);
	answer = desk_run(conn, req);
	return desk_respond(conn, f, answer);
}

static enum MHD_Result desk_stats(struct MHD_Connection *conn)
{
	json_t *out;

	pthread_mutex_lock(&desk_lock);
	out = json_pack("{s:I, s:I, s:o, s:o}", "runs", (json_int_t)desk_runs,
			"keys_seen", (json_int_t)desk_keys_seen, "calls",
			json_copy(desk_calls), "requests",
			json_copy(desk_requests));
	pthread_mutex_unlock(&desk_lock);
	return desk_reply(conn, MHD_HTTP_OK, out);
}

static enum MHD_Result desk_fault(struct MHD_Connection *conn,
				  const struct desk_req *req)
{
	json_t *order =
		json_loadb(req->body ? req->body : "", req->len, 0, NULL);
	bool ok = fault_set(order);

	json_decref(order);
	return desk_reply(conn, ok ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST,
			  json_pack("{s:b}", "taken", ok));
}

static bool desk_collect(struct desk_req *req, const char *data, size_t len)
{
	char *body = realloc(req->body, req->len + len + 1);

	if (!body)
		return false;
	memcpy(body + req->len, data, len);
	req->body = body;
	req->len += len;
	body[req->len] = '\0';
	return true;
}

enum MHD_Result desk_handle(void *cls, struct MHD_Connection *conn,
			    const char *url, const char *method,
			    const char *version, const char *data,
			    size_t *data_len, void **state)
{
	struct desk_req *req = *state;

	if (!req) {
		*state = calloc(1, sizeof(*req));
		return *state ? MHD_YES : MHD_NO;
	}
	if (*data_len > 0) {
		bool ok = desk_collect(req, data, *data_len);

		*data_len = 0;
		return ok ? MHD_YES : MHD_NO;
	}
	if (strcmp(url, "/fake/stats") == 0)
		return desk_stats(conn);
	if (strcmp(url, "/fake/fault") == 0)
		return desk_fault(conn, req);
	if (strcmp(method, "POST") == 0)
		return desk_book(conn, req);
	return desk_reply(conn, MHD_HTTP_METHOD_NOT_ALLOWED, json_object());
}

void desk_completed(void *cls, struct MHD_Connection *conn, void **state,
		    enum MHD_RequestTerminationCode code)
{
	struct desk_req *req = *state;

	if (!req)
		return;
	free(req->body);
	free(req);
	*state = NULL;
}

enum MHD_Result desk_accept(void *cls, const struct sockaddr *addr,
			    socklen_t len)
{
	return fault_for_connection().mode == FAULT_REFUSE ? MHD_NO : MHD_YES;
}
