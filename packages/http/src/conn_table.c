// A locked list of connections.
#include "conn_table.h"

#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>

struct conn {
	struct conn *prev, *next;
	int fd;
	int64_t since_ms; ///< start of the wait, 0 while a request is served
};

struct conn_table {
	pthread_mutex_t lock;
	struct conn *head;
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
	pthread_mutex_unlock(&t->lock);
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
