// One thread polls the listener and the socket pairs.
#include "quiet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	QUIET_PAIRS_MAX = 512,
	QUIET_REQUEST_BYTES = 64, ///< kept of a connection's latest request
	QUIET_BUF_BYTES = 65536,
	QUIET_POLL_MS = 10,
};

struct quiet_pair {
	int fd[2]; ///< caller, target
	struct in_addr caller;
	bool silent;
	bool waiting; ///< for the answer to the latest request
	char request[QUIET_REQUEST_BYTES]; ///< start of the latest request
};

struct quiet {
	pthread_mutex_t lock;
	pthread_t thread;
	int listen_fd;
	struct sockaddr_in target;
	bool cut;
	bool stop;
	struct quiet_pair pairs[QUIET_PAIRS_MAX];
	int n;
	char buf[QUIET_BUF_BYTES];
};

static struct sockaddr_in quiet_addr(const char *ip, int port)
{
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
	};

	inet_pton(AF_INET, ip, &sa.sin_addr);
	return sa;
}

static void quiet_close(struct quiet *q, int i)
{
	close(q->pairs[i].fd[0]);
	close(q->pairs[i].fd[1]);
	q->pairs[i] = q->pairs[--q->n];
}

static void quiet_accept(struct quiet *q)
{
	struct sockaddr_in from = {0};
	socklen_t len = sizeof(from);
	int fd = accept4(q->listen_fd, (struct sockaddr *)&from, &len,
			 SOCK_CLOEXEC);
	int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	from.sin_port = 0;
	if (fd < 0 || q->n == QUIET_PAIRS_MAX ||
	    bind(target, (struct sockaddr *)&from, sizeof(from)) != 0 ||
	    connect(target, (struct sockaddr *)&q->target, sizeof(q->target)) !=
		    0) {
		if (fd >= 0)
			close(fd);
		close(target);
		return;
	}
	q->pairs[q->n++] = (struct quiet_pair){
		.fd = {fd, target},
		.caller = from.sin_addr,
		.silent = q->cut,
	};
}

static bool quiet_send(int fd, const char *p, ssize_t n)
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

/* Pass one side's bytes on; false if the pair must be closed. */
static bool quiet_forward(struct quiet *q, struct quiet_pair *p, int side)
{
	ssize_t n = recv(p->fd[side], q->buf, sizeof(q->buf), MSG_DONTWAIT);

	/* Neither the bytes nor the end of a silent connection arrive. */
	if (p->silent)
		return side == 1 || n > 0;
	if (n <= 0)
		return false;
	if (side == 0) {
		size_t k = (size_t)n < sizeof(p->request) - 1
				   ? (size_t)n
				   : sizeof(p->request) - 1;

		memcpy(p->request, q->buf, k);
		p->request[k] = '\0';
	}
	p->waiting = side == 0;
	return quiet_send(p->fd[!side], q->buf, n);
}

static void quiet_poll(struct quiet *q)
{
	struct pollfd fds[1 + 2 * QUIET_PAIRS_MAX];
	int n = q->n;

	fds[0] = (struct pollfd){q->listen_fd, POLLIN, 0};
	for (int i = 0; i < n; i++) {
		struct quiet_pair *p = &q->pairs[i];

		fds[1 + 2 * i] = (struct pollfd){p->fd[0], POLLIN, 0};
		fds[2 + 2 * i] =
			(struct pollfd){p->silent ? -1 : p->fd[1], POLLIN, 0};
	}
	pthread_mutex_unlock(&q->lock);
	poll(fds, 1 + 2 * (nfds_t)n, QUIET_POLL_MS);
	pthread_mutex_lock(&q->lock);
	for (int i = n - 1; i >= 0; i--) {
		bool ok = true;

		for (int s = 0; ok && s < 2; s++) {
			if (fds[1 + 2 * i + s].revents)
				ok = quiet_forward(q, &q->pairs[i], s);
		}
		if (!ok)
			quiet_close(q, i);
	}
	if (fds[0].revents)
		quiet_accept(q);
}

static void *quiet_main(void *arg)
{
	struct quiet *q = arg;

	pthread_mutex_lock(&q->lock);
	while (!q->stop)
		quiet_poll(q);
	while (q->n)
		quiet_close(q, 0);
	pthread_mutex_unlock(&q->lock);
	return NULL;
}

struct quiet *quiet_start(const char *ip, int port, const char *to_ip,
			  int to_port)
{
	struct quiet *q = calloc(1, sizeof(*q));
	struct sockaddr_in sa = quiet_addr(ip, port);
	int one = 1;

	if (!q)
		return NULL;
	pthread_mutex_init(&q->lock, NULL);
	q->target = quiet_addr(to_ip, to_port);
	q->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(q->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(q->listen_fd, (struct sockaddr *)&sa, sizeof(sa)) == 0 &&
	    listen(q->listen_fd, QUIET_PAIRS_MAX) == 0 &&
	    pthread_create(&q->thread, NULL, quiet_main, q) == 0)
		return q;
	close(q->listen_fd);
	free(q);
	return NULL;
}

static int quiet_silence_locked(struct quiet *q, const char *request)
{
	int n = 0;

	for (int i = 0; i < q->n; i++) {
		struct quiet_pair *p = &q->pairs[i];

		if (p->silent || (*request && !p->waiting) ||
		    strncmp(p->request, request, strlen(request)) != 0)
			continue;
		p->silent = true;
		n++;
	}
	return n;
}

int quiet_silence(struct quiet *q, const char *request)
{
	int n;

	pthread_mutex_lock(&q->lock);
	n = quiet_silence_locked(q, request);
	pthread_mutex_unlock(&q->lock);
	return n;
}

static void quiet_reset_fd(int fd)
{
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

int quiet_reset(struct quiet *q, const char *caller)
{
	struct in_addr ip;
	int n = 0;

	inet_pton(AF_INET, caller, &ip);
	pthread_mutex_lock(&q->lock);
	for (int i = q->n - 1; i >= 0; i--) {
		if (q->pairs[i].caller.s_addr != ip.s_addr)
			continue;
		quiet_reset_fd(q->pairs[i].fd[0]);
		quiet_reset_fd(q->pairs[i].fd[1]);
		/* The poll loop closes both sockets, which resets them. */
		shutdown(q->pairs[i].fd[0], SHUT_RD);
		n++;
	}
	pthread_mutex_unlock(&q->lock);
	return n;
}

void quiet_cut(struct quiet *q)
{
	pthread_mutex_lock(&q->lock);
	quiet_silence_locked(q, "");
	q->cut = true;
	pthread_mutex_unlock(&q->lock);
}

void quiet_heal(struct quiet *q)
{
	pthread_mutex_lock(&q->lock);
	q->cut = false;
	pthread_mutex_unlock(&q->lock);
}

void quiet_stop(struct quiet *q)
{
	if (!q)
		return;
	pthread_mutex_lock(&q->lock);
	q->stop = true;
	pthread_mutex_unlock(&q->lock);
	pthread_join(q->thread, NULL);
	close(q->listen_fd);
	pthread_mutex_destroy(&q->lock);
	free(q);
}
