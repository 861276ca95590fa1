// Fake engines, which stream events and load weights on order, and fake booking
// servers, which also answer reward calls.
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "body.h"
#include "hosted.h"

enum {
	LOAD_MS = 120, ///< to load a weight version
	LONG_EVENTS = 60,
	RATE_SILENT_MS = 900,
};

static void pause_ms(int ms)
{
	struct timespec ts = {0, ms * 1000000L};

	nanosleep(&ts, NULL);
}

int hosted_events(const char *item)
{
	unsigned int sum = 7;

	if (*item == 'L')
		return LONG_EVENTS;
	for (; *item; item++)
		sum = sum * 31 + (unsigned char)*item;
	return 3 + (int)(sum % 12);
}

static int number_of(const char *item)
{
	const char *dot = strrchr(item, '.');

	return dot ? atoi(dot + 1) : 0;
}

bool hosted_scored(const char *item)
{
	return number_of(item) % 2 == 1;
}

bool hosted_hopeless(const char *item)
{
	return *item == 'F' && number_of(item) == 1;
}

bool hosted_unroutable(const char *item)
{
	return *item == 'N' && number_of(item) == 3;
}

static const char *field(struct MHD_Connection *conn, const char *name)
{
	const char *v =
		MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name);

	return v ? v : "";
}

/* Last octet of the sender's IP address. */
static int host_of(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *sa = (const void *)info->client_addr;

	return (int)(ntohl(sa->sin_addr.s_addr) & 0xff);
}

/* Add a run to the log, with the lock held.
 *
 * @return its index */
static int note_run(struct hosted_server *s, struct MHD_Connection *conn,
		    const char *id, int from)
{
	struct hosted *h = s->h;
	struct hosted_run *r;

	if (h->n_runs == HOSTED_RUNS)
		abort();
	r = &h->runs[h->n_runs++];
	snprintf(r->id, sizeof(r->id), "%s", id);
	snprintf(r->team, sizeof(r->team), "%s",
		 field(conn, "X-Catkinpath-Tenant"));
	r->server = s->index;
	r->host = host_of(conn);
	r->from = from;
	r->at_ms = clock_now_ms();
	r->after_leave_ms = s->left_ms ? r->at_ms - s->left_ms : 0;
	return h->n_runs - 1;
}

/// An event stream in flight.
struct stream {
	struct hosted_server *s;
	char id[64];
	int next; ///< number of the next event
	int last;
	int run; ///< index among the runs
	uint64_t said; ///< weight version last reported to the caller
};

static ssize_t stream_read(void *ctx, uint64_t pos, char *buf, size_t max)
{
	struct stream *st = ctx;
	struct hosted *h = st->s->h;
	char version[64] = "";
	int event = st->next;
	uint64_t v;

	if (st->next > st->last)
		return MHD_CONTENT_READER_END_OF_STREAM;
	pause_ms(h->event_ms);
	pthread_mutex_lock(&h->lock);
	if (st->s->drips && !h->stopping) {
		pthread_mutex_unlock(&h->lock);
		return snprintf(buf, max, ": still here\n");
	}
	v = st->s->version;
	h->runs[st->run].whole = event == st->last;
	if (h->stopping || st->s->dark) {
		pthread_mutex_unlock(&h->lock);
		return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	pthread_mutex_unlock(&h->lock);
	if (v != st->said)
		snprintf(version, sizeof(version),
			 "x-catkinpath-weight-versions: %llu\n",
			 (unsigned long long)v);
	st->said = v;
	st->next++;
	return snprintf(buf, max, "%sid: %d\ndata: %s.%d.%llu\n\n", version,
			event, st->id, event, (unsigned long long)v);
}

static void stream_free(void *ctx)
{
	struct stream *st = ctx;

	pthread_mutex_lock(&st->s->h->lock);
	st->s->running--;
	pthread_mutex_unlock(&st->s->h->lock);
	free(st);
}

static enum MHD_Result send_stream(struct hosted_server *s,
				   struct MHD_Connection *conn, const char *id,
				   int run)
{
	struct stream *st = calloc(1, sizeof(*st));
	struct MHD_Response *res;
	char version[32];
	enum MHD_Result ok;

	st->s = s;
	snprintf(st->id, sizeof(st->id), "%s", id);
	st->next = 1 + atoi(field(conn, "Last-Event-Id"));
	st->last = hosted_events(id);
	st->run = run;
	pthread_mutex_lock(&s->h->lock);
	st->said = s->version;
	pthread_mutex_unlock(&s->h->lock);
	res = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 4096,
						stream_read, st, stream_free);
	snprintf(version, sizeof(version), "%llu",
		 (unsigned long long)st->said);
	MHD_add_response_header(res, "Content-Type", "text/event-stream");
	MHD_add_response_header(res, "X-Catkinpath-Request-Id", id);
	MHD_add_response_header(res, "X-Catkinpath-Weight-Versions", version);
	ok = MHD_queue_response(conn, 200, res);
	MHD_destroy_response(res);
	return ok;
}

