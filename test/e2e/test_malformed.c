// Thousands of seeded malformed requests against a running daemon: a typed
// error or a clean close each time, and good requests work between.
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/rng.h"
#include "support/http.h"
#include "support/sys.h"

enum {
	SEED = 5,
	REQUESTS = 4000,
	GOOD_EVERY = 50,
	WAIT_BYTES = 16, ///< of so many random ones, one waits for an answer
	WAIT_CUT = 100, ///< of so many cut requests, one waits
	MAX_BODY = 65536, ///< as set in the daemon's settings
	RECEIVE_MS = 1500, ///< as set in the daemon's settings
	ANSWER_S = 10, ///< longest wait for an answer or a close
	SLOW_CLIENTS = 40,
	WIRE_MAX = 200000,
	REPLY_MAX = 8192,
	FDS_SLACK = 8,
};

static const char settings[] = "[http]\nmax_body = 64KB\n"
			       "receive_timeout = 1500ms\nidle_timeout = 1s\n";

static struct sys sys;

struct wire {
	char buf[WIRE_MAX];
	size_t len;
};

__attribute__((format(printf, 2, 3))) static void put(struct wire *w,
						      const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(w->buf + w->len, sizeof(w->buf) - w->len, fmt, ap);
	va_end(ap);
	w->len += (size_t)n;
	assert_true(w->len < sizeof(w->buf));
}

static void put_random(struct wire *w, struct rng *rng, size_t len)
{
	while (len--)
		w->buf[w->len++] = (char)rng_next(rng);
}

static void put_fill(struct wire *w, char c, size_t len)
{
	memset(w->buf + w->len, c, len);
	w->len += len;
}

static void bytes(struct wire *w, struct rng *rng)
{
	put_random(w, rng, 1 + rng_below(rng, 500));
	if (rng_below(rng, 2))
		put(w, "\r\n\r\n");
}

static void request_line(struct wire *w, struct rng *rng)
{
	static const char *const lines[] = {
		"GET",
		"GET /",
		"GET / HTTP/9.9",
		"GET / HTTX/1.1",
		" GET / HTTP/1.1",
		"GET  /  HTTP/1.1",
		"get /healthz HTTP/1.1",
		"GET /\t HTTP/1.1",
		"GET / HTTP/1.1 more",
		"",
		"GET http:// HTTP/1.1",
		"GET * HTTP/1.1",
		"/ GET HTTP/1.1",
	};

	put(w, "%s\r\nHost: x\r\n\r\n",
	    lines[rng_below(rng, sizeof(lines) / sizeof(lines[0]))]);
}

static void path(struct wire *w, struct rng *rng)
{
	put(w, "GET /v1/call/");
	switch (rng_below(rng, 5)) {
	case 0:
		put_fill(w, 'a', 30000);
		break;
	case 1:
		for (int i = 0; i < 20; i++)
			w->buf[w->len++] = (char)(1 + rng_below(rng, 31));
		break;
	case 2:
		put(w, "%%zz%%00%%%%../../etc/passwd");
		break;
	case 3:
		for (int i = 0; i < 20; i++)
			w->buf[w->len++] = (char)(128 + rng_below(rng, 128));
		break;
	default:
		put(w, "desk?a=%%g1&&&=&%%");
		break;
	}
	put(w, " HTTP/1.1\r\nHost: x\r\n\r\n");
}

static void headers(struct wire *w, struct rng *rng)
{
	put(w, "POST /v1/call/desk/x HTTP/1.1\r\n");
	switch (rng_below(rng, 7)) {
	case 0:
		put(w, "no colon here\r\n");
		break;
	case 1:
		put(w, "X-Long: ");
		put_fill(w, 'b', 40000);
		put(w, "\r\n");
		break;
	case 2:
		for (int i = 0; i < 300; i++)
			put(w, "X-%d: %d\r\n", i, i);
		break;
	case 3:
		put(w, "Content-Length: -5\r\n");
		break;
	case 4:
		put(w, "Content-Length: 99999999999999999999999\r\n");
		break;
	case 5:
		put(w, "Content-Length: 5\r\nContent-Length: 7\r\n");
		break;
	default:
		put(w, "X: a");
		put_random(w, rng, 30);
		put(w, "\r\n");
		break;
	}
	put(w, "\r\nhello");
}

static void framing(struct wire *w, struct rng *rng)
{
	static const char *const chunks[] = {
		"zz\r\nhello\r\n",
		"ffffffffffffffffff\r\nhello\r\n",
		"-1\r\n",
		"5\r\nhelloX",
		"5",
		"\r\n\r\n",
		"5;ext=1\r\nhe",
		"7fffffff\r\nhello",
	};

	put(w,
	    "POST /v1/call/desk/x HTTP/1.1\r\nHost: x\r\n"
	    "Transfer-Encoding: %s\r\n\r\n%s",
	    rng_below(rng, 4) ? "chunked" : "gzip, odd",
	    chunks[rng_below(rng, sizeof(chunks) / sizeof(chunks[0]))]);
}

