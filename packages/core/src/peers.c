// Peer addresses and peer message handlers of modules.
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/metric.h"
#include "base/msgpack_check.h"
#include "core.h"

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

enum err core_peer_send(struct core *c, const char *node,
			enum core_peer_msg type, const void *buf, size_t len)
{
	if (!peer_find(c, node))
		return ERR_NOT_FOUND;
	return c->opts.peer->send(c->peer, node, (uint32_t)type, buf, len);
}

void core_peer_broadcast(struct core *c, enum core_peer_msg type,
			 const void *buf, size_t len)
{
	for (size_t i = 0; i < c->n_peers; i++) {
		if (c->opts.peer->send(c->peer, c->peers[i].node,
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

void core_on_peer(struct core *c, struct peer_msg *m)
{
	struct peer_handler h = {NULL, NULL};

	if (m->type < CORE_PEER_TYPES_MAX)
		h = c->peer_handlers[m->type];
	if (h.fn && msgpack_is_valid(m->data, m->len))
		h.fn(c, h.ctx, m->from, m->data, m->len);
	else
		metric_add(M_PEER_MALFORMED, 1);
	c->opts.peer->msg_free(c->peer, m);
}
