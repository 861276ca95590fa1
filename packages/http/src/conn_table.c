// A locked list of open connections.
#include "conn_table.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

enum {
	UNREAD_CHECK_MS = 250, ///< interval of the checks for unread answers
};

struct conn {
	struct conn *prev, *next;
	int fd;
	int64_t wait_start_ms; ///< 0 while a request is served
	bool answering; ///< an answer is being written
	uint64_t acked_bytes; ///< by the client, at the last check
	int64_t last_ack_ms; ///< when it last changed, 0 before the first check
};

struct conn_table {
	pthread_mutex_t lock;
	struct conn *head;
	int64_t next_check_ms; ///< for unread answers
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
	c->wait_start_ms = now_ms;
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

void conn_set_waiting(struct conn_table *t, struct conn *c, bool waiting,
		      int64_t now_ms)
{
	if (!c)
		return;
	pthread_mutex_lock(&t->lock);
	c->wait_start_ms = waiting ? now_ms : 0;
	c->answering = false;
	pthread_mutex_unlock(&t->lock);
}

void conn_set_answering(struct conn_table *t, struct conn *c)
{
	if (!c)
		return;
	pthread_mutex_lock(&t->lock);
	c->answering = true;
	c->last_ack_ms = 0;
	pthread_mutex_unlock(&t->lock);
}

/* Whether bytes are queued and the client has acknowledged none for limit_ms. */
static bool is_unread(struct conn *c, int64_t now_ms, int64_t limit_ms)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);
	int queued = 0;

	if (getsockopt(c->fd, IPPROTO_TCP, TCP_INFO, &info, &len) ||
	    ioctl(c->fd, SIOCOUTQ, &queued))
		return false;
	if (!c->last_ack_ms || !queued ||
	    info.tcpi_bytes_acked != c->acked_bytes) {
		c->acked_bytes = info.tcpi_bytes_acked;
		c->last_ack_ms = now_ms;
	}
	return now_ms - c->last_ack_ms >= limit_ms;
}

int conn_table_close_unread(struct conn_table *t, int64_t now_ms,
			    int64_t limit_ms)
{
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};
	int n = 0;

	pthread_mutex_lock(&t->lock);
	if (!limit_ms || now_ms < t->next_check_ms) {
		pthread_mutex_unlock(&t->lock);
		return 0;
	}
	t->next_check_ms = now_ms + UNREAD_CHECK_MS;
	for (struct conn *c = t->head; c; c = c->next) {
		if (!c->answering || !is_unread(c, now_ms, limit_ms))
			continue;
		/* An orderly end would look like the end of a body without a length. */
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		shutdown(c->fd, SHUT_RDWR);
		c->answering = false;
		n++;
	}
	pthread_mutex_unlock(&t->lock);
	return n;
}

int conn_table_close_expired(struct conn_table *t, int64_t now_ms,
			     int64_t limit_ms)
{
	int n = 0;

	pthread_mutex_lock(&t->lock);
	for (struct conn *c = t->head; c; c = c->next) {
		if (!c->wait_start_ms || now_ms - c->wait_start_ms < limit_ms)
			continue;
		shutdown(c->fd, SHUT_RDWR);
		c->wait_start_ms = 0;
		n++;
	}
	pthread_mutex_unlock(&t->lock);
	return n;
}
