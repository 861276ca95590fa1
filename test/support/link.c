// One thread polls the listener and up to LINK_PAIRS socket pairs.
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
	LINK_PAIRS = 1024,
	LINK_BUF = 65536, ///< bytes
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
	bool dead; ///< dropped bytes: drops all others
	bool begun; ///< the caller has sent bytes
	bool held; ///< matches link_hold()'s prefix
	struct link_chunk *head; ///< oldest delayed chunk
	struct link_chunk *tail;
};

struct link {
	int lfd;
	struct sockaddr_in to;
	pthread_t thread;
	_Atomic int mode;
	_Atomic int delay_ms;
	const char *_Atomic first; ///< see link_hold()
	char buf[LINK_BUF];
	_Atomic bool stop;
	struct link_pair pairs[LINK_PAIRS];
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
	struct linger hard = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	close(fd);
}

static void link_pop(struct link_pair *p)
{
	struct link_chunk *chunk = p->head;

	p->head = chunk->next;
	free(chunk);
}

static void link_drop(struct link *l, size_t i)
{
	while (l->pairs[i].head)
		link_pop(&l->pairs[i]);
	if (l->pairs[i].fd[0] >= 0)
		link_reset(l->pairs[i].fd[0]);
	link_reset(l->pairs[i].fd[1]);
	l->pairs[i] = l->pairs[--l->n];
}

/* Connect to the target from the caller's IP. */
static bool link_bind(int to, struct sockaddr_in from)
{
	int one = 1;

	from.sin_port = 0;
	setsockopt(to, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof(one));
	return bind(to, (struct sockaddr *)&from, sizeof(from)) == 0;
}

static void link_accept(struct link *l)
{
	struct sockaddr_in from = {0};
	socklen_t len = sizeof(from);
	int fd = accept4(l->lfd, (struct sockaddr *)&from, &len, SOCK_CLOEXEC);
	int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok = fd >= 0 && to >= 0 && l->n < LINK_PAIRS &&
		  l->mode != LINK_CUT && link_bind(to, from) &&
		  connect(to, (struct sockaddr *)&l->to, sizeof(l->to)) == 0;

	if (!ok) {
		if (fd >= 0)
			link_reset(fd);
		if (to >= 0)
			close(to);
		return;
	}
	l->pairs[l->n++] = (struct link_pair){.fd = {fd, to}};
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

static bool link_lost(const struct link *l, const struct link_pair *p, int side)
{
	int mode = l->mode;

	return p->dead || mode == LINK_SILENT ||
	       (mode == LINK_SILENT_BACK && side == 1);
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
static bool link_holds(struct link *l, struct link_pair *p, size_t n)
{
	const char *first = l->first;
	size_t len = first ? strlen(first) : 0;

	if (!p->begun)
		p->held = n >= len &&
			  strncmp(l->buf, first ? first : "", len) == 0;
	p->begun = true;
	return p->head || (p->held && l->delay_ms > 0);
}

/* One side closed; true to keep the pair for delayed bytes. */
static bool link_ended(struct link_pair *p, int side)
{
	if (side == 1 || !p->head)
		return false;
	link_reset(p->fd[0]);
	p->fd[0] = -1;
	return true;
}

/* Forward one side's bytes; false if the pair must be closed. */
static bool link_move(struct link *l, struct link_pair *p, int side)
{
	char *buf = l->buf;
	ssize_t n = recv(p->fd[side], buf, sizeof(l->buf), MSG_DONTWAIT);

	if (n <= 0)
		return link_ended(p, side);
	if (side == 0 && link_holds(l, p, (size_t)n)) {
		link_queue(p, buf, (size_t)n, l->delay_ms);
		return true;
	}
	if (p->fd[!side] < 0)
		return p->head != NULL;
	if (link_lost(l, p, side)) {
		p->dead = true;
		return true;
	}
	return link_send(p->fd[!side], buf, n);
}

static void link_step(struct link *l)
{
	struct pollfd fds[1 + 2 * LINK_PAIRS];
	size_t n = l->n;

	fds[0] = (struct pollfd){l->lfd, POLLIN, 0};
	for (size_t i = 0; i < n; i++) {
		fds[1 + 2 * i] = (struct pollfd){l->pairs[i].fd[0], POLLIN, 0};
		fds[2 + 2 * i] = (struct pollfd){l->pairs[i].fd[1], POLLIN, 0};
	}
	poll(fds, 1 + 2 * n, LINK_POLL_MS);
	for (size_t i = n; i-- > 0;) {
		bool ok = l->mode != LINK_CUT && link_flush(&l->pairs[i]);

		for (int s = 0; ok && s < 2; s++) {
			if (fds[1 + 2 * i + (size_t)s].revents)
				ok = link_move(l, &l->pairs[i], s);
		}
		if (!ok)
			link_drop(l, i);
	}
	if (fds[0].revents)
		link_accept(l);
}

static void *link_main(void *arg)
{
	struct link *l = arg;

	while (!l->stop)
		link_step(l);
	while (l->n > 0)
		link_drop(l, l->n - 1);
	return NULL;
}

struct link *link_start(const char *ip, int port, const char *to_ip,
			int to_port)
{
	struct link *l = calloc(1, sizeof(*l));
	struct sockaddr_in sa = link_addr(ip, port);
	int one = 1;

	l->to = link_addr(to_ip, to_port);
	l->lfd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(l->lfd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(l->lfd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(l->lfd, LINK_PAIRS) != 0 ||
	    pthread_create(&l->thread, NULL, link_main, l) != 0) {
		close(l->lfd);
		free(l);
		return NULL;
	}
	return l;
}

void link_set(struct link *l, enum link_mode mode)
{
	l->mode = (int)mode;
}

void link_hold(struct link *l, int delay_ms, const char *first)
{
	l->first = first;
	l->delay_ms = delay_ms;
}

void link_stop(struct link *l)
{
	if (!l)
		return;
	l->stop = true;
	pthread_join(l->thread, NULL);
	close(l->lfd);
	free(l);
}