static void cut_body(struct wire *w, struct rng *rng)
{
	put(w,
	    "POST /v1/call/desk/x HTTP/1.1\r\nHost: x\r\n"
	    "Content-Length: %d\r\n\r\n",
	    1000);
	put_fill(w, 'c', rng_below(rng, 1000));
}

static void large_body(struct wire *w, struct rng *rng)
{
	size_t len = MAX_BODY + 1 + rng_below(rng, 100000);

	put(w, "POST /v1/call/desk/x HTTP/1.1\r\nHost: x\r\n");
	if (rng_below(rng, 2)) {
		put(w, "Content-Length: %zu\r\n\r\n", len);
		put_fill(w, 'd', len);
		return;
	}
	put(w, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n", len);
	put_fill(w, 'd', len);
	put(w, "\r\n0\r\n\r\n");
}

static void method(struct wire *w, struct rng *rng)
{
	static const char *const methods[] = {
		"TRACE",  "CONNECT", "FOO",
		"PATCH",  "DELETE",  "VERYLONGMETHODVERYLONGMETHOD",
		"G\x01T", "OPTIONS",
	};

	put(w, "%s /v1/rollouts HTTP/1.1\r\nHost: x\r\n\r\n",
	    methods[rng_below(rng, sizeof(methods) / sizeof(methods[0]))]);
}

static void json(struct wire *w, struct rng *rng)
{
	static const char *const paths[] = {
		"/v1/generate/talk", "/v1/rollouts",  "/v1/rollouts/x/pull",
		"/v1/call/nothing",  "/v1/generate/",
	};
	static const char *const bodies[] = {
		"{",
		"[[[[[[[[[[",
		"{\"prompt\":\"x\"}",
		"\xff\xfe\x00",
		"null",
		"{\"prompt\":[1],\"max_tokens\":-1}",
		"{\"batch\":{}}",
		"{\"prompt\":[99999999999999999999]}",
		"\"",
		"{\"a\":1}x",
	};
	const char *body =
		bodies[rng_below(rng, sizeof(bodies) / sizeof(bodies[0]))];

	put(w,
	    "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    paths[rng_below(rng, sizeof(paths) / sizeof(paths[0]))],
	    rng_below(rng, 2) ? "ck_wrong" : "", strlen(body), body);
}

static void (*const kinds[])(struct wire *w, struct rng *rng) = {
	bytes,	  request_line, path,	headers, framing,
	cut_body, large_body,	method, json,
};

enum {
	KINDS = sizeof(kinds) / sizeof(kinds[0]),
};

static uint64_t wait_of(size_t kind)
{
	if (kinds[kind] == bytes)
		return WAIT_BYTES;
	return kinds[kind] == framing || kinds[kind] == cut_body ? WAIT_CUT : 1;
}

static int dial(void)
{
	struct timeval tv = {ANSWER_S, 0};
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port = htons(SYS_PUBLIC_PORT),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, sys.nodes[0].ip, &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return fd;
}

/// Leave without reading, by an end or by a reset.
static int hang_up(int fd, struct rng *rng)
{
	struct linger reset = {1, 0};

	if (rng_below(rng, 2))
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	return 0;
}

/// Send in pieces, end the sending side, read to the close. Callers of a
/// request that may seem unfinished leave, but for one of `wait` that stays
/// up to the time limit.
///
/// @return bytes of the answer, -1 if the connection was not closed
static int exchange(const struct wire *w, struct rng *rng, uint64_t wait,
		    char *reply)
{
	int fd = dial();
	size_t at = 0;
	int got = 0;

	reply[0] = '\0';
	while (at < w->len) {
		size_t piece = 1 + rng_below(rng, w->len);
		ssize_t n;

		if (piece > w->len - at)
			piece = w->len - at;
		n = send(fd, w->buf + at, piece, MSG_NOSIGNAL);
		if (n <= 0)
			break;
		at += (size_t)n;
	}
	if (rng_below(rng, wait))
		return hang_up(fd, rng);
	shutdown(fd, SHUT_WR);
	for (;;) {
		ssize_t n =
			recv(fd, reply + got, (size_t)(REPLY_MAX - 1 - got), 0);

		if (n < 0 && errno == ECONNRESET)
			n = 0;
		if (n <= 0) {
			close(fd);
			reply[got] = '\0';
			return n < 0 ? -1 : got;
		}
		got += (int)n;
		assert_true(got < REPLY_MAX - 1);
	}
}

struct tally {
	int typed; ///< error with a code
	int status; ///< error status of the HTTP library, without a code
	int closed; ///< no answer
	int served; ///< taken for a request after all
};

static bool tally_reply(struct tally *t, const char *reply, int len)
{
	int status = len ? atoi(reply + 9) : 0;

	if (len == 0) {
		t->closed++;
		return true;
	}
	if (strncmp(reply, "HTTP/1.", 7) != 0 || status < 200)
		return false;
	if (status < 300)
		t->served++;
	else if (strstr(reply, "\"code\":\""))
		t->typed++;
	else
		t->status++;
	return true;
}

static bool good_call(void *ctx)
{
	char url[128];
	struct http_opts opts = {
		.method = "POST",
		.url = url,
		.body = "{\"call\":\"good\"}",
	};
	struct http_res res;
	int status;

	snprintf(url, sizeof(url), "%s/v1/call/desk/book", sys.nodes[0].url);
	status = http_call(&opts, &res);
	http_free(&res);
	return status == 200;
}

static int open_fds(void)
{
	char dir[64];
	int n = 0;
	DIR *d;

	snprintf(dir, sizeof(dir), "/proc/%d/fd", (int)sys.nodes[0].proc.pid);
	d = opendir(dir);
	assert_non_null(d);
	while (readdir(d))
		n++;
	closedir(d);
	return n;
}

static bool fds_back(void *ctx)
{
	return open_fds() <= *(int *)ctx + FDS_SLACK;
}

static void test_malformed(void **state)
{
	static struct wire w;
	struct rng rng = {SEED};
	struct tally t = {0};
	int fds = open_fds();

	printf("seed %d\n", SEED);
	for (int i = 0; i < REQUESTS; i++) {
		char reply[REPLY_MAX];
		size_t kind = rng_below(&rng, KINDS);
		int len;

		w.len = 0;
		kinds[kind](&w, &rng);
		len = exchange(&w, &rng, wait_of(kind), reply);
		if (len < 0 || !tally_reply(&t, reply, len))
			fail_msg("request %d of kind %zu: %.200s", i, kind,
				 reply);
		if (i % GOOD_EVERY == 0)
			assert_true(good_call(NULL));
	}
	printf("%d requests: %d typed, %d status only, %d closed, %d served\n",
	       REQUESTS, t.typed, t.status, t.closed, t.served);
	assert_true(good_call(NULL));
	assert_int_equal(kill(sys.nodes[0].proc.pid, 0), 0);
	assert_true(wait_until(fds_back, &fds, 10000));
}

static bool still_open(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	char c;

	return poll(&p, 1, 0) == 0 || recv(fd, &c, 1, MSG_DONTWAIT) > 0;
}

/// Clients that send a byte now and then are cut off, and hold up nobody.
static void test_slow_clients(void **state)
{
	static const char text[] = "POST /v1/call/desk/x HTTP/1.1\r\n"
				   "Host: x\r\nContent-Length: 500\r\n\r\n";
	int fds[SLOW_CLIENTS];
	int64_t start = clock_now_ms();
	int left = SLOW_CLIENTS;

	for (int i = 0; i < SLOW_CLIENTS; i++)
		fds[i] = dial();
	for (size_t at = 0; left > 0; at++) {
		left = 0;
		for (int i = 0; i < SLOW_CLIENTS; i++) {
			const char *c = at < sizeof(text) - 1 ? &text[at] : "x";

			if (fds[i] < 0)
				continue;
			if (send(fds[i], c, 1, MSG_NOSIGNAL) == 1 &&
			    still_open(fds[i])) {
				left++;
				continue;
			}
			close(fds[i]);
			fds[i] = -1;
		}
		assert_true(good_call(NULL));
		usleep(50000);
		/* Two limits: to the first line's end, and from there. */
		assert_true(clock_now_ms() - start < 10 * RECEIVE_MS);
	}
	printf("all %d cut off after %d ms\n", SLOW_CLIENTS,
	       (int)(clock_now_ms() - start));
}

static int start(void **state)
{
	struct sys_opts opts = {
		.domains = 1,
		.nodes_per_domain = 1,
		.services_per_domain = 1,
		.settings = settings,
	};
	const char *argv[] = {"catkinctl", "--node",	NULL,	"route",  "add",
			      "desk",	   "--service", "desk", "--open", NULL};
	struct proc p;
	int status = -1;

	assert_true(sys_start(&sys, &opts));
	argv[2] = sys.nodes[0].admin;
	assert_true(proc_start(&p, "ctl", argv));
	assert_true(proc_wait(&p, 20000, &status));
	assert_int_equal(status, 0);
	assert_true(wait_until(good_call, NULL, 30000));
	return 0;
}

static int stop(void **state)
{
	int status = -1;

	/* The sanitizers speak up at a clean end. */
	proc_signal(&sys.nodes[0].proc, SIGTERM);
	assert_true(proc_wait(&sys.nodes[0].proc, 20000, &status));
	assert_int_equal(status, 0);
	sys_stop(&sys);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_malformed),
		cmocka_unit_test(test_slow_clients),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
