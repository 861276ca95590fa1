// Hash table of DEALER sockets by node id.
#include "link.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "base/metric.h"
#include "envelope.h"

enum {
	LINK_LINGER_MS = 100, ///< to send queued messages on close
	LINK_SEND_QUEUE_MAX = 4096, ///< messages queued for one peer
	LINK_BUCKETS = 256,
	/// A domain that was cut off is reached within a second after its return: what
	/// TCP retransmits on an old connection waits for seconds by then.
	LINK_CONNECT_TIMEOUT_MS = 500,
	LINK_HANDSHAKE_TIMEOUT_MS = 500,
	LINK_RECONNECT_MIN_MS = 100,
	LINK_RECONNECT_MAX_MS = 500,
	LINK_HEARTBEAT_INTERVAL_MS = 1500,
	LINK_HEARTBEAT_TIMEOUT_MS = 1500, ///< then the connection is closed
};

struct link {
	char node[PEER_ID_MAX];
	void *sock;
	struct link *next; ///< in its bucket
};

struct link_table {
	void *zmq;
	const char *node;
	uint64_t run; ///< this process
	uint32_t n_connections; ///< opened so far
	struct link *buckets[LINK_BUCKETS];
};

struct link_table *link_table_new(void *zmq, const char *node, uint64_t run)
{
	struct link_table *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->zmq = zmq;
	t->node = node;
	t->run = run;
	return t;
}

static struct link **link_slot(struct link_table *t, const char *node)
{
	uint32_t h = 2166136261u;
	struct link **p;

	for (const char *s = node; *s; s++)
		h = (h ^ (unsigned char)*s) * 16777619u;
	p = &t->buckets[h % LINK_BUCKETS];
	while (*p && strcmp((*p)->node, node) != 0)
		p = &(*p)->next;
	return p;
}

static void set_int(void *sock, int option, int value)
{
	zmq_setsockopt(sock, option, &value, sizeof(value));
}

static void *link_socket(struct link_table *t, const char *addr)
{
	void *sock = zmq_socket(t->zmq, ZMQ_DEALER);
	uint8_t id[ENVELOPE_ID_BYTES];
	char url[PEER_ADDR_MAX + 8];

	if (!sock)
		return NULL;
	envelope_id_write(id, t->run, ++t->n_connections);
	zmq_setsockopt(sock, ZMQ_ROUTING_ID, id, sizeof(id));
	set_int(sock, ZMQ_LINGER, LINK_LINGER_MS);
	set_int(sock, ZMQ_SNDHWM, LINK_SEND_QUEUE_MAX);
	set_int(sock, ZMQ_IMMEDIATE, 1);
	set_int(sock, ZMQ_CONNECT_TIMEOUT, LINK_CONNECT_TIMEOUT_MS);
	set_int(sock, ZMQ_HANDSHAKE_IVL, LINK_HANDSHAKE_TIMEOUT_MS);
	set_int(sock, ZMQ_RECONNECT_IVL, LINK_RECONNECT_MIN_MS);
	set_int(sock, ZMQ_RECONNECT_IVL_MAX, LINK_RECONNECT_MAX_MS);
	set_int(sock, ZMQ_HEARTBEAT_IVL, LINK_HEARTBEAT_INTERVAL_MS);
	set_int(sock, ZMQ_HEARTBEAT_TIMEOUT, LINK_HEARTBEAT_TIMEOUT_MS);
	snprintf(url, sizeof(url), "tcp://%s", addr);
	if (zmq_connect(sock, url) == 0)
		return sock;
	zmq_close(sock);
	return NULL;
}

void link_table_add(struct link_table *t, const char *node, const char *addr)
{
	struct link **slot;
	struct link *l;

	link_table_del(t, node);
	slot = link_slot(t, node);
	l = calloc(1, sizeof(*l));
	if (!l)
		return;
	snprintf(l->node, sizeof(l->node), "%s", node);
	l->sock = link_socket(t, addr);
	if (!l->sock) {
		free(l);
		return;
	}
	l->next = *slot;
	*slot = l;
}

void link_table_del(struct link_table *t, const char *node)
{
	struct link **slot = link_slot(t, node);
	struct link *l = *slot;

	if (!l)
		return;
	*slot = l->next;
	zmq_close(l->sock);
	free(l);
}

void link_table_send(struct link_table *t, const char *node, uint64_t to_run,
		     uint32_t type, const void *buf, size_t len)
{
	struct link *l = *link_slot(t, node);
	uint8_t frame[ENVELOPE_TYPE_BYTES];
	size_t frame_len = envelope_type_write(frame, type, to_run);
	int more = ZMQ_DONTWAIT | ZMQ_SNDMORE;

	if (!l || zmq_send(l->sock, t->node, strlen(t->node), more) < 0 ||
	    zmq_send(l->sock, frame, frame_len, more) < 0 ||
	    zmq_send(l->sock, buf, len, ZMQ_DONTWAIT) < 0) {
		metric_add(M_PEER_DROPPED, 1);
		return;
	}
	metric_add(M_PEER_SENT, 1);
	metric_add(M_PEER_SENT_BYTES, strlen(t->node) + frame_len + len);
}

void link_table_free(struct link_table *t)
{
	for (size_t i = 0; i < LINK_BUCKETS; i++) {
		while (t->buckets[i])
			link_table_del(t, t->buckets[i]->node);
	}
	free(t);
}
