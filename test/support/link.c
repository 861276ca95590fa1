// One thread polls the listener and up to LINK_PAIRS_MAX socket pairs.
#include "support/link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

enum {
	LINK_PAIRS_MAX = 1024,
	LINK_BUF_BYTES = 65536,
	LINK_POLL_MS = 20,
};

/* Bytes from the caller whose delivery is delayed. */
struct link_chunk {
	struct link_chunk *next;
	int64_t due_ms;
	size_t len;
	char data[];
};

struct link_pair {
	int fd[2]; ///< caller (-1: closed), target
	bool dropped; ///< lost bytes: forwards nothing more
	bool got_data; ///< the caller has sent bytes
	bool delayed; ///< matches link_delay()'s prefix
	struct link_chunk *head; ///< oldest delayed chunk
	struct link_chunk *tail;
};

struct link {
	int listen_fd;
	struct sockaddr_in target;
	pthread_t thread;
	_Atomic int mode;
	_Atomic int delay_ms;
	const char *_Atomic prefix; ///< see link_delay()
	char buf[LINK_BUF_BYTES];
	_Atomic bool stop;
	struct link_pair pairs[LINK_PAIRS_MAX];
	size_t n;
};

static struct sockaddr_in link_addr(const char *ip, int port)
{
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
	};

	inet_pton(AF_INET, ip, &sa.sin_addr);
	return sa;
}

static void link_reset(int fd)
{
	struct linger linger_opt = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger_opt, sizeof(linger_opt));
	close(fd);
}

static void link_pop(struct link_pair *p)
{
	struct link_chunk *chunk = p->head;

	p->head = chunk->next;
	free(chunk);
}

static void link_close_pair(struct link *l, size_t i)
{
	while (l->pairs[i].head)
		link_pop(&l->pairs[i]);
	if (l->pairs[i].fd[0] >= 0)
		link_reset(l->pairs[i].fd[0]);
	link_reset(l->pairs[i].fd[1]);
	l->pairs[i] = l->pairs[--l->n];
}

/* Bind to the caller's IP, which the target then sees. */
static bool link_bind(int target, struct sockaddr_in from)
{
	int one = 1;

	from.sin_port = 0;
	setsockopt(target, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one,
		   sizeof(one));
	return bind(target, (struct sockaddr *)&from, sizeof(from)) == 0;
}

static void link_accept(struct link *l)
{
	struct sockaddr_in from = {0};
	socklen_t len = sizeof(from);
	int fd = accept4(l->listen_fd, (struct sockaddr *)&from, &len,
			 SOCK_CLOEXEC);
	int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok = fd >= 0 && target >= 0 && l->n < LINK_PAIRS_MAX &&
		  l->mode != LINK_RESET && link_bind(target, from) &&
		  connect(target, (struct sockaddr *)&l->target,
			  sizeof(l->target)) == 0;

	if (!ok) {
		if (fd >= 0)
			link_reset(fd);
		if (target >= 0)
			close(target);
		return;
	}
	l->pairs[l->n++] = (struct link_pair){.fd = {fd, target}};
}

static bool link_send(int fd, const char *p, ssize_t n)
{
	while (n > 0) {
		ssize_t w = send(fd, p, (size_t)n, MSG_NOSIGNAL);

		if (w <= 0)
			return false;
		p += w;
		n -= w;
	}
	return true;
}

static bool link_drops(const struct link *l, const struct link_pair *p,
		       int side)
{
	int mode = l->mode;

	return p->dropped || mode == LINK_BLACKHOLE ||
	       (mode == LINK_DROP_REPLIES && side == 1);
}

static void link_queue(struct link_pair *p, const char *buf, size_t n,
		       int delay_ms)
{
	struct link_chunk *chunk = malloc(sizeof(*chunk) + n);

	*chunk = (struct link_chunk){.due_ms = clock_now_ms() + delay_ms,
				     .len = n};
	memcpy(chunk->data, buf, n);
	if (p->head)
		p->tail->next = chunk;
	else
		p->head = chunk;
	p->tail = chunk;
}

