// Collects a request's body, applies injected faults and sends the response.
#include "server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "calls.h"

enum {
	SERVER_BODY_MAX = 8 << 20, ///< bytes
	SERVER_HANG_MAX_MS = 3600000,
};

struct body {
	char *data;
	size_t len;
};

static enum MHD_Result body_add(struct body *b, const char *data, size_t *len)
{
	char *p;

	if (b->len + *len > SERVER_BODY_MAX)
		return MHD_NO;
	p = realloc(b->data, b->len + *len);
	if (!p)
		return MHD_NO;
	memcpy(p + b->len, data, *len);
	b->data = p;
	b->len += *len;
	*len = 0;
	return MHD_YES;
}

static enum MHD_Result server_send(struct call *c)
{
	char *text =
		c->reply ? json_dumps(c->reply, JSON_COMPACT) : strdup("{}");
	struct MHD_Response *res = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result ok;

	MHD_add_response_header(res, "Content-Type", "application/json");
	ok = MHD_queue_response(c->conn, (unsigned int)c->status, res);
	MHD_destroy_response(res);
	return ok;
}

/* Delay a request. Lock held, released while waiting. */
static void server_delay(struct fake *f, int64_t delay_ms, bool until_cleared)
{
	uint64_t clear_count = f->faults.clear_count;
	int64_t until_ms =
		clock_now_ms() + (delay_ms ? delay_ms : SERVER_HANG_MAX_MS);

	while (fake_wait_change(f, until_ms)) {
		if (until_cleared && f->faults.clear_count != clear_count)
			return;
	}
}

/* Execute a request with its fault; false to close without a response. */
static bool server_execute(struct fake *f, struct call *c)
{
	struct fault fault = {.mode = FAULT_NONE};
	bool answer = true;

	pthread_mutex_lock(&f->lock);
	if (strncmp(c->path, "/fake/", 6) != 0)
		fault = fault_consume(&f->faults, c->method, c->path);
	if (fault.mode == FAULT_HANG)
		server_delay(f, fault.delay_ms, true);
	if (fault.mode == FAULT_DELAY)
		server_delay(f, fault.delay_ms, false);
	if (fault.mode == FAULT_HANG || fault.mode == FAULT_REFUSE)
		answer = false;
	else if (fault.mode == FAULT_ERROR)
		c->status = 503;
	else
		calls_dispatch(f, c);
	if (fault.mode == FAULT_DROP_REPLY)
		answer = false;
	pthread_mutex_unlock(&f->lock);
	return answer;
}

static enum MHD_Result server_on_request(void *ctx, struct MHD_Connection *conn,
					 const char *url, const char *method,
					 const char *version, const char *data,
					 size_t *len, void **state)
{
	struct body *b = *state;
	struct call c = {.conn = conn, .method = method, .path = url};
	enum MHD_Result ok = MHD_NO;

	if (!b) {
		*state = calloc(1, sizeof(*b));
		return *state ? MHD_YES : MHD_NO;
	}
	if (*len > 0)
		return body_add(b, data, len);
	if (b->len > 0)
		c.body = json_loadb(b->data, b->len, 0, NULL);
	if (server_execute(ctx, &c))
		ok = server_send(&c);
	json_decref(c.body);
	json_decref(c.reply);
	return ok;
}

static void server_on_end(void *ctx, struct MHD_Connection *conn, void **state,
			  enum MHD_RequestTerminationCode why)
{
	struct body *b = *state;

	if (!b)
		return;
	free(b->data);
	free(b);
	*state = NULL;
}

static bool server_addr(const char *listen, struct sockaddr_in *sa)
{
	char ip[32];
	int port;

	if (sscanf(listen, "%31[0-9.]:%d", ip, &port) != 2)
		return false;
	*sa = (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
	};
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

struct MHD_Daemon *server_start(struct fake *f, const char *listen)
{
	struct sockaddr_in sa;

	if (!server_addr(listen, &sa))
		return NULL;
	return MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD |
			MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL,
		0, NULL, NULL, server_on_request, f, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_NOTIFY_COMPLETED, server_on_end, NULL,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}
