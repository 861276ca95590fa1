// Thread of the ZeroMQ transport: runs commands and delivers received messages.
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "base/mbox.h"
#include "base/metric.h"
#include "envelope.h"
#include "link.h"

enum {
	EDGE_CMD_QUEUE_MAX = 16384,
	EDGE_UNREAD_MAX = 8192, ///< received messages not yet freed
	EDGE_READ_BATCH = 256, ///< messages read in a row
	EDGE_RECV_QUEUE_MAX = 4096,
	EDGE_FRAMES = 4, ///< routing id, sender, type, body
};

enum cmd_kind {
	CMD_ADD,
	CMD_DEL,
	CMD_SEND,
	CMD_QUIT,
};

struct cmd {
	enum cmd_kind kind;
	char node[PEER_ID_MAX];
	char addr[PEER_ADDR_MAX];
	uint64_t to_run;
	uint32_t type;
	size_t len;
	char data[];
};

struct peer_edge {
	struct peer_opts opts;
	char node[PEER_ID_MAX];
	struct mbox *cmds;
	pthread_t thread;
	void *zmq;
	void *router;
	struct link_table *links;
	atomic_uint n_unread; ///< received messages not yet freed
	atomic_size_t unread_bytes;
};

static bool run_cmds(struct peer_edge *p)
{
	struct cmd *c;

	mbox_clear(p->cmds);
	while ((c = mbox_get(p->cmds))) {
		enum cmd_kind kind = c->kind;

		if (kind == CMD_ADD)
			link_table_add(p->links, c->node, c->addr);
		else if (kind == CMD_DEL)
			link_table_del(p->links, c->node);
		else if (kind == CMD_SEND)
			link_table_send(p->links, c->node, c->to_run, c->type,
					c->data, c->len);
		free(c);
		if (kind == CMD_QUIT)
			return false;
	}
	return true;
}

static bool id_ok(const char *id, size_t len)
{
	if (len == 0 || len >= PEER_ID_MAX)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (id[i] <= ' ' || id[i] > '~')
			return false;
	}
	return true;
}

/// Read the frames of one message.
///
/// @return number of frames, 0 without a message, -1 for too many frames
static int read_frames(struct peer_edge *p, zmq_msg_t *frames)
{
	int n = 0;
	bool more = true;
	bool extra = false;

	while (more) {
		zmq_msg_t *f = &frames[n < EDGE_FRAMES ? n : EDGE_FRAMES - 1];

		if (n >= EDGE_FRAMES) {
			extra = true;
			zmq_msg_close(f);
			zmq_msg_init(f);
		}
		if (zmq_msg_recv(f, p->router, ZMQ_DONTWAIT) < 0)
			return 0;
		more = zmq_msg_more(f);
		if (n < EDGE_FRAMES)
			n++;
	}
	return extra ? -1 : n;
}

static struct peer_msg *msg_from_frames(zmq_msg_t *frames, int n)
{
	struct peer_msg *m;
	uint64_t to_run;
	uint32_t type;
	size_t len;

	if (n != EDGE_FRAMES ||
	    !envelope_type_read(zmq_msg_data(&frames[2]),
				zmq_msg_size(&frames[2]), &type, &to_run) ||
	    !id_ok(zmq_msg_data(&frames[1]), zmq_msg_size(&frames[1])))
		return NULL;
	len = zmq_msg_size(&frames[3]);
	if (len > PEER_MSG_MAX)
		return NULL;
	m = calloc(1, sizeof(*m) + len + 1);
	if (!m)
		return NULL;
	memcpy(m->from, zmq_msg_data(&frames[1]), zmq_msg_size(&frames[1]));
	memcpy(m->data, zmq_msg_data(&frames[3]), len);
	m->run = envelope_id_run(zmq_msg_data(&frames[0]),
				 zmq_msg_size(&frames[0]));
	m->to_run = to_run;
	m->type = type;
	m->len = len;
	return m;
}

static void edge_msg_free(struct peer_edge *p, struct peer_msg *m)
{
	atomic_fetch_sub(&p->n_unread, 1);
	atomic_fetch_sub(&p->unread_bytes, m->len);
	free(m);
}

static void deliver_msg(struct peer_edge *p, zmq_msg_t *frames, int n)
{
	struct peer_msg *m = msg_from_frames(frames, n);

	if (!m) {
		metric_add(M_PEER_MALFORMED, 1);
		return;
	}
	atomic_fetch_add(&p->n_unread, 1);
	atomic_fetch_add(&p->unread_bytes, m->len);
	if (mbox_put(p->opts.events, m) == ERR_OK)
		metric_add(M_PEER_RECEIVED, 1);
	else
		edge_msg_free(p, m);
}

static bool unread_limit_reached(const struct peer_edge *p)
{
	return atomic_load(&p->n_unread) >= EDGE_UNREAD_MAX ||
	       atomic_load(&p->unread_bytes) >= p->opts.max_unread;
}

static void read_msgs(struct peer_edge *p)
{
	for (int i = 0; i < EDGE_READ_BATCH && !unread_limit_reached(p); i++) {
		zmq_msg_t frames[EDGE_FRAMES];
		int n;

		for (int f = 0; f < EDGE_FRAMES; f++)
			zmq_msg_init(&frames[f]);
		n = read_frames(p, frames);
		if (n)
			deliver_msg(p, frames, n);
		for (int f = 0; f < EDGE_FRAMES; f++)
			zmq_msg_close(&frames[f]);
		if (!n)
			return;
	}
}

