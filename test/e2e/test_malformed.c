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
	VALID_CALL_EVERY = 50,
	RANDOM_PER_WAIT = 16, ///< one in so many random requests is awaited
	CUTS_PER_WAIT = 100, ///< one in so many cut or misframed ones is
	RECEIVE_TIMEOUT_MS = 1500, ///< receive_timeout in the settings below
	ANSWER_TIMEOUT_S = 10, ///< longest wait for an answer or a close
	SLOW_CLIENTS = 40,
	REPLY_MAX = 8192,
	FDS_TOLERANCE = 8,
};

static const char settings[] = "[http]\nmax_body = 64KB\n"
			       "receive_timeout = 1500ms\nidle_timeout = 1s\n";

static struct sys sys;

static uint64_t requests_per_wait(enum malform_kind kind)
{
	if (kind == MALFORM_BYTES)
		return RANDOM_PER_WAIT;
	return kind == MALFORM_FRAMING || kind == MALFORM_SHORT_BODY
		       ? CUTS_PER_WAIT
		       : 1;
}

static int connect_node(void)
{
	struct timeval tv = {ANSWER_TIMEOUT_S, 0};
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
static int close_unread(int fd, struct rng *rng)
{
	struct linger reset = {1, 0};

	if (rng_below(rng, 2))
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	return 0;
}

/// Send in pieces, shut down writing, read until the server closes. As the
/// server may wait for the rest of a request until its timeout, only one in
/// `per_wait` requests reads the answer; the others close the connection.
///
/// @return bytes of the answer, -1 if the connection was not closed
static int exchange(const struct malform *w, struct rng *rng, uint64_t per_wait,
		    char *reply)
{
	int fd = connect_node();
	size_t sent = 0;
	int received = 0;

	reply[0] = '\0';
	while (sent < w->len) {
		size_t piece = 1 + rng_below(rng, w->len);
		ssize_t n;

		if (piece > w->len - sent)
			piece = w->len - sent;
		n = send(fd, w->buf + sent, piece, MSG_NOSIGNAL);
		if (n <= 0)
			break;
		sent += (size_t)n;
	}
	if (rng_below(rng, per_wait))
		return close_unread(fd, rng);
	shutdown(fd, SHUT_WR);
	for (;;) {
		ssize_t n = recv(fd, reply + received,
				 (size_t)(REPLY_MAX - 1 - received), 0);

		if (n < 0 && errno == ECONNRESET)
			n = 0;
		if (n <= 0) {
			close(fd);
			reply[received] = '\0';
			return n < 0 ? -1 : received;
		}
		received += (int)n;
		assert_true(received < REPLY_MAX - 1);
	}
}

struct reply_counts {
	int typed_errors; ///< error with a code
	int status; ///< error status of the HTTP library, without a code
	int closed; ///< no answer
	int accepted; ///< accepted as a valid request
};

static bool count_reply(struct reply_counts *t, const char *reply, int len)
{
	int status = len ? atoi(reply + 9) : 0;

	if (len == 0) {
		t->closed++;
		return true;
	}
	if (strncmp(reply, "HTTP/1.", 7) != 0 || status < 200)
		return false;
	if (status < 300)
		t->accepted++;
	else if (strstr(reply, "\"code\":\""))
		t->typed_errors++;
	else
		t->status++;
	return true;
}

static bool valid_call_works(void *ctx)
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

static bool fds_released(void *ctx)
{
	return open_fds() <= *(int *)ctx + FDS_TOLERANCE;
}

static void test_malformed_requests_refused_or_closed(void **state)
{
	static struct malform w;
	struct rng rng = {SEED};
	struct reply_counts t = {0};
	int fds = open_fds();

	printf("seed %d\n", SEED);
	for (int i = 0; i < REQUESTS; i++) {
		char reply[REPLY_MAX];
		enum malform_kind kind =
			(enum malform_kind)rng_below(&rng, MALFORM_KINDS);
		int len;

		malform_make(&w, kind, &rng);
		len = exchange(&w, &rng, requests_per_wait(kind), reply);
		if (len < 0 || !count_reply(&t, reply, len))
			fail_msg("request %d of kind %d: %.200s", i, kind,
				 reply);
		if (i % VALID_CALL_EVERY == 0)
			assert_true(valid_call_works(NULL));
	}
	printf("%d requests: %d typed, %d status only, %d closed, %d served\n",
	       REQUESTS, t.typed_errors, t.status, t.closed, t.accepted);
	assert_true(valid_call_works(NULL));
	assert_int_equal(kill(sys.nodes[0].proc.pid, 0), 0);
	assert_true(wait_until(fds_released, &fds, 10000));
}

static bool still_open(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	char c;

	return poll(&p, 1, 0) == 0 || recv(fd, &c, 1, MSG_DONTWAIT) > 0;
}

/// Clients that send a byte every 50 ms are cut off and delay no other call.
static void test_slow_clients_cut_off(void **state)
{
	static const char text[] = "POST /v1/call/desk/x HTTP/1.1\r\n"
				   "Host: x\r\nContent-Length: 500\r\n\r\n";
	int fds[SLOW_CLIENTS];
	int64_t start = clock_now_ms();
	int open_clients = SLOW_CLIENTS;

	for (int i = 0; i < SLOW_CLIENTS; i++)
		fds[i] = connect_node();
	for (size_t offset = 0; open_clients > 0; offset++) {
		open_clients = 0;
		for (int i = 0; i < SLOW_CLIENTS; i++) {
			const char *c =
				offset < sizeof(text) - 1 ? &text[offset] : "x";

			if (fds[i] < 0)
				continue;
			if (send(fds[i], c, 1, MSG_NOSIGNAL) == 1 &&
			    still_open(fds[i])) {
				open_clients++;
				continue;
			}
			close(fds[i]);
			fds[i] = -1;
		}
		assert_true(valid_call_works(NULL));
		usleep(50000);
		/* The timeout applies twice: to the first line and to the rest. */
		assert_true(clock_now_ms() - start < 10 * RECEIVE_TIMEOUT_MS);
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
	assert_true(wait_until(valid_call_works, NULL, 30000));
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
		cmocka_unit_test(test_malformed_requests_refused_or_closed),
		cmocka_unit_test(test_slow_clients_cut_off),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
