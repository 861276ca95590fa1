// Messages between the rollout modules of nodes, and the members.
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "daemon/member_mod.h"
#include "rollout_mod_int.h"

static const enum core_peer_msg rollout_peer_types[ROLLOUT_MSG_COUNT] = {
	[ROLLOUT_MSG_OP] = PEER_ROLLOUT_OP,
	[ROLLOUT_MSG_ACK] = PEER_ROLLOUT_ACK,
	[ROLLOUT_MSG_REQUEST] = PEER_ROLLOUT_REQUEST,
	[ROLLOUT_MSG_REPLY] = PEER_ROLLOUT_REPLY,
	[ROLLOUT_MSG_OWNER_QUERY] = PEER_ROLLOUT_OWNER_QUERY,
	[ROLLOUT_MSG_OWNER_REPLY] = PEER_ROLLOUT_OWNER_REPLY,
};

/* Contexts by which the handler knows the message type. */
static const enum rollout_msg rollout_msg_contexts[ROLLOUT_MSG_COUNT] = {
	ROLLOUT_MSG_OP,	   ROLLOUT_MSG_ACK,	    ROLLOUT_MSG_REQUEST,
	ROLLOUT_MSG_REPLY, ROLLOUT_MSG_OWNER_QUERY, ROLLOUT_MSG_OWNER_REPLY,
};

void rollout_mod_send_peer(struct core *c, const struct rollout_action *a)
{
	struct core_peer_run to = {.run = a->to_run};
	enum core_peer_msg type = rollout_peer_types[a->msg];

	snprintf(to.node, sizeof(to.node), "%s", a->node);
	if (core_peer_reply(c, &to, type, a->buf, a->len) != ERR_OK)
		metric_add(M_PEER_DROPPED, 1);
}

static void rollout_on_message(struct core *c, void *ctx, const char *from,
			       const void *buf, size_t len)
{
	struct rollout_mod *m = rollout_mod_state(c);
	const enum rollout_msg *type = ctx;
	enum err e;

	if (!m || !m->r)
		return;
	e = rollout_recv(m->r, from, core_peer_sender(c).run, *type, buf, len,
			 core_now(c));
	if (e != ERR_OK)
		log_event(EV_ROLLOUT_BAD_MESSAGE, "from=%s type=%d error=%s",
			  from, (int)*type, err_code(e));
	rollout_mod_apply_actions(m);
}

enum err rollout_mod_peer_init(struct core *c)
{
	for (size_t i = 0; i < ROLLOUT_MSG_COUNT; i++) {
		enum err e = core_peer_on(c, rollout_peer_types[i],
					  rollout_on_message,
					  (void *)&rollout_msg_contexts[i]);

		if (e != ERR_OK)
			return e;
	}
	return ERR_OK;
}

void rollout_mod_update_members(struct rollout_mod *m)
{
	struct rollout_member list[ROLLOUT_MAX_MEMBERS];
	size_t n;
	const struct member_view *all = member_mod_members(m->c, &n);

	if (n > ROLLOUT_MAX_MEMBERS)
		n = ROLLOUT_MAX_MEMBERS;
	memset(list, 0, sizeof(list));
	for (size_t i = 0; i < n; i++) {
		snprintf(list[i].id, sizeof(list[i].id), "%s", all[i].id);
		snprintf(list[i].domain, sizeof(list[i].domain), "%s",
			 all[i].domain);
		list[i].alive = all[i].state != MEMBER_DEAD;
		list[i].draining = all[i].draining;
	}
	rollout_set_members(m->r, list, n);
}
