// Callers that read their answers slowly or not at all: the memory held for them
// must be bounded, and other callers must be served again.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "node.h"
#include "support/http.h"
#include "support/proc.h"

enum {
	BIG_ANSWER_BYTES =
		3 * 1024 *
		1024, ///< bytes of an answer; two are more than max_held
	HEAD_MAX_BYTES =
		1024, ///< most bytes of an answer's status line and headers
	RCVBUF_BYTES = 16384,
	UNREAD_MS = 1000,
	WAIT_MS = 10000,
	READ_PAUSE_US = 150000, ///< between two reads of a slow reader
	READ_STEP_BYTES = 131072,
	PORT = 8000,
};

static struct node node;
static char big[BIG_ANSWER_BYTES];

static void on_big(struct core *c, struct core_req *r, void *ctx)
{
	core_reply(c, r->h, 200, "text/plain", big, sizeof(big));
}

static void on_unframed(struct core *c, struct core_req *r, void *ctx)
{
	core_reply_end_by_close(c, r->h);
	core_reply(c, r->h, 200, "text/plain", big, sizeof(big));
}

static void on_small(struct core *c, struct core_req *r, void *ctx)
{
	core_reply(c, r->h, 200, "text/plain", "s", 1);
}

static enum err slow_start(struct core *c, void **state)
{
	static const struct core_route_opts routes[] = {
		{CORE_LISTENER_PUBLIC, "GET", "/big", on_big, NULL},
		{CORE_LISTENER_PUBLIC, "GET", "/unframed", on_unframed, NULL},
		{CORE_LISTENER_PUBLIC, "GET", "/small", on_small, NULL},
	};

	core_route(c, &routes[0]);
	core_route(c, &routes[1]);
	return core_route(c, &routes[2]);
}

static const struct core_mod_ops mod = {.name = "t", .start = slow_start};

/* Open a connection and request a big answer on it. */
static int request_big(const char *path)
{
	char text[128];
	int len = snprintf(text, sizeof(text),
			   "GET %s HTTP/1.1\r\nHost: x\r\n"
			   "Connection: close\r\n\r\n",
			   path);
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_port = htons(PORT)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int size = RCVBUF_BYTES;

	inet_pton(AF_INET, node.ip, &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	assert_int_equal(send(fd, text, (size_t)len, 0), len);
	return fd;
}

static int small_status(char run[16])
{
	struct http_opts opts = {.method = "GET"};
	struct http_res res;
	char url[128];
	int status;

	snprintf(url, sizeof(url), "%s/small", node.url);
	opts.url = url;
	status = http_call(&opts, &res);
	snprintf(run, 16, "%s", res.run);
	http_free(&res);
	return status;
}

static bool was_reset; ///< the last connection that was read to its end

/* Read until the connection ends, with pauses of pause_us; @return bytes */
static size_t read_all(int fd, int pause_us)
{
	static char buf[READ_STEP_BYTES];
	size_t total = 0;
	size_t step = 0;
	ssize_t n;

	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0) {
		total += (size_t)n;
		step += (size_t)n;
		if (pause_us && step >= READ_STEP_BYTES) {
			usleep((useconds_t)pause_us);
			step = 0;
		}
	}
	was_reset = n < 0;
	return total;
}

static void test_unread_answers_are_bounded(void **state)
{
	int64_t start_ms = clock_now_ms();
	char run[16];
	int fds[2];

	for (int i = 0; i < 2; i++)
		fds[i] = request_big("/big");
	/* Two unread answers exceed max_held: new requests are refused at once. */
	while (small_status(run) == 200 &&
	       clock_now_ms() < start_ms + UNREAD_MS)
		usleep(10000);
	assert_int_equal(small_status(run), 503);
	assert_string_equal(run, "no");
	while (small_status(run) != 200 && clock_now_ms() < start_ms + WAIT_MS)
		usleep(50000);
	assert_int_equal(small_status(run), 200);
	assert_in_range(clock_now_ms() - start_ms, UNREAD_MS, WAIT_MS);
	for (int i = 0; i < 2; i++) {
		assert_true(read_all(fds[i], 0) < BIG_ANSWER_BYTES);
		close(fds[i]);
	}
}

/* Reading takes several times unread_timeout, but never pauses that long. */
static void test_slow_reader_gets_whole_answer(void **state)
{
	int64_t start_ms = clock_now_ms();
	int fd = request_big("/big");

	assert_in_range(read_all(fd, READ_PAUSE_US), BIG_ANSWER_BYTES + 1,
			BIG_ANSWER_BYTES + HEAD_MAX_BYTES);
	assert_true(clock_now_ms() - start_ms > 2 * UNREAD_MS);
	close(fd);
}

/* A caller that read nothing for too long got the begin of a body without a length, and
 * its orderly end. */
static void test_unread_body_without_length_does_not_look_whole(void **state)
{
	int fd = request_big("/unframed");

	usleep(3 * UNREAD_MS * 1000);
	assert_true(read_all(fd, 0) < BIG_ANSWER_BYTES);
	assert_true(was_reset);
	close(fd);
}

static int setup(void **state)
{
	memset(big, 'x', sizeof(big));
	return node_start(&node, 1, "s", &mod,
			  "[http]\nmax_held = 4MB\nunread_timeout = 1s\n")
		       ? 0
		       : -1;
}

static int teardown(void **state)
{
	node_stop(&node);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unread_answers_are_bounded),
		cmocka_unit_test(test_slow_reader_gets_whole_answer),
		cmocka_unit_test(
			test_unread_body_without_length_does_not_look_whole),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
