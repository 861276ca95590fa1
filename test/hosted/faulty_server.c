// Draws an answer for each request: from the seed, the id and the number of its run, so
// that the order of threads does not matter.
#include "faulty_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/rng.h"

enum {
	REQUEST_MAX_BYTES = 8192,
	ANSWER_MAX_BYTES = 4 * FAULTY_BODY_MAX, ///< smallest chunks double it
	CHUNK_MIN = 16,
	CHUNK_MAX = 400,
	FILLER_MAX = 1500, ///< letters of a body
	RETRIES_PER_FAULTY = 8, ///< one retry in so many may be faulty too
	SILENT_MIN_US = 20000,
	SILENT_MAX_US = 300000, ///< longer than a hedge waits
	LATE_MIN_US = 5000,
	LATE_MAX_US = 40000,
	N_STRAYS = 4,
	N_ENDS = 5,
};

struct conn {
	struct faulty_server *srv;
	int fd;
	bool dirty; ///< carried bytes that belong to no request
};

struct answer {
	struct faulty_run run;
	struct rng rng;
	size_t head_len; ///< bytes
	char text[ANSWER_MAX_BYTES];
};

#define STATUS_LINE "HTTP/1.1 200 OK\r\n"

static const char *const strays[N_STRAYS] = {
	"\r\n", "neither a field\r\nnor a line",
	"HTTP/1.1 503 Busy\r\nX-Catkinpath-Not-Run: 1\r\n"
	"Content-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Catkinpath-Request-Id: other\r\n"
	"X-Catkinpath-Server-Seal: seal\r\nContent-Length: 5\r\n\r\nother"};

static struct rng rng_for(uint64_t seed, const char *id, int run)
{
	struct rng r = {seed};

	for (; *id; id++)
		r.state = rng_next(&r) ^ (uint64_t)*id;
	r.state = rng_next(&r) ^ (uint64_t)run;
	return r;
}

static int between(struct rng *r, int min, int max)
{
	return min + (int)rng_below(r, (uint64_t)max - (uint64_t)min + 1);
}

void faulty_body(const char *id, char out[FAULTY_BODY_MAX])
{
	/* A client that searches for a second answer finds these. */
	static const char *const ends[N_ENDS] = {
		"", " said HTTP/1.1 200 OK",
		" HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"\r\nHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
		" ends with HTTP/1"};
	struct rng r = rng_for(0, id, 0);
	int n = snprintf(out, FAULTY_BODY_MAX, "body of %s ", id);

	for (int i = between(&r, 0, FILLER_MAX); i > 0; i--)
		out[n++] = (char)between(&r, 'a', 'z');
	snprintf(out + n, FAULTY_BODY_MAX - (size_t)n, "%s",
		 ends[rng_below(&r, N_ENDS)]);
}

static void make_answer(struct answer *a)
{
	bool first = rng_below(&a->rng, 2);
	char body[FAULTY_BODY_MAX], field[64] = "Connection: close\r\n";
	const char *p = body;
	size_t left, n;
	char *out = a->text;

	faulty_body(a->run.id, body);
	left = strlen(body);
	if (a->run.framing == FAULTY_LENGTH)
		sprintf(field, "Content-Length: %zu\r\n", left);
	else if (a->run.framing == FAULTY_CHUNKS)
		strcpy(field, "Transfer-Encoding: chunked\r\n");
	out += sprintf(out,
		       STATUS_LINE "%sX-Catkinpath-Request-Id: %s\r\n"
				   "X-Catkinpath-Server-Seal: seal\r\n%s\r\n",
		       first ? field : "", a->run.id, first ? "" : field);
	a->head_len = (size_t)(out - a->text);
	if (a->run.framing == FAULTY_CHUNKS) {
		for (; left; p += n, left -= n) {
			n = (size_t)between(&a->rng, CHUNK_MIN, CHUNK_MAX);
			/* As long as the fields: a copy's may fill it up. */
			if (p == body && rng_below(&a->rng, 2))
				n = a->head_len - strlen(STATUS_LINE "\r\n");
			n = n < left ? n : left;
			out += sprintf(out, "%zx\r\n%.*s\r\n", n, (int)n, p);
		}
		p = "0\r\n\r\n";
	}
	out = stpcpy(out, p);
	a->run.len = a->run.sent = (size_t)(out - a->text);
}

/* Whether, where and how the answer breaks off, and what follows. */
static void draw_faults(struct answer *a)
{
	struct faulty_run *run = &a->run;
	struct rng *r = &a->rng;
	bool cut = rng_below(r, 2);

	if (cut)
		run->sent =
			rng_below(r, rng_below(r, 4) ? run->len : a->head_len);
	/* The head of a copy fills up the last chunk. */
	if (cut && run->framing == FAULTY_CHUNKS && rng_below(r, 4) == 0)
		run->sent = run->len - strlen("\r\n0\r\n\r\n") - a->head_len +
			    1 + rng_below(r, 2);
	/* Its status line goes on behind the digits of a size. */
	else if (cut && run->framing == FAULTY_CHUNKS && rng_below(r, 4) == 0)
		run->sent = (size_t)(strstr(a->text + a->head_len, "\r\n") -
				     a->text);
	run->next = cut ? between(r, FAULTY_CLOSE, FAULTY_COPY_LATE)
			: between(r, FAULTY_KEEP, FAULTY_STRAY_LATE);
	/* What follows the head of such an answer is its body. */
	if (run->framing == FAULTY_UNFRAMED && run->sent >= a->head_len)
		run->next = between(r, FAULTY_CLOSE, FAULTY_SILENT);
	if (run->next == FAULTY_COPY || run->next == FAULTY_COPY_LATE)
		run->copied =
			rng_below(r, 2) ? run->len : rng_below(r, run->len);
	run->closes =
		run->next != FAULTY_KEEP &&
		(cut || run->next < FAULTY_COPY ||
		 (run->copied && run->copied < run->len) || rng_below(r, 2));
}

