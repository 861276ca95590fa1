// Thousands of seeded malformed requests to a running daemon: each gets a typed
// error or a clean close, and valid requests in between succeed.
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
#include "support/ctl.h"
#include "support/http.h"
#include "support/malform.h"
#include "support/sys.h"

enum {
	SEED = 5,
	REQUESTS = 4000,
	GOOD_EVERY = 50,
	WAIT_BYTES = 16, ///< one in so many random requests awaits an answer
	WAIT_CUT = 100, ///< one in so many cut requests awaits an answer
	RECEIVE_MS = 1500, ///< receive_timeout in the settings below
	ANSWER_S = 10, ///< longest wait for an answer or a close
	SLOW_CLIENTS = 40,
	REPLY_MAX = 8192,
	FDS_SLACK = 8,
};

static const char settings[] = "[http]\nmax_body = 64KB\n"
			       "receive_timeout = 1500ms\nidle_timeout = 1s\n";

static struct sys sys;

static uint64_t wait_of(enum malform_kind kind)
{
	if (kind == MALFORM_BYTES)
		return WAIT_BYTES;
	return kind == MALFORM_FRAMING || kind == MALFORM_CUT ? WAIT_CUT : 1;
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

/// Close without reading, at random with FIN or with RST.
static int hang_up(int fd, struct rng *rng)
{
	struct linger reset = {1, 0};

	if (rng_below(rng, 2))
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	return 0;
}

/// Send in pieces, shut down writing, read until the server closes. As the
/// server may wait for the rest of a request until its timeout, only one in
/// `wait` requests reads the answer; the others close the connection.
///
/// @return bytes of the answer, -1 if the connection was not closed
static int exchange(const struct malform *w, struct rng *rng, uint64_t wait,
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
	int served; ///< accepted as a valid request
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
	static struct malform w;
	struct rng rng = {SEED};
	struct tally t = {0};
	int fds = open_fds();

	printf("seed %d\n", SEED);
	for (int i = 0; i < REQUESTS; i++) {
		char reply[REPLY_MAX];
		enum malform_kind kind =
			(enum malform_kind)rng_below(&rng, MALFORM_KINDS);
		int len;

		malform_make(&w, kind, &rng);
		len = exchange(&w, &rng, wait_of(kind), reply);
		if (len < 0 || !tally_reply(&t, reply, len))
			fail_msg("request %d of kind %d: %.200s", i, kind,
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

/// Clients that send a byte every 50 ms are cut off and delay no other call.
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
		/* The timeout applies twice: to the first line and to the rest. */
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
	static const char *const route[] = {
		"route", "add", "desk", "--service", "desk", "--open", NULL};
	char out[4096];

	assert_true(sys_start(&sys, &opts));
	assert_int_equal(ctl_run(&sys, route, out, sizeof(out)), 0);
	assert_true(wait_until(good_call, NULL, 30000));
	return 0;
}

static int stop(void **state)
{
	int status = -1;

	/* Sanitizers report at a clean exit. */
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
