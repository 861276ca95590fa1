// Backend servers: engines that stream events, and desks that answer at once.
#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "lab.h"

enum {
	SERVER_PORT = 8500, ///< of server 0
	SLOTS = 12,
	LOAD_MS = 900,
	CONNECTIONS_MAX = 400,
};

struct call {
	char *data;
	size_t len;
};

static const char *field(struct MHD_Connection *conn, const char *name)
{
	const char *v =
		MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name);

	return v ? v : "";
}

/* Log a run, with the lock held. */
static int log_run(struct lab_server *s, struct MHD_Connection *conn,
		   const char *method, const char *url)
{
	struct lab *l = s->lab;
	struct lab_run *r = &l->runs[l->n_runs];

	if (l->n_runs == LAB_RUNS_MAX)
		abort();
	*r = (struct lab_run){.at_ms = lab_now_ms(), .server = s->index};
	snprintf(r->method, sizeof(r->method), "%s", method);
	snprintf(r->path, sizeof(r->path), "%s", url);
	snprintf(r->id, sizeof(r->id), "%s",
		 field(conn, "X-Catkinpath-Request-Id"));
	return l->n_runs++;
}

static enum MHD_Result respond(struct MHD_Connection *conn, int status,
			       const char *body, const char *const *headers)
{
	struct MHD_Response *res = MHD_create_response_from_buffer(
		strlen(body), (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result ok;

	for (; headers && headers[0]; headers += 2)
		MHD_add_response_header(res, headers[0], headers[1]);
	ok = MHD_queue_response(conn, (unsigned int)status, res);
	MHD_destroy_response(res);
	return ok;
}

struct stream {
	struct lab_server *s;
	int run;
	int next;
	int last;
	char id[LAB_NAME_BYTES];
};

static ssize_t stream_read(void *ctx, uint64_t pos, char *buf, size_t max)
{
	struct stream *st = ctx;
	struct lab *l = st->s->lab;

	if (st->next > st->last) {
		l->runs[st->run].complete = true;
		return MHD_CONTENT_READER_END_OF_STREAM;
	}
	lab_sleep_ms(l->event_ms);
	if (l->stopping)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	st->next++;
	return snprintf(buf, max, "id: %d\ndata: %s.%d\n\n", st->next - 1,
			st->id, st->next - 1);
}

static void stream_free(void *ctx)
{
	struct stream *st = ctx;
	struct lab *l = st->s->lab;

	pthread_mutex_lock(&l->lock);
	st->s->running--;
	l->runs[st->run].end_ms = lab_now_ms();
	pthread_mutex_unlock(&l->lock);
	free(st);
}

static enum MHD_Result run_item(struct lab_server *s,
				struct MHD_Connection *conn, const char *method,
				const char *url)
{
	static const char *const not_run[] = {"X-Catkinpath-Not-Run", "1",
					      NULL};
	struct stream *st;
	struct MHD_Response *res;
	enum MHD_Result ok;
	char version[32];

	pthread_mutex_lock(&s->lab->lock);
	if (s->running >= SLOTS) {
		pthread_mutex_unlock(&s->lab->lock);
		return respond(conn, 503, "", not_run);
	}
	s->running++;
	st = calloc(1, sizeof(*st));
	st->s = s;
	st->run = log_run(s, conn, method, url);
	st->next = 1 + atoi(field(conn, "Last-Event-Id"));
	st->last = s->lab->events;
	snprintf(st->id, sizeof(st->id), "%s",
		 field(conn, "X-Catkinpath-Request-Id"));
	snprintf(version, sizeof(version), "%llu",
		 (unsigned long long)s->version);
	pthread_mutex_unlock(&s->lab->lock);
	res = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 4096,
						stream_read, st, stream_free);
	MHD_add_response_header(res, "Content-Type", "text/event-stream");
	MHD_add_response_header(res, "X-Catkinpath-Request-Id", st->id);
	MHD_add_response_header(res, "X-Catkinpath-Weight-Versions", version);
	ok = MHD_queue_response(conn, 200, res);
	MHD_destroy_response(res);
	return ok;
}

static enum MHD_Result run_desk(struct lab_server *s,
				struct MHD_Connection *conn, const char *method,
				const char *url, const char *body)
{
	char id[LAB_NAME_BYTES], seal[LAB_NAME_BYTES + 16];
	const char *const headers[] = {"X-Catkinpath-Request-Id", id,
				       "X-Catkinpath-Server-Seal", seal, NULL};
	int run;

	pthread_mutex_lock(&s->lab->lock);
	run = log_run(s, conn, method, url);
	snprintf(id, sizeof(id), "%s", s->lab->runs[run].id);
	pthread_mutex_unlock(&s->lab->lock);
	snprintf(seal, sizeof(seal), "seal.%d.%s", s->index, id);
	/* The sheet: 25 ms in the mean, 190 at most. */
	lab_sleep_ms(run % 8 ? 15 : 100);
	s->lab->runs[run].complete = true;
	s->lab->runs[run].end_ms = lab_now_ms();
	return respond(conn, 200, body, headers);
}

static void publish(struct lab_server *s)
{
	char key[LAB_NAME_BYTES + 16], text[512], model[128] = "";

	if (s->engine)
		snprintf(model, sizeof(model),
			 ",\"models\":[{\"name\":\"m\",\"version\":%llu,"
			 "\"adapters\":[]}]",
			 (unsigned long long)s->version);
	snprintf(key, sizeof(key), "servers/%s", s->id);
	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"addr\":\"%s.1:%d\",\"zone\":\"z%d\","
		 "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
		 "\"cold_left_ms\":0,\"born\":1700000000%03d,\"seq\":1%s}",
		 s->engine ? "engines" : "desk", s->lab->net, s->port,
		 s->index % 2 + 1, SLOTS, s->index, model);
	lab_put(s->lab, key, text);
}