int faulty_server_runs(struct faulty_server *srv, const char *id,
		       struct faulty_run *out, int max)
{
	int n = 0;

	pthread_mutex_lock(&srv->lock);
	for (int i = 0; i < srv->n_runs; i++) {
		if (strcmp(srv->runs[i].id, id) == 0 && n++ < max)
			out[n - 1] = srv->runs[i];
	}
	pthread_mutex_unlock(&srv->lock);
	return n;
}

/* Draw the answer to a request that was read, and record it. */
static void begin_run(struct conn *c, struct answer *a)
{
	struct faulty_server *srv = c->srv;
	struct faulty_run *run = &a->run;
	bool calm;
	int n;

	pthread_mutex_lock(&srv->lock);
	n = faulty_server_runs(srv, run->id, NULL, 0);
	a->rng = rng_for(srv->seed, run->id, n);
	calm = n && rng_below(&a->rng, RETRIES_PER_FAULTY);
	run->framing = between(&a->rng, FAULTY_LENGTH,
			       calm ? FAULTY_CHUNKS : FAULTY_UNFRAMED);
	make_answer(a);
	if (!calm)
		draw_faults(a);
	run->sound = run->sent == run->len && !c->dirty &&
		     run->framing != FAULTY_UNFRAMED &&
		     run->next != FAULTY_RESET;
	if (srv->n_runs == FAULTY_RUNS_MAX)
		abort();
	srv->runs[srv->n_runs++] = *run;
	pthread_mutex_unlock(&srv->lock);
}

/* @return whether the connection stays open */
static bool answer(struct conn *c, const char *id)
{
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};
	struct answer a = {.head_len = 0};
	const struct faulty_run *run = &a.run;
	const char *more = a.text;
	char both[2 * ANSWER_MAX_BYTES];
	size_t n_more, now;

	strcpy(a.run.id, id);
	begin_run(c, &a);
	n_more = run->copied;
	now = run->sent;
	if (run->next >= FAULTY_STRAY) {
		more = strays[rng_below(&a.rng, N_STRAYS)];
		n_more = strlen(more);
	}
	memcpy(both, a.text, now);
	memcpy(both + now, more, n_more);
	if (run->next == FAULTY_COPY || run->next == FAULTY_STRAY)
		now += n_more;
	send(c->fd, both, now, MSG_NOSIGNAL);
	if (now < run->sent + n_more) {
		usleep((useconds_t)between(&a.rng, LATE_MIN_US, LATE_MAX_US));
		send(c->fd, more, n_more, MSG_NOSIGNAL);
	}
	c->dirty |= n_more > 0;
	if (run->next == FAULTY_RESET)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	else if (run->next == FAULTY_SILENT || (run->closes && n_more))
		usleep((useconds_t)between(&a.rng, SILENT_MIN_US,
					   SILENT_MAX_US));
	return !run->closes;
}

/* @return false at the connection's end */
static bool read_request(int fd, char id[64])
{
	char buf[REQUEST_MAX_BYTES] = "";
	const char *body, *p;
	size_t len = 0;
	ssize_t n;

	do {
		n = recv(fd, buf + len, sizeof(buf) - 1 - len, 0);
		if (n <= 0)
			return false;
		len += (size_t)n;
		body = strstr(buf, "\r\n\r\n");
		p = strcasestr(buf, "\nContent-Length:");
	} while (!body || !p ||
		 strlen(body + 4) < strtoul(strchr(p, ':') + 1, NULL, 10));
	p = strcasestr(buf, "\nX-Catkinpath-Request-Id:");
	return p && sscanf(strchr(p, ':') + 1, "%63s", id) == 1;
}

static void *conn_run(void *arg)
{
	struct conn *c = arg;
	char id[64];

	while (read_request(c->fd, id) && answer(c, id))
		;
	close(c->fd);
	free(c);
	return NULL;
}

/* A node that the test starts must not keep connections open. */
static void *accept_run(void *arg)
{
	const struct conn *listener = arg;
	pthread_t t;

	for (;;) {
		struct conn *c = calloc(1, sizeof(*c));

		if (!c)
			abort();
		*c = *listener;
		c->fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
		if (c->fd < 0 || pthread_create(&t, NULL, conn_run, c) != 0)
			abort();
		pthread_detach(t);
	}
	return NULL;
}

bool faulty_server_start(struct faulty_server *srv, const char *ip, int port,
			 uint64_t seed)
{
	static struct conn listeners[FAULTY_ADDRS];
	struct sockaddr_in sa = {.sin_family = AF_INET};
	struct conn *l = listeners;
	pthread_mutexattr_t attr;
	int one = 1;
	pthread_t t;

	pthread_mutexattr_init(&attr);
	pthread_mutexattr_settype(&attr, PTHREAD_MUTEX_RECURSIVE);
	pthread_mutex_init(&srv->lock, &attr);
	srv->seed = seed;
	inet_pton(AF_INET, ip, &sa.sin_addr);
	for (int i = 0; i < FAULTY_ADDRS; i++, l++) {
		l->srv = srv;
		l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		sa.sin_port = htons((uint16_t)(port + i));
		setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		if (bind(l->fd, (struct sockaddr *)&sa, sizeof(sa)) ||
		    listen(l->fd, SOMAXCONN) ||
		    pthread_create(&t, NULL, accept_run, l) != 0)
			return false;
		pthread_detach(t);
		snprintf(srv->addrs[i], sizeof(srv->addrs[i]), "%s:%d", ip,
			 port + i);
	}
	return true;
}