/* Take a slot of an engine.
 *
 * @return index of the run, -1 if all slots are taken */
static int take_place(struct hosted_server *s, struct MHD_Connection *conn,
		      const char *id)
{
	int run = -1;

	pthread_mutex_lock(&s->h->lock);
	if (s->running < HOSTED_SLOTS) {
		s->running++;
		run = note_run(s, conn, id, atoi(field(conn, "Last-Event-Id")));
	}
	pthread_mutex_unlock(&s->h->lock);
	return run;
}

/* HTTP status with which an engine rejects a run, 0 if it accepts it. */
static int rejects(struct hosted_server *s, struct MHD_Connection *conn)
{
	uint64_t expect =
		strtoull(field(conn, "X-Catkinpath-Expect-Version"), NULL, 10);
	int status = 0;

	pthread_mutex_lock(&s->h->lock);
	if (s->loaded_ms && clock_now_ms() >= s->loaded_ms) {
		s->version = s->next_version;
		s->loaded_ms = 0;
	}
	if (expect && expect != s->version) {
		s->h->version_rejects++;
		status = 421;
	} else if (s->loaded_ms) {
		s->h->loading_rejects++;
		status = 503;
	}
	pthread_mutex_unlock(&s->h->lock);
	return status;
}

static enum MHD_Result run_item(struct hosted_server *s,
				struct MHD_Connection *conn, const char *id)
{
	static const char *const not_run[] = {"X-Catkinpath-Not-Run", "1",
					      NULL};

	int status = rejects(s, conn);
	int run = status ? -1 : take_place(s, conn, id);

	if (status)
		return body_answer(conn, (unsigned int)status, "", not_run);
	if (run < 0)
		return body_answer(conn, 503, "", not_run);
	return send_stream(s, conn, id, run);
}

static enum MHD_Result book(struct hosted_server *s,
			    struct MHD_Connection *conn, const char *id,
			    const struct body *b)
{
	const char *const headers[] = {"X-Catkinpath-Request-Id",
				       id,
				       "X-Catkinpath-Server-Seal",
				       "seal",
				       "X-Own",
				       "kept",
				       s->says_leaving ? "Server-Leaving"
						       : NULL,
				       "1",
				       NULL};
	bool fails;
	int ms;

	pthread_mutex_lock(&s->h->lock);
	note_run(s, conn, id, 0);
	ms = s->book_ms;
	fails = s->grey && s->booked++ % 2;
	pthread_mutex_unlock(&s->h->lock);
	pause_ms(ms);
	if (fails)
		return body_answer(conn, 500, "", headers);
	return body_answer(conn, 200, b->data ? b->data : "", headers);
}

/* Whether an engine generated the last event of an item, with the lock held. */
static bool is_whole(const struct hosted *h, const char *item)
{
	for (int i = h->n_runs - 1; i >= 0; i--) {
		if (strcmp(h->runs[i].id, item) == 0 && h->runs[i].whole)
			return true;
	}
	return false;
}

static enum hosted_rating take_rating(struct hosted_server *s,
				      struct MHD_Connection *conn,
				      const char *url, const char *id,
				      const struct body *b)
{
	struct hosted *h = s->h;
	enum hosted_rating how = HOSTED_RATE;
	char want[80];

	/* Id, last path segment and body are "R" and the item's id. */
	snprintf(want, sizeof(want), "/rate/%s", id);
	pthread_mutex_lock(&h->lock);
	h->wrong_ratings += *id != 'R' || strcmp(url, want) != 0 || !b->data ||
			    strcmp(b->data, id) != 0 ||
			    strcmp(field(conn, "Host"), "h2") != 0 ||
			    *field(conn, "X-Catkinpath-Tenant") ||
			    atoi(field(conn, "X-Catkinpath-Deadline-Ms")) < 1;
	h->early_ratings += !is_whole(h, id + (*id == 'R'));
	if (h->odd_ratings > 0) {
		h->odd_ratings--;
		how = h->rating;
	}
	if (how != HOSTED_RATE_FULL)
		note_run(s, conn, id, 0);
	pthread_mutex_unlock(&h->lock);
	return how;
}

static ssize_t half_read(void *ctx, uint64_t pos, char *buf, size_t max)
{
	if (pos)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	return snprintf(buf, max, "half");
}

static enum MHD_Result send_half(struct MHD_Connection *conn,
				 const char *const *headers)
{
	struct MHD_Response *res =
		MHD_create_response_from_callback(8, 64, half_read, NULL, NULL);
	enum MHD_Result ok;

	for (; headers[0]; headers += 2)
		MHD_add_response_header(res, headers[0], headers[1]);
	ok = MHD_queue_response(conn, 200, res);
	MHD_destroy_response(res);
	return ok;
}