static void *edge_run(void *arg)
{
	enum {
		PAUSED_POLL_MS = 5
	};
	struct peer_edge *p = arg;

	do {
		bool paused = unread_limit_reached(p);
		zmq_pollitem_t items[] = {
			{.fd = mbox_fd(p->cmds), .events = ZMQ_POLLIN},
			{.socket = p->router, .events = ZMQ_POLLIN},
		};

		zmq_poll(items, paused ? 1 : 2, paused ? PAUSED_POLL_MS : -1);
		if (!paused)
			read_msgs(p);
	} while (run_cmds(p));
	return NULL;
}

static struct cmd *cmd_new(enum cmd_kind kind, const char *node,
			   const void *buf, size_t len)
{
	struct cmd *c = calloc(1, sizeof(*c) + len);

	if (!c)
		return NULL;
	c->kind = kind;
	c->len = len;
	snprintf(c->node, sizeof(c->node), "%s", node);
	if (len)
		memcpy(c->data, buf, len);
	return c;
}

static enum err cmd_put(struct peer_edge *p, struct cmd *c)
{
	enum err e;

	if (!c)
		return ERR_NOMEM;
	e = mbox_put(p->cmds, c);
	if (e != ERR_OK)
		free(c);
	return e;
}

static enum err edge_add(struct peer_edge *p, const char *node,
			 const char *addr)
{
	struct cmd *c;

	if (strlen(node) >= PEER_ID_MAX || strlen(addr) >= PEER_ADDR_MAX)
		return ERR_PEER_ADDR;
	c = cmd_new(CMD_ADD, node, NULL, 0);
	if (!c)
		return ERR_NOMEM;
	snprintf(c->addr, sizeof(c->addr), "%s", addr);
	return cmd_put(p, c);
}

static enum err edge_del(struct peer_edge *p, const char *node)
{
	return cmd_put(p, cmd_new(CMD_DEL, node, NULL, 0));
}

static enum err edge_send(struct peer_edge *p, const char *node,
			  uint64_t to_run, uint32_t type, const void *buf,
			  size_t len)
{
	struct cmd *c;

	if (len > PEER_MSG_MAX)
		return ERR_TOO_LARGE;
	c = cmd_new(CMD_SEND, node, buf, len);
	if (!c)
		return ERR_NOMEM;
	c->to_run = to_run;
	c->type = type;
	return cmd_put(p, c);
}

static bool edge_listen(struct peer_edge *p)
{
	char url[PEER_ADDR_MAX + 8];
	int64_t max = PEER_MSG_MAX;
	int hwm = EDGE_RECV_QUEUE_MAX;
	int zero = 0;
	int one = 1;

	p->router = zmq_socket(p->zmq, ZMQ_ROUTER);
	if (!p->router)
		return false;
	zmq_setsockopt(p->router, ZMQ_LINGER, &zero, sizeof(zero));
	zmq_setsockopt(p->router, ZMQ_RCVHWM, &hwm, sizeof(hwm));
	/* A connection that reconnects has its old routing id: without this it is
	 * refused while the old one, which may be dead, is open here. */
	zmq_setsockopt(p->router, ZMQ_ROUTER_HANDOVER, &one, sizeof(one));
	zmq_setsockopt(p->router, ZMQ_MAXMSGSIZE, &max, sizeof(max));
	snprintf(url, sizeof(url), "tcp://%s", p->opts.listen);
	return zmq_bind(p->router, url) == 0;
}

static void edge_free(struct peer_edge *p)
{
	if (p->links)
		link_table_free(p->links);
	if (p->router)
		zmq_close(p->router);
	if (p->zmq)
		zmq_ctx_term(p->zmq);
	mbox_free(p->cmds);
	free(p);
}

static enum err edge_start(const struct peer_opts *opts, struct peer_edge **out)
{
	struct peer_edge *p = calloc(1, sizeof(*p));
	enum err e = ERR_SYS;

	if (!p)
		return ERR_NOMEM;
	p->opts = *opts;
	snprintf(p->node, sizeof(p->node), "%s", opts->node);
	p->cmds = mbox_new(EDGE_CMD_QUEUE_MAX);
	p->zmq = zmq_ctx_new();
	if (!p->cmds || !p->zmq)
		goto err;
	zmq_ctx_set(p->zmq, ZMQ_MAX_SOCKETS, 4096);
	p->links = link_table_new(p->zmq, p->node, opts->run);
	if (!p->links)
		goto err;
	if (!edge_listen(p)) {
		e = ERR_PEER_ADDR;
		goto err;
	}
	if (pthread_create(&p->thread, NULL, edge_run, p))
		goto err;
	*out = p;
	return ERR_OK;

err:
	edge_free(p);
	return e;
}

static void edge_stop(struct peer_edge *p)
{
	struct peer_msg *m;
	struct cmd *c;

	while (cmd_put(p, cmd_new(CMD_QUIT, "", NULL, 0)) != ERR_OK)
		sched_yield();
	pthread_join(p->thread, NULL);
	while ((c = mbox_get(p->cmds)))
		free(c);
	/* Delivered after the mailbox was last read. */
	while ((m = mbox_get(p->opts.events)))
		edge_msg_free(p, m);
	edge_free(p);
}

const struct peer_ops peer_zmq_ops = {
	.start = edge_start,
	.add = edge_add,
	.del = edge_del,
	.send = edge_send,
	.msg_free = edge_msg_free,
	.stop = edge_stop,
};
