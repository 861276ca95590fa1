// A locked list of open connections and their timeouts.
#include "conn_table.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

enum {
	UNREAD_LOOK_MS = 250, ///< interval of the checks for unread answers
};

struct conn {
	struct conn *prev, *next;
	int fd;
	int64_t since_ms; ///< start of the wait for a request, 0 while one is served
	bool answers; ///< an answer is being written
	uint64_t taken; ///< bytes that the client had acknowledged
	int64_t taken_ms; ///< when that last changed, 0 before the first check
};

struct conn_table {
	pthread_mutex_t lock;
	struct conn *head;
	int64_t look_ms; ///< time of the next check for unread answers
};

struct conn_table *conn_table_new(void)
{
	struct conn_table *t = calloc(1, sizeof(*t));

	if (t)
		pthread_mutex_init(&t->lock, NULL);
	return t;
}

void conn_table_free(struct conn_table *t)
{
	if (!t)
		return;
	pthread_mutex_destroy(&t->lock);
	free(t);
}

struct conn *conn_add(struct conn_table *t, int fd, int64_t now_ms)
{
	struct conn *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->fd = fd;
	c->since_ms = now_ms;
	pthread_mutex_lock(&t->lock);
	c->next = t->head;
	if (c->next)
		c->next->prev = c;
	t->head = c;
	pthread_mutex_unlock(&t->lock);
	return c;
}

void conn_del(struct conn_table *t, struct conn *c)
{
	if (!c)
		return;
	pthread_mutex_lock(&t->lock);
	if (c->prev)
		c->prev->next = c->next;
	else
		t->head = c->next;
	if (c->next)
		c->next->prev = c->prev;
	pthread_mutex_unlock(&t->lock);
	free(c);
}

void conn_waits(struct conn_table *t, struct conn *c, bool waits,
		int64_t now_ms)
{
	if (!c)
		return;
	pthread_mutex_lock(&t->lock);
	c->since_ms = waits ? now_ms : 0;
	c->answers = false;
	pthread_mutex_unlock(&t->lock);
}

void conn_answers(struct conn_table *t, struct conn *c)
{
	if (!c)
		return;
	pthread_mutex_lock(&t->lock);
	c->answers = true;
	c->taken_ms = 0;
	pthread_mutex_unlock(&t->lock);
}

/* Whether bytes are queued and the client has acknowledged none for limit_ms. */
static bool unread(struct conn *c, int64_t now_ms, int64_t limit_ms)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);
	int queued = 0;

	if (getsockopt(c->fd, IPPROTO_TCP, TCP_INFO, &info, &len) ||
	    ioctl(c->fd, SIOCOUTQ, &queued))
		return false;
	if (!c->taken_ms || !queued || info.tcpi_bytes_acked != c->taken) {
		c->taken = info.tcpi_bytes_acked;
		c->taken_ms = now_ms;
	}
	return now_ms - c->taken_ms >= limit_ms;
}

int conn_table_unread(struct conn_table *t, int64_t now_ms, int64_t limit_ms)
{
	int n = 0;

	pthread_mutex_lock(&t->lock);
	if (!limit_ms || now_ms < t->look_ms) {
		pthread_mutex_unlock(&t->lock);
		return 0;
	}
	t->look_ms = now_ms + UNREAD_LOOK_MS;
	for (struct conn *c = t->head; c; c = c->next) {
		if (!c->answers || !unread(c, now_ms, limit_ms))
			continue;
		shutdown(c->fd, SHUT_RDWR);
		c->answers = false;
		n++;
	}
	pthread_mutex_unlock(&t->lock);
	return n;
}

int conn_table_expire(struct conn_table *t, int64_t now_ms, int64_t limit_ms)
{
	int n = 0;

	pthread_mutex_lock(&t->lock);
	for (struct conn *c = t->head; c; c = c->next) {
		if (!c->since_ms || now_ms - c->since_ms < limit_ms)
			continue;
		shutdown(c->fd, SHUT_RDWR);
		c->since_ms = 0;
		n++;
	}
	pthread_mutex_unlock(&t->lock);
	return n;
}
