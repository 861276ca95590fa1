// A caller that is stopped and goes on at random points of its calls: nothing of
// a call arrives after its time to be sent. A look at the clock alone fails the
// same count.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/mbox.h"
#include "base/rng.h"
#include "support/addr.h"
#include "upstream/upstream.h"

enum {
	SEED = 20261204,
	PORT = 7704,
	SOCKS = 32,
	SEND_MS = 40, ///< from a call's begin to the end of its time
	WRITE_US = 2000, ///< between the look at the clock and the write
	GUARDED_FREEZES = 60,
	NAIVE_FREEZES = 15,
	FREEZE_MS = 60, ///< at least: longer than SEND_MS
};

static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

static char ip[16];

/* The program's own send(): a stop is likely to hit between check and write. */
ssize_t send(int fd, const void *data, size_t len, int flags)
{
	int64_t end = clock_now_us() + WRITE_US;

	while (clock_now_us() < end)
		;
	return syscall(SYS_sendto, fd, data, len, flags | MSG_NOSIGNAL, NULL,
		       0);
}

/* One call after another, each tells its time. */
static void caller(bool cut_late)
{
	const struct upstream_ops *ops = &upstream_curl_ops;
	struct mbox *box = mbox_new(64);
	const struct upstream_opts opts = {.events = box, .max_calls = 16};
	struct upstream *up;

	if (ops->start(&opts, &up) != ERR_OK)
		_exit(1);
	for (;;) {
		struct pollfd p = {.fd = mbox_fd(box), .events = POLLIN};
		struct upstream_event *ev;
		struct upstream_call *call;
		char url[64], line[64];
		const char *headers[] = {line, NULL};
		struct upstream_call_opts o = {
			.method = "GET",
			.url = url,
			.headers = headers,
			.timeout_ms = 1000,
			.max_body = 100,
			.fresh = true,
			.send_until_ms = clock_now_ms() + SEND_MS,
			.cut_late = cut_late,
		};

		snprintf(url, sizeof(url), "http://%s:%d/", ip, PORT);
		snprintf(line, sizeof(line), "Until: %lld",
			 (long long)o.send_until_ms);
		if (ops->call(up, &o, &call) != ERR_OK)
			_exit(1);
		while (!(ev = mbox_get(box))) {
			poll(&p, 1, 10);
			mbox_clear(box);
		}
		ops->event_free(ev);
		ops->forget(up, call);
	}
}

struct server {
	int listener;
	int socks[SOCKS];
	int64_t thaw_ms; ///< since when the caller goes on
	int requests;
	int late; ///< whose time was over when the caller went on
};

static void take(struct server *s, int i)
{
	char buf[1024];
	ssize_t n = recv(s->socks[i], buf, sizeof(buf) - 1, 0);
	const char *until;

	if (n > 0) {
		buf[n] = '\0';
		until = strstr(buf, "Until: ");
		assert_non_null(until);
		s->requests++;
		s->late += strtoll(until + 7, NULL, 10) < s->thaw_ms;
		syscall(SYS_sendto, s->socks[i], answer, sizeof(answer) - 1,
			MSG_NOSIGNAL, NULL, 0);
	}
	close(s->socks[i]);
	s->socks[i] = -1;
}

static void add(struct server *s)
{
	int fd = accept(s->listener, NULL, NULL);
	int i = 0;

	while (i < SOCKS && s->socks[i] >= 0)
		i++;
	assert_true(fd >= 0 && i < SOCKS);
	s->socks[i] = fd;
}

static void serve(struct server *s, int64_t ms)
{
	int64_t end = clock_now_ms() + ms;

	while (clock_now_ms() < end) {
		struct pollfd p[SOCKS + 1];

		for (int i = 0; i < SOCKS; i++)
			p[i] = (struct pollfd){s->socks[i], POLLIN, 0};
		p[SOCKS] = (struct pollfd){s->listener, POLLIN, 0};
		poll(p, SOCKS + 1, 1);
		for (int i = 0; i < SOCKS; i++) {
			if (s->socks[i] >= 0 && p[i].revents)
				take(s, i);
		}
		if (p[SOCKS].revents)
			add(s);
	}
}

static int listener_new(void)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(PORT)};
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	assert_int_equal(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	assert_int_equal(listen(fd, SOCKS), 0);
	return fd;
}

/* What is written before a stop is read during it, so a request that is read
 * after it and whose time ended before left too late. */
static struct server freezes(bool cut_late, int n)
{
	struct server s = {.listener = listener_new()};
	struct rng rng = {SEED};
	pid_t pid = fork();

	assert_true(pid >= 0);
	if (pid == 0)
		caller(cut_late);
	for (int i = 0; i < SOCKS; i++)
		s.socks[i] = -1;
	serve(&s, 100);
	for (int i = 0; i < n; i++) {
		kill(pid, SIGSTOP);
		serve(&s, FREEZE_MS + (int64_t)rng_below(&rng, 40));
		s.thaw_ms = clock_now_ms();
		kill(pid, SIGCONT);
		serve(&s, 5 + (int64_t)rng_below(&rng, 30));
	}
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	for (int i = 0; i < SOCKS; i++) {
		if (s.socks[i] >= 0)
			close(s.socks[i]);
	}
	close(s.listener);
	printf("%s: seed %d, %d freezes, %d requests, %d late\n",
	       cut_late ? "cut" : "look at the clock", SEED, n, s.requests,
	       s.late);
	return s;
}

static void test_freezes(void **state)
{
	struct server naive, cut;

	addr_ip(0, ip);
	naive = freezes(false, NAIVE_FREEZES);
	cut = freezes(true, GUARDED_FREEZES);
	assert_true(naive.late > 0);
	assert_true(cut.requests > GUARDED_FREEZES);
	assert_int_equal(cut.late, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_freezes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
