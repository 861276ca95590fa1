// Reads requests with a Content-Length and echoes their id and body.
#include "copycat.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	MESSAGE_MAX = 8192, ///< bytes of a request
	BACKLOG = 64,
};

struct request {
	char id[64];
	char body[256];
};

struct conn {
	struct copycat *cc;
	int fd;
};

static bool take_field(const char *head, const char *name, char *out,
		       size_t max)
{
	size_t len = strlen(name);

	for (const char *p = head; p && *p; p = strchr(p, '\n')) {
		p += *p == '\n';
		if (strncasecmp(p, name, len) != 0 || p[len] != ':')
			continue;
		p += len + 1;
		p += strspn(p, " ");
		snprintf(out, max, "%.*s", (int)strcspn(p, "\r\n"), p);
		return true;
	}
	out[0] = '\0';
	return false;
}

static bool read_request(int fd, struct request *r)
{
	char buf[MESSAGE_MAX];
	char length[16];
	size_t len = 0;
	size_t want = 0;
	char *body = NULL;

	while (!body || len < want) {
		ssize_t n = recv(fd, buf + len, sizeof(buf) - 1 - len, 0);

		if (n <= 0)
			return false;
		len += (size_t)n;
		buf[len] = '\0';
		body = strstr(buf, "\r\n\r\n");
		if (!body)
			continue;
		take_field(buf, "Content-Length", length, sizeof(length));
		body += 4;
		want = (size_t)(body - buf) + strtoul(length, NULL, 10);
	}
	snprintf(r->body, sizeof(r->body), "%s", body);
	take_field(buf, "X-Catkinpath-Request-Id", r->id, sizeof(r->id));
	return true;
}

static void send_text(int fd, int status, const char *fields, const char *body,
		      size_t part)
{
	char text[MESSAGE_MAX];
	int n = snprintf(text, sizeof(text),
			 "HTTP/1.1 %d -\r\nContent-Length: %zu\r\n%s\r\n%.*s",
			 status, strlen(body), fields, (int)part, body);

	send(fd, text, (size_t)n, MSG_NOSIGNAL);
}

static void send_answer(int fd, const struct request *r, size_t part)
{
	char fields[256];

	snprintf(fields, sizeof(fields),
		 "X-Catkinpath-Request-Id: %s\r\n"
		 "X-Catkinpath-Server-Seal: seal\r\n",
		 r->id);
	send_text(fd, 200, fields, r->body, part);
}

static void send_copy(const struct conn *c, const struct request *before)
{
	char fields[256];

	atomic_fetch_add(&c->cc->copies, 1);
	switch ((enum copycat_kind)atomic_load(&c->cc->kind)) {
	case COPY_WHOLE:
		send_answer(c->fd, before, sizeof(before->body));
		break;
	case COPY_NAMELESS:
		send_text(c->fd, 200, "X-Catkinpath-Server-Seal: seal\r\n",
			  before->body, sizeof(before->body));
		break;
	case COPY_HALF:
		send_answer(c->fd, before, strlen(before->body) / 2);
		break;
	case COPY_NOT_RUN:
		snprintf(fields, sizeof(fields),
			 "X-Catkinpath-Request-Id: %s\r\n"
			 "X-Catkinpath-Not-Run: 1\r\n",
			 before->id);
		send_text(c->fd, 503, fields, "", 0);
		break;
	case COPY_NOT_RUN_NAMELESS:
		send_text(c->fd, 503, "X-Catkinpath-Not-Run: 1\r\n", "", 0);
		break;
	case COPY_FAILED:
		send_text(c->fd, 500, "X-Catkinpath-Server-Seal: seal\r\n", "",
			  0);
		break;
	case COPY_KINDS:
		break;
	}
}

static void note(struct copycat *cc, const char *id)
{
	pthread_mutex_lock(&cc->lock);
	if (cc->n_seen == COPYCAT_SEEN)
		abort();
	snprintf(cc->seen[cc->n_seen++], sizeof(cc->seen[0]), "%s", id);
	pthread_mutex_unlock(&cc->lock);
}

int copycat_runs(struct copycat *cc, const char *id)
{
	int n = 0;

	pthread_mutex_lock(&cc->lock);
	for (int i = 0; i < cc->n_seen; i++)
		n += strcmp(cc->seen[i], id) == 0;
	pthread_mutex_unlock(&cc->lock);
	return n;
}

static void *conn_run(void *arg)
{
	struct conn *c = arg;
	struct request before = {.id = ""};
	struct request now;

	while (read_request(c->fd, &now)) {
		note(c->cc, now.id);
		if (*before.id)
			send_copy(c, &before);
		send_answer(c->fd, &now, sizeof(now.body));
		before = now;
	}
	close(c->fd);
	free(c);
	return NULL;
}

static void *accept_run(void *arg)
{
	struct copycat *cc = arg;

	for (;;) {
		struct conn *c = calloc(1, sizeof(*c));
		pthread_t t;

		if (!c)
			abort();
		c->cc = cc;
		c->fd = accept(cc->fd, NULL, NULL);
		if (c->fd < 0 || pthread_create(&t, NULL, conn_run, c) != 0)
			abort();
		pthread_detach(t);
	}
	return NULL;
}

bool copycat_start(struct copycat *cc, const char *ip, int port)
{
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
	};
	int one = 1;
	pthread_t t;

	pthread_mutex_init(&cc->lock, NULL);
	cc->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	inet_pton(AF_INET, ip, &sa.sin_addr);
	setsockopt(cc->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(cc->fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(cc->fd, BACKLOG) ||
	    pthread_create(&t, NULL, accept_run, cc) != 0)
		return false;
	pthread_detach(t);
	snprintf(cc->addr, sizeof(cc->addr), "%s:%d", ip, port);
	return true;
}
