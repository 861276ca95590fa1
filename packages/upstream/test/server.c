// Faulty test server with one thread per connection.
#include "server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
	REQ_MAX_BYTES = 4096,
	BACKLOG = 64,
	SERVER_KEEP_OPEN_MS = 20,
};

static atomic_int requests;
char server_parts[SERVER_PARTS][SERVER_PART_MAX_BYTES];

static int listen_on(const char *ip, int port)
{
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	inet_pton(AF_INET, ip, &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, BACKLOG))
		abort();
	return fd;
}

/// Read one request without a body.
static bool read_request(int fd, char *buf)
{
	size_t len = 0;

	for (;;) {
		ssize_t n = recv(fd, buf + len, REQ_MAX_BYTES - 1 - len, 0);

		if (n <= 0)
			return false;
		len += (size_t)n;
		buf[len] = '\0';
		if (strstr(buf, "\r\n\r\n"))
			break;
	}
	atomic_fetch_add(&requests, 1);
	return true;
}

static void answer(int fd, size_t body, size_t part)
{
	char head[128];
	char *bytes = malloc(part + 1);
	size_t n_sent = 0;

	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 body);
	send(fd, head, strlen(head), MSG_NOSIGNAL);
	memset(bytes, 'x', part);
	while (n_sent < part) {
		ssize_t n =
			send(fd, bytes + n_sent, part - n_sent, MSG_NOSIGNAL);

		if (n <= 0)
			break;
		n_sent += (size_t)n;
	}
	free(bytes);
}

static bool path_is(const char *req, const char *path)
{
	const char *p = strchr(req, ' ');

	return p && strncmp(p + 1, path, strlen(path)) == 0;
}

struct endless {
	const char *part;
	const char *begin;
	const char *repeated; ///< sent repeatedly
};

