// The queue of actions that the caller has to execute.
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state.h"

static struct action_node *action_new(struct member *m,
				      enum member_action_kind kind,
				      const char *node, const char *addr,
				      const void *buf, size_t len)
{
	struct action_node *n = calloc(1, sizeof(*n) + len);

	if (!n)
		return NULL;
	n->a.kind = kind;
	snprintf(n->a.node, sizeof(n->a.node), "%s", node);
	snprintf(n->a.addr, sizeof(n->a.addr), "%s", addr);
	if (len)
		memcpy(n->data, buf, len);
	n->a.buf = n->data;
	n->a.len = len;
	*m->tail = n;
	m->tail = &n->next;
	return n;
}

void action_connect(struct member *m, const char *node, const char *addr)
{
	action_new(m, MEMBER_CONNECT, node, addr, NULL, 0);
}

void action_reset(struct member *m, const char *node, const char *addr)
{
	action_new(m, MEMBER_RESET, node, addr, NULL, 0);
}

void action_disconnect(struct member *m, const char *node)
{
	action_new(m, MEMBER_DISCONNECT, node, "", NULL, 0);
}

void action_send(struct member *m, const char *node, enum member_msg type,
		 const void *buf, size_t len)
{
	struct action_node *n = action_new(m, MEMBER_SEND, node, "", buf, len);

	if (n)
		n->a.type = type;
}

bool member_next_action(struct member *m, struct member_action *out)
{
	struct action_node *n = m->head;

	free(m->last_action);
	m->last_action = n;
	if (!n)
		return false;
	m->head = n->next;
	if (!m->head)
		m->tail = &m->head;
	*out = n->a;
	return true;
}