static enum MHD_Result run_order(struct lab_server *s,
				 struct MHD_Connection *conn, const char *body)
{
	json_t *obj = json_loads(body, 0, NULL);

	lab_sleep_ms(LOAD_MS);
	s->version =
		(uint64_t)json_integer_value(json_object_get(obj, "version"));
	json_decref(obj);
	publish(s);
	return respond(conn, 202, "", NULL);
}

static enum MHD_Result on_call(void *ctx, struct MHD_Connection *conn,
			       const char *url, const char *method,
			       const char *version, const char *data,
			       size_t *len, void **state)
{
	struct lab_server *s = ctx;
	const char *expect = field(conn, "X-Catkinpath-Expect-Instance");
	struct call *c = *state;

	if (!c) {
		*state = calloc(1, sizeof(*c));
		return MHD_YES;
	}
	if (*len) {
		c->data = realloc(c->data, c->len + *len + 1);
		memcpy(c->data + c->len, data, *len);
		c->len += *len;
		c->data[c->len] = '\0';
		*len = 0;
		return MHD_YES;
	}
	if (*expect && strcmp(expect, s->id) != 0)
		return respond(conn, 421, "", NULL);
	if (strcmp(url, "/catkinpath/order") == 0)
		return run_order(s, conn, c->data ? c->data : "");
	if (s->engine)
		return run_item(s, conn, method, url);
	return run_desk(s, conn, method, url, c->data ? c->data : "");
}

static void on_end(void *ctx, struct MHD_Connection *conn, void **state,
		   enum MHD_RequestTerminationCode why)
{
	struct call *c = *state;

	if (!c)
		return;
	free(c->data);
	free(c);
	*state = NULL;
}

bool lab_server_start(struct lab *l, int index)
{
	struct lab_server *s = &l->servers[index];
	struct sockaddr_in sa = {.sin_family = AF_INET};
	char ip[32];

	s->lab = l;
	s->index = index;
	s->port = SERVER_PORT + index;
	s->version = 1;
	snprintf(s->id, sizeof(s->id), "i-%08x", 0x7f3a0000u + (unsigned)index);
	snprintf(ip, sizeof(ip), "%s.1", l->net);
	inet_pton(AF_INET, ip, &sa.sin_addr);
	sa.sin_port = htons((uint16_t)s->port);
	s->http = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION |
			MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		0, NULL, NULL, on_call, s, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_NOTIFY_COMPLETED, on_end, NULL,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
		MHD_OPTION_END);
	if (s->http)
		publish(s);
	return s->http != NULL;
}