static enum MHD_Result rate(struct hosted_server *s,
			    struct MHD_Connection *conn, const char *url,
			    const char *id, const struct body *b)
{
	enum hosted_rating how = take_rating(s, conn, url, id, b);
	char seal[80];
	const char *const sealed[] = {"X-Catkinpath-Request-Id",
				      how == HOSTED_RATE_OTHER ? "Rother" : id,
				      "X-Catkinpath-Server-Seal", seal, NULL};
	static const char *const not_run[] = {"X-Catkinpath-Not-Run", "1",
					      NULL};
	const char *const unsealed[] = {"X-Catkinpath-Request-Id", id, NULL};

	/* The seal shows in a result which response was used: "odd" must not be. */
	snprintf(seal, sizeof(seal), "%s.%s",
		 how == HOSTED_RATE || how == HOSTED_RATE_SILENT ? "seal"
								 : "odd",
		 id);
	switch (how) {
	case HOSTED_RATE_FULL:
		return body_answer(conn, 503, "", not_run);
	case HOSTED_RATE_LOST:
		return MHD_NO;
	case HOSTED_RATE_HALF:
		return send_half(conn, sealed);
	case HOSTED_RATE_UNSEALED:
		return body_answer(conn, 200, "rated", unsealed);
	case HOSTED_RATE_SILENT:
		pause_ms(RATE_SILENT_MS);
		break;
	case HOSTED_RATE_OTHER:
	case HOSTED_RATE:
		break;
	}
	return body_answer(conn, hosted_hopeless(id + 1) ? 500 : 200, "rated",
			   sealed);
}

static enum MHD_Result order(struct hosted_server *s,
			     struct MHD_Connection *conn, const char *text)
{
	json_t *obj = json_loads(text ? text : "", 0, NULL);
	uint64_t epoch =
		(uint64_t)json_integer_value(json_object_get(obj, "fence"));
	uint64_t version =
		(uint64_t)json_integer_value(json_object_get(obj, "version"));
	int load_ms;

	pthread_mutex_lock(&s->h->lock);
	s->stale_orders +=
		epoch < s->last_epoch && clock_now_ms() > s->h->excuse_until_ms;
	if (epoch > s->last_epoch)
		s->last_epoch = epoch;
	load_ms = s->h->load_ms;
	if (load_ms) {
		s->next_version = version;
		s->loaded_ms = clock_now_ms() + load_ms;
	}
	pthread_mutex_unlock(&s->h->lock);
	json_decref(obj);
	if (load_ms)
		return body_answer(conn, 202, "", NULL);
	pause_ms(LOAD_MS);
	pthread_mutex_lock(&s->h->lock);
	s->version = version;
	pthread_mutex_unlock(&s->h->lock);
	hosted_publish(s->h, s);
	return body_answer(conn, 202, "", NULL);
}

static bool is_dark(struct hosted_server *s)
{
	bool dark;

	pthread_mutex_lock(&s->h->lock);
	dark = s->dark && !s->h->stopping;
	pthread_mutex_unlock(&s->h->lock);
	return dark;
}

static enum MHD_Result on_call(void *ctx, struct MHD_Connection *conn,
			       const char *url, const char *method,
			       const char *version, const char *data,
			       size_t *len, void **state)
{
	struct hosted_server *s = ctx;
	const char *expect = field(conn, "X-Catkinpath-Expect-Instance");
	const char *id = field(conn, "X-Catkinpath-Request-Id");
	struct body *b;

	if (!body_take(state, data, len, &b))
		return MHD_NO;
	if (!b)
		return MHD_YES;
	/* Requests received while it is unresponsive are never run. */
	if (is_dark(s)) {
		while (is_dark(s))
			pause_ms(20);
		return MHD_NO;
	}
	if (*expect && strcmp(expect, s->id) != 0)
		return body_answer(conn, 421, "", NULL);
	if (strcmp(url, "/catkinpath/order") == 0)
		return order(s, conn, b->data);
	if (strncmp(url, "/rate/", 6) == 0)
		return rate(s, conn, url, id, b);
	return s->engine ? run_item(s, conn, id) : book(s, conn, id, b);
}

bool hosted_server_start(struct hosted *h, int index)
{
	struct hosted_server *s = &h->servers[index];
	int port = HOSTED_SERVER_PORT + index;

	s->h = h;
	s->index = index;
	s->engine = index < HOSTED_ENGINES;
	s->version = 1;
	snprintf(s->id, sizeof(s->id), "i-%d", index);
	snprintf(s->addr, sizeof(s->addr), "%s:%d", h->ip, port);
	s->http = body_listen(h->ip, port, on_call, s);
	return s->http != NULL;
}