/* Send due chunks; false if the pair must be closed. */
static bool link_flush(struct link_pair *p)
{
	while (p->head && p->head->due_ms <= clock_now_ms()) {
		if (!link_send(p->fd[1], p->head->data, (ssize_t)p->head->len))
			return false;
		link_pop(p);
	}
	return true;
}

/* Whether to delay the n bytes in the buffer. */
static bool link_should_delay(struct link *l, struct link_pair *p, size_t n)
{
	const char *prefix = l->prefix;
	size_t len = prefix ? strlen(prefix) : 0;

	if (!p->got_data)
		p->delayed = n >= len &&
			     strncmp(l->buf, prefix ? prefix : "", len) == 0;
	p->got_data = true;
	return p->head || (p->delayed && l->delay_ms > 0);
}

/* One side closed; true to keep the pair for delayed bytes. */
static bool link_keep_after_close(struct link_pair *p, int side)
{
	if (side == 1 || !p->head)
		return false;
	link_reset(p->fd[0]);
	p->fd[0] = -1;
	return true;
}

/* Forward one side's bytes; false if the pair must be closed. */
static bool link_forward(struct link *l, struct link_pair *p, int side)
{
	char *buf = l->buf;
	ssize_t n = recv(p->fd[side], buf, sizeof(l->buf), MSG_DONTWAIT);

	if (n <= 0)
		return link_keep_after_close(p, side);
	if (side == 0 && link_should_delay(l, p, (size_t)n)) {
		link_queue(p, buf, (size_t)n, l->delay_ms);
		return true;
	}
	if (p->fd[!side] < 0)
		return p->head != NULL;
	if (link_drops(l, p, side)) {
		p->dropped = true;
		return true;
	}
	return link_send(p->fd[!side], buf, n);
}

static void link_poll(struct link *l)
{
	struct pollfd fds[1 + 2 * LINK_PAIRS_MAX];
	size_t n = l->n;

	fds[0] = (struct pollfd){l->listen_fd, POLLIN, 0};
	for (size_t i = 0; i < n; i++) {
		fds[1 + 2 * i] = (struct pollfd){l->pairs[i].fd[0], POLLIN, 0};
		fds[2 + 2 * i] = (struct pollfd){l->pairs[i].fd[1], POLLIN, 0};
	}
	poll(fds, 1 + 2 * n, LINK_POLL_MS);
	for (size_t i = n; i-- > 0;) {
		bool ok = l->mode != LINK_RESET && link_flush(&l->pairs[i]);

		for (int s = 0; ok && s < 2; s++) {
			if (fds[1 + 2 * i + (size_t)s].revents)
				ok = link_forward(l, &l->pairs[i], s);
		}
		if (!ok)
			link_close_pair(l, i);
	}
	if (fds[0].revents)
		link_accept(l);
}

static void *link_main(void *arg)
{
	struct link *l = arg;

	while (!l->stop)
		link_poll(l);
	while (l->n > 0)
		link_close_pair(l, l->n - 1);
	return NULL;
}

struct link *link_start(const char *ip, int port, const char *to_ip,
			int to_port)
{
	struct link *l = calloc(1, sizeof(*l));
	struct sockaddr_in sa = link_addr(ip, port);
	int one = 1;

	l->target = link_addr(to_ip, to_port);
	l->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(l->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(l->listen_fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(l->listen_fd, LINK_PAIRS_MAX) != 0 ||
	    pthread_create(&l->thread, NULL, link_main, l) != 0) {
		close(l->listen_fd);
		free(l);
		return NULL;
	}
	return l;
}

void link_set_mode(struct link *l, enum link_mode mode)
{
	l->mode = (int)mode;
}

void link_delay(struct link *l, int delay_ms, const char *prefix)
{
	l->prefix = prefix;
	l->delay_ms = delay_ms;
}

void link_stop(struct link *l)
{
	if (!l)
		return;
	l->stop = true;
	pthread_join(l->thread, NULL);
	close(l->listen_fd);
	free(l);
}
