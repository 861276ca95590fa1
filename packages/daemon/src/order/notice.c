// Sends notices of load orders to home nodes, and applies those of the leader.
#include "order/notice.h"

#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "daemon/site_mod.h"
#include "order/notice_msg.h"

static const char *state_name(enum site_order_state state)
{
	static const char *const names[] = {
		[SITE_ORDER_SENT] = "sent",
		[SITE_ORDER_ACCEPTED] = "accepted",
		[SITE_ORDER_FAILED] = "failed",
		[SITE_ORDER_LOADED] = "loaded",
		[SITE_ORDER_PRESENT] = "present",
	};

	return names[state];
}

static void apply_notice(struct core *c, const char *from,
			 const struct site_order *o)
{
	enum err e =
		site_servers_record_order(site_mod_servers(c), core_now(c), o);

	metric_add(M_ORDER_NOTICES, 1);
	log_event(
		EV_ORDER_NOTICE,
		"server=%s model=%s version=%llu state=%s from=%s ago_ms=%lld "
		"error=%s",
		o->server, o->model, (unsigned long long)o->version,
		state_name(o->state), from,
		(long long)(core_now(c) - o->sent_ms), err_code(e));
	if (e == ERR_OK &&
	    (o->state == SITE_ORDER_LOADED || o->state == SITE_ORDER_PRESENT))
		order_load_ended(c, o);
}

static void on_notice(struct core *c, void *ctx, const char *from,
		      const void *buf, size_t len)
{
	struct order_notice n = {0};
	struct arena a;

	arena_init(&a, 0);
	if (order_notice_read(buf, len, &a, &n) == ERR_OK) {
		const struct site_order o = {
			.server = n.server,
			.started_ms = (int64_t)n.started_ms,
			.model = n.model,
			.version = n.version,
			.sent_ms = core_now(c) - n.since_sent_ms,
			.state = n.state,
		};

		apply_notice(c, from, &o);
	} else {
		metric_add(M_PEER_MALFORMED, 1);
	}
	arena_free(&a);
}

void order_notice_send(struct core *c, const struct site_order *o)
{
	const struct order_notice notice = {
		.server = o->server,
		.started_ms = (uint64_t)o->started_ms,
		.model = o->model,
		.version = o->version,
		.since_sent_ms = core_now(c) - o->sent_ms,
		.state = o->state,
	};
	msgpack_sbuffer buf;
	size_t n;
	const struct site_node *homes = site_mod_homes(c, &n);

	apply_notice(c, core_node(c), o);
	msgpack_sbuffer_init(&buf);
	order_notice_pack(&buf, &notice);
	for (size_t i = 0; i < n; i++) {
		if (strcmp(homes[i].node, core_node(c)) == 0)
			continue;
		if (core_peer_add(c, homes[i].node, homes[i].peer) != ERR_OK ||
		    core_peer_send(c, homes[i].node, PEER_ENGINE_ORDER,
				   buf.data, buf.size) != ERR_OK)
			metric_add(M_PEER_DROPPED, 1);
	}
	msgpack_sbuffer_destroy(&buf);
}

void order_notice_version(struct core *c, const struct site_server *s,
			  const char *model, uint64_t version,
			  bool load_ended_now)
{
	const struct site_weight_load *l = &s->load;
	const struct site_order o = {
		.server = s->entry.id,
		.started_ms = s->entry.started_ms,
		.model = model,
		.version = version,
		.sent_ms = l->version == version ? l->sent_ms : core_now(c),
		.state =
			load_ended_now ? SITE_ORDER_LOADED : SITE_ORDER_PRESENT,
	};

	if (version > site_server_version(s, model))
		order_notice_send(c, &o);
}

enum err order_notice_start(struct core *c)
{
	return core_peer_on(c, PEER_ENGINE_ORDER, on_notice, NULL);
}
