// Serves one connection after the other, a request each.
#include "support/cut_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	REQUEST_MAX = 65536, ///< bytes
};

struct cut_server {
	int fd;
	pthread_t thread;
	pthread_mutex_t lock;
	const char *text;
	size_t len;
	int requests;
};

/* Whether a request has all its bytes: closing before would reset the connection. */
static bool request_complete(const char *text, size_t len)
{
	const char *body = strstr(text, "\r\n\r\n");
	const char *length = strcasestr(text, "\r\nContent-Length:");

	if (!body)
		return false;
	body += 4;
	return !length || length > body ||
	       len - (size_t)(body - text) >= strtoul(length + 17, NULL, 10);
}

static bool read_request(int fd)
{
	static char buf[REQUEST_MAX];
	size_t len = 0;

	buf[0] = '\0';
	while (!request_complete(buf, len)) {
		ssize_t n = recv(fd, buf + len, sizeof(buf) - len - 1, 0);

		if (n <= 0)
			return false;
		len += (size_t)n;
		buf[len] = '\0';
	}
	return true;
}

static void answer(struct cut_server *s, int fd)
{
	pthread_mutex_lock(&s->lock);
	s->requests++;
	send(fd, s->text, s->len, MSG_NOSIGNAL);
	pthread_mutex_unlock(&s->lock);
}

static void *serve(void *ctx)
{
	struct cut_server *s = ctx;
	int fd;

	while ((fd = accept(s->fd, NULL, NULL)) >= 0) {
		if (read_request(fd))
			answer(s, fd);
		close(fd);
	}
	return NULL;
}

struct cut_server *cut_server_start(const char *ip, int port)
{
	struct cut_server *s = calloc(1, sizeof(*s));
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
	};
	int on = 1;

	if (!s)
		return NULL;
	pthread_mutex_init(&s->lock, NULL);
	s->text = "";
	s->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	inet_pton(AF_INET, ip, &sa.sin_addr);
	if (s->fd >= 0 &&
	    bind(s->fd, (struct sockaddr *)&sa, sizeof(sa)) == 0 &&
	    listen(s->fd, SOMAXCONN) == 0 &&
	    pthread_create(&s->thread, NULL, serve, s) == 0)
		return s;
	close(s->fd);
	free(s);
	return NULL;
}

void cut_server_set(struct cut_server *s, const char *text, size_t len)
{
	pthread_mutex_lock(&s->lock);
	s->text = text;
	s->len = len;
	pthread_mutex_unlock(&s->lock);
}

int cut_server_requests(struct cut_server *s)
{
	int n;

	pthread_mutex_lock(&s->lock);
	n = s->requests;
	pthread_mutex_unlock(&s->lock);
	return n;
}

void cut_server_stop(struct cut_server *s)
{
	if (!s)
		return;
	shutdown(s->fd, SHUT_RDWR);
	pthread_join(s->thread, NULL);
	close(s->fd);
	free(s);
}