static const struct endless endless[] = {
	{"lines", "HTTP/1.1 200 OK\r\n", "no field\r\n"},
	{"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	{"line", "HTTP/1.1 200 OK\r\nA: ", "bbbbbbbbbbbbbbbb"},
	{"interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"garbage", "", "no answer at all\r\n"},
	{"status", "HTTP/1.1 2", "00000000"},
	{"body", "HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxxxxxxxx"},
	{"chunk",
	 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	 "7fffffffffffffff\r\n",
	 "xxxxxxxxxxxxxxxx"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	 "1\r\nx\r\n"},
	{"trailer",
	 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	 "A: b\r\n"},
};

#define ID "X-Catkinpath-Request-Id: 7\r\nX-Catkinpath-Server-Seal: s\r\n"

const struct server_answer server_answers[SERVER_ALL_ANSWERS] = {
	{"HTTP/1.1 200 OK\r\n" ID "Content-Length: 12\r\n\r\n0123456789ab",
	 "GET", false},
	{"HTTP/1.1 200 OK\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
	 "4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n",
	 "GET", false},
	{"HTTP/1.1 200 OK\r\n" ID "\r\n0123456789", "GET", true},
	{"HTTP/1.1 100 Continue\r\n\r\n"
	 "HTTP/1.1 200 OK\r\n" ID "Content-Length: 2\r\n\r\nok",
	 "GET", false},
	{"HTTP/1.1 204 No Content\r\n" ID "\r\n", "GET", false},
	{"HTTP/1.0 200 OK\r\n" ID "\r\nabcdef", "GET", true},
	{"HTTP/1.1 503 Busy\r\nX-Catkinpath-Not-Run: 1\r\n" ID
	 "Content-Length: 4\r\n\r\nbusy",
	 "GET", false},
	{"HTTP/1.1 200 OK\r\n" ID "Content-Length: 90\r\n\r\n", "HEAD", false},
	{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" ID "\r\n", "POST", false},
	{"HTTP/1.1 200 OK\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
	 "aa\r\n" SERVER_LONG_CHUNK "\r\n0\r\n\r\n",
	 "GET", false},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n01234", "GET",
	 true},
	{"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n"
	 "01234",
	 "GET", false},
	{"HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\n01234", "GET", false},
	{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\n"
	 "01234",
	 "GET", false},
};

const char *const server_texts[SERVER_TEXTS] = {
	"it said HTTP/1.1 200 OK",
	"HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 404 Not Found\r\nContent-Length: 50\r\n\r\nnot all",
	"ends with HTTP/1",
	"ends with H",
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"HTTP/1.1 200 HTTP/1.1 200 HTTP/1.1 200",
};

const char *const server_strays[SERVER_STRAYS] = {
	"",
	"\r\n",
	"neither a field\r\nnor a line",
	"HTTP/1.1 200 OK\r\nX-Catkinpath-Request-Id: 6\r\nContent-Length: 5\r\n\r\nother",
	"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
};

static void pause_ms(int ms)
{
	struct timespec ts = {0, ms * 1000000L};

	nanosleep(&ts, NULL);
}

/* The client's kernel gets what was sent before the reset. */
static void reset_after(int fd)
{
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};
	struct timespec ts = {0, 2000000};

	nanosleep(&ts, NULL);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

static bool serve_cut(int fd, const char *req)
{
	int k, n;

	if (sscanf(strchr(req, ' ') + 1, "/cut/%d/%d ", &k, &n) != 2 &&
	    sscanf(strchr(req, ' ') + 1, "/rst/%d/%d ", &k, &n) != 2)
		return false;
	send(fd, server_answers[k].text, (size_t)n, MSG_NOSIGNAL);
	if (path_is(req, "/rst/"))
		reset_after(fd);
	return true;
}

static void send_part(int fd, const char *text, size_t len, int gap_ms)
{
	const char *end = strstr(text, "\r\n\r\n");
	size_t head = end ? (size_t)(end - text) + 4 : len;

	if (gap_ms < 0 && head < len) {
		send(fd, text, head, MSG_NOSIGNAL);
		pause_ms(-gap_ms);
		text += head;
		len -= head;
	}
	send(fd, text, len, MSG_NOSIGNAL);
}

/* Until the client closes, or long enough for it to look at what it got. */
static void keep_open(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};

	poll(&p, 1, SERVER_KEEP_OPEN_MS);
}

static bool serve_copy(int fd, const char *req)
{
	char both[2048];
	int k, n, copy, gap_ms;
	const char *text;
	size_t len;

	if (sscanf(strchr(req, ' ') + 1, "/copy/%d/%d/%d/%d ", &k, &n, &copy,
		   &gap_ms) != 4)
		return false;
	text = server_answers[k].text;
	len = copy < 0 ? strlen(text) : (size_t)copy;
	if (gap_ms > 0) {
		send(fd, text, (size_t)n, MSG_NOSIGNAL);
		pause_ms(gap_ms);
		send(fd, text, len, MSG_NOSIGNAL);
	} else {
		memcpy(both, text, (size_t)n);
		memcpy(both + n, text, len);
		both[(size_t)n + len] = '\0';
		send_part(fd, both, (size_t)n + len, gap_ms);
	}
	if (copy < 0)
		keep_open(fd);
	return true;
}

static bool serve_text(int fd, const char *req)
{
	char text[1024];
	int b, s, n;

	if (sscanf(strchr(req, ' ') + 1, "/text/%d/%d ", &b, &s) != 2)
		return false;
	n = snprintf(text, sizeof(text),
		     "HTTP/1.1 200 OK\r\n" ID "Content-Length: %zu\r\n\r\n%s%s",
		     strlen(server_texts[b]), server_texts[b],
		     server_strays[s]);
	send(fd, text, (size_t)n, MSG_NOSIGNAL);
	keep_open(fd);
	return true;
}

static bool serve_parts(int fd, const char *req)
{
	if (!path_is(req, "/parts"))
		return false;
	for (int i = 0; i < SERVER_PARTS && *server_parts[i]; i++) {
		if (i)
			pause_ms(SERVER_PART_GAP_MS);
		send(fd, server_parts[i], strlen(server_parts[i]),
		     MSG_NOSIGNAL);
	}
	keep_open(fd);
	return true;
}

/* At full speed a buffer of many pieces is sent at once. */
static void send_repeatedly(int fd, const struct endless *e, bool slow)
{
	char buf[4096];
	size_t len = strlen(e->repeated);
	size_t n = 0;

	while (n + len <= sizeof(buf)) {
		memcpy(buf + n, e->repeated, len);
		n += len;
	}
	send(fd, e->begin, strlen(e->begin), MSG_NOSIGNAL);
	while (send(fd, buf, slow ? len : n, MSG_NOSIGNAL) > 0) {
		if (slow)
			pause_ms(SERVER_DROP_INTERVAL_MS);
	}
}

static bool serve_endless(int fd, const char *req)
{
	bool slow = path_is(req, "/drop/");
	const char *part = strchr(req, ' ') + sizeof("/drop/");

	if (!slow && !path_is(req, "/endless/"))
		return false;
	if (!slow)
		part += sizeof("/endless/") - sizeof("/drop/");
	for (size_t i = 0; i < sizeof(endless) / sizeof(endless[0]); i++) {
		size_t len = strlen(endless[i].part);

		if (strncmp(part, endless[i].part, len) == 0 &&
		    part[len] == ' ')
			send_repeatedly(fd, &endless[i], slow);
	}
	return true;
}

/// @return false to end the connection
static bool serve(int fd, const char *req, int nth)
{
	if (serve_endless(fd, req) || serve_cut(fd, req) ||
	    serve_copy(fd, req) || serve_text(fd, req) || serve_parts(fd, req))
		return false;
	if (path_is(req, "/garbage")) {
		send(fd, "no answer\r\n\r\n", 13, MSG_NOSIGNAL);
		return false;
	}
	if (path_is(req, "/silent")) {
		char c;

		while (recv(fd, &c, 1, 0) > 0)
			;
		return false;
	}
	if (path_is(req, "/half") || path_is(req, "/drip")) {
		answer(fd, 100, 50);
		return path_is(req, "/drip");
	}
	if (path_is(req, "/die") && nth > 0)
		return false;
	answer(fd, path_is(req, "/big") ? SERVER_BIG_BYTES : 2,
	       path_is(req, "/big") ? SERVER_BIG_BYTES : 2);
	return true;
}

static void *conn_run(void *arg)
{
	int fd = (int)(intptr_t)arg;
	char req[REQ_MAX_BYTES];

	for (int nth = 0; read_request(fd, req); nth++) {
		if (!serve(fd, req, nth))
			break;
	}
	close(fd);
	return NULL;
}

static void *accept_run(void *arg)
{
	int listener = (int)(intptr_t)arg;

	for (;;) {
		int fd = accept(listener, NULL, NULL);
		pthread_t t;

		if (fd < 0)
			return NULL;
		pthread_create(&t, NULL, conn_run, (void *)(intptr_t)fd);
		pthread_detach(t);
	}
}

static void *reset_run(void *arg)
{
	int listener = (int)(intptr_t)arg;
	struct linger reset = {1, 0};

	for (;;) {
		int fd = accept(listener, NULL, NULL);

		if (fd < 0)
			return NULL;
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		close(fd);
	}
}

void server_start(const char *ip)
{
	intptr_t ok = listen_on(ip, SERVER_PORT);
	intptr_t reset = listen_on(ip, SERVER_RESET_PORT);
	pthread_t t;

	pthread_create(&t, NULL, accept_run, (void *)ok);
	pthread_detach(t);
	pthread_create(&t, NULL, reset_run, (void *)reset);
	pthread_detach(t);
}

int server_requests(void)
{
	return atomic_exchange(&requests, 0);
}
