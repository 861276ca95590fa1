// Peer addresses and peer message handlers of modules.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "base/msgpack_check.h"
#include "core.h"

/// Whether messages of a type answer an earlier one.
static const bool is_reply[CORE_PEER_TYPES_MAX] = {
#define PEER_MSG(sym, num, doc) [sym] = false,
#define PEER_REPLY(sym, num, doc) [sym] = true,
#include "core/peer_msg.def"
#undef PEER_REPLY
#undef PEER_MSG
};

static struct core_peer *peer_find(const struct core *c, const char *node)
{
	for (size_t i = 0; i < c->n_peers; i++) {
		if (strcmp(c->peers[i].node, node) == 0)
			return &c->peers[i];
	}
	return NULL;
}

static struct core_peer *peer_new(struct core *c)
{
	size_t cap = c->peers_cap ? 2 * c->peers_cap : 16;
	struct core_peer *p;

	if (c->n_peers == c->peers_cap) {
		p = realloc(c->peers, cap * sizeof(*p));
		if (!p)
			return NULL;
		c->peers = p;
		c->peers_cap = cap;
	}
	assert(c->peers);
	return &c->peers[c->n_peers++];
}

enum err core_peer_add(struct core *c, const char *node, const char *addr)
{
	struct core_peer *p = peer_find(c, node);
	enum err e;

	if (strlen(node) >= sizeof(p->node) || strlen(addr) >= sizeof(p->addr))
		return ERR_PEER_ADDR;
	if (p && strcmp(p->addr, addr) == 0)
		return ERR_OK;
	e = c->opts.peer->add(c->peer, node, addr);
	if (e != ERR_OK)
		return e;
	if (!p)
		p = peer_new(c);
	if (!p)
		return ERR_NOMEM;
	snprintf(p->node, sizeof(p->node), "%s", node);
	snprintf(p->addr, sizeof(p->addr), "%s", addr);
	return ERR_OK;
}

void core_peer_del(struct core *c, const char *node)
{
	struct core_peer *p = peer_find(c, node);

	if (!p)
		return;
	c->opts.peer->del(c->peer, node);
	*p = c->peers[--c->n_peers];
}

void core_peer_reset(struct core *c, const char *node)
{
	const struct core_peer *p = peer_find(c, node);

	if (p)
		c->opts.peer->add(c->peer, p->node, p->addr);
}

static enum err send_to(struct core *c, const struct core_peer_run *to,
			enum core_peer_msg type, const void *buf, size_t len)
{
	if ((int)type >= CORE_PEER_TYPES_MAX)
		return ERR_INVALID;
	if (!peer_find(c, to->node))
		return ERR_NOT_FOUND;
	return c->opts.peer->send(c->peer, to->node, to->run, (uint32_t)type,
				  buf, len);
}

enum err core_peer_send(struct core *c, const char *node,
			enum core_peer_msg type, const void *buf, size_t len)
{
	struct core_peer_run to = {.run = 0};

	if ((int)type < CORE_PEER_TYPES_MAX && is_reply[type])
		return ERR_INVALID;
	snprintf(to.node, sizeof(to.node), "%s", node);
	return send_to(c, &to, type, buf, len);
}

enum err core_peer_reply(struct core *c, const struct core_peer_run *to,
			 enum core_peer_msg type, const void *buf, size_t len)
{
	return send_to(c, to, type, buf, len);
}

struct core_peer_run core_peer_sender(const struct core *c)
{
	return c->sender;
}

void core_peer_late_reply(const char *from, enum core_peer_msg type)
{
	metric_add(M_PEER_LATE_REPLIES, 1);
	log_event(EV_PEER_LATE_REPLY, "from=%s type=%d", from, (int)type);
}

void core_peer_broadcast(struct core *c, enum core_peer_msg type,
			 const void *buf, size_t len)
{
	for (size_t i = 0; i < c->n_peers; i++) {
		if (c->opts.peer->send(c->peer, c->peers[i].node, 0,
				       (uint32_t)type, buf, len) != ERR_OK)
			metric_add(M_PEER_DROPPED, 1);
	}
}

enum err core_peer_on(struct core *c, enum core_peer_msg type,
		      void (*fn)(struct core *c, void *ctx, const char *from,
				 const void *buf, size_t len),
		      void *ctx)
{
	if (type <= PEER_MSG_NONE || (int)type >= CORE_PEER_TYPES_MAX)
		return ERR_INVALID;
	c->peer_handlers[type] = (struct peer_handler){fn, ctx};
	return ERR_OK;
}

/* A reply that names no process may answer a question of an earlier one. */
static bool is_for_this_process(const struct core *c, const struct peer_msg *m)
{
	bool reply = m->type < CORE_PEER_TYPES_MAX && is_reply[m->type];

	return m->to_run == c->run || (m->to_run == 0 && !reply);
}

static void handle(struct core *c, const struct peer_msg *m)
{
	struct peer_handler h = {NULL, NULL};

	if (m->type < CORE_PEER_TYPES_MAX)
		h = c->peer_handlers[m->type];
	if (!h.fn || !msgpack_is_valid(m->data, m->len)) {
		metric_add(M_PEER_MALFORMED, 1);
		return;
	}
	snprintf(c->sender.node, sizeof(c->sender.node), "%s", m->from);
	c->sender.run = m->run;
	h.fn(c, h.ctx, m->from, m->data, m->len);
}

void core_on_peer(struct core *c, struct peer_msg *m)
{
	if (is_for_this_process(c, m)) {
		handle(c, m);
	} else {
		metric_add(M_PEER_OTHER_PROCESS, 1);
		log_event(EV_PEER_OTHER_PROCESS,
			  "from=%s type=%u to=%016" PRIx64, m->from, m->type,
			  m->to_run);
	}
	c->opts.peer->msg_free(c->peer, m);
}
