// A TCP proxy before the store. A connection of it can go silent for good: it stays
// open, and no further byte passes either way.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

enum {
	POLL_MS = 5,
	BUF_BYTES = 65536,
	REQUEST_BYTES = 512, ///< kept of the latest request
	BACKLOG = 64,
};

static struct sockaddr_in target;
static _Atomic(const char *) silence_prefix;
static _Atomic(const char *) list_prefix; ///< of rig_proxy_silence_list()
static atomic_int silence_generation;
static atomic_int n_silenced;

struct pipe_ends {
	int client;
	int store;
	int generation; ///< silence_generation when it began
	char request[REQUEST_BYTES]; ///< start of the latest one
};

static bool write_all(int fd, const char *data, ssize_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, (size_t)len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= n;
	}
	return true;
}

static bool carries_watch(const struct pipe_ends *p)
{
	const char *prefix = atomic_load(&silence_prefix);
	const char *at = strstr(p->request, "kv-watch?prefix=");

	return prefix && at &&
	       strncmp(at + strlen("kv-watch?prefix="), prefix,
		       strlen(prefix)) == 0;
}

/* Discards what arrives until the caller closes its end. */
static void stay_silent(const struct pipe_ends *p)
{
	char buf[BUF_BYTES];

	atomic_fetch_add(&n_silenced, 1);
	while (recv(p->client, buf, sizeof(buf), 0) > 0)
		;
}

/* Whether the request is the one that rig_proxy_silence_list() waits for. */
static bool is_list_to_silence(const struct pipe_ends *p)
{
	const char *prefix = atomic_load(&list_prefix);
	const char *at = strstr(p->request, "kv-range?prefix=");

	return prefix && at &&
	       strncmp(at + strlen("kv-range?prefix="), prefix,
		       strlen(prefix)) == 0 &&
	       atomic_compare_exchange_strong(&list_prefix, &prefix, NULL);
}

static bool forward(struct pipe_ends *p, bool to_store)
{
	int from = to_store ? p->client : p->store;
	char buf[BUF_BYTES];
	ssize_t n = recv(from, buf, sizeof(buf), 0);

	if (n <= 0)
		return false;
	if (to_store) {
		size_t keep = (size_t)n < REQUEST_BYTES - 1 ? (size_t)n
							    : REQUEST_BYTES - 1;

		memcpy(p->request, buf, keep);
		p->request[keep] = '\0';
		if (is_list_to_silence(p)) {
			stay_silent(p);
			return false;
		}
	}
	return write_all(to_store ? p->store : p->client, buf, n);
}

static void *pipe_run(void *arg)
{
	struct pipe_ends *p = arg;
	bool open = true;

	while (open) {
		struct pollfd fds[] = {
			{.fd = p->client, .events = POLLIN},
			{.fd = p->store, .events = POLLIN},
		};
		int generation = atomic_load(&silence_generation);

		if (generation != p->generation) {
			p->generation = generation;
			if (carries_watch(p)) {
				stay_silent(p);
				break;
			}
		}
		if (poll(fds, 2, POLL_MS) <= 0)
			continue;
		if (fds[0].revents)
			open = forward(p, true);
		if (open && fds[1].revents)
			open = forward(p, false);
	}
	close(p->client);
	close(p->store);
	free(p);
	return NULL;
}

static void *accept_run(void *arg)
{
	int fd = *(int *)arg;

	free(arg);
	for (;;) {
		struct pipe_ends *p = calloc(1, sizeof(*p));
		pthread_t thread;

		p->client = accept(fd, NULL, NULL);
		p->store = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		p->generation = atomic_load(&silence_generation);
		if (p->client < 0 ||
		    connect(p->store, (struct sockaddr *)&target,
			    sizeof(target)) != 0 ||
		    pthread_create(&thread, NULL, pipe_run, p) != 0) {
			close(p->client);
			close(p->store);
			free(p);
			continue;
		}
		pthread_detach(thread);
	}
	return NULL;
}

bool rig_proxy_start(struct rig *r)
{
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port = htons(RIG_PROXY_PORT),
	};
	int *fd = malloc(sizeof(*fd));
	pthread_t thread;
	int one = 1;

	inet_pton(AF_INET, r->h.ip, &sa.sin_addr);
	target = sa;
	target.sin_port = htons(HOSTED_STORE_PORT);
	*fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(*fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(*fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(*fd, BACKLOG) != 0 ||
	    pthread_create(&thread, NULL, accept_run, fd) != 0) {
		close(*fd);
		free(fd);
		return false;
	}
	pthread_detach(thread);
	return true;
}

void rig_proxy_silence(const char *prefix)
{
	atomic_store(&silence_prefix, prefix);
	atomic_fetch_add(&silence_generation, 1);
}

void rig_proxy_silence_list(const char *prefix)
{
	atomic_store(&list_prefix, prefix);
}

int rig_proxy_silenced(void)
{
	return atomic_load(&n_silenced);
}
