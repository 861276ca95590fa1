// Sends store calls to peers, and executes those that peers send.
#include "proxy.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "daemon/platform_mod.h"
#include "daemon/site_mod.h"
#include "proxy_msg.h"
#include "relay/avoid.h"

enum {
	PROXY_PENDING_MAX = 1024, ///< calls to peers in flight
	/// Timeout, plus the wait of a watch. The store answers within
	/// milliseconds, and another peer may be asked instead.
	PROXY_TIMEOUT_MS = 500,
	PROXY_AVOID_MS = 2000, ///< skip a peer that timed out or lost the store
};

/// A call sent to a peer, unanswered.
struct proxy_pending {
	htab_handle self;
	htab_handle call;
	enum kv_op op;
	char peer[SITE_NAME_SIZE];
	int64_t deadline_ms;
};

/// A call made on behalf of a peer.
struct proxied_call {
	struct core_peer_run from;
	uint64_t seq;
};

struct proxy {
	struct htab *pending; ///< struct proxy_pending
	struct avoid avoid;
	int64_t peer_down_ms; ///< last report of a failed call
	void (*done)(struct core *c, htab_handle call,
		     const struct kv_result *res);
};

/* Any neighbour will do: one that can't reach the store either says so at once. */
static const struct site_node *pick_peer(struct core *c, const struct proxy *p)
{
	size_t n;
	const struct site_node *nodes = site_mod_neighbours(c, &n);

	for (size_t i = 0; i < n; i++) {
		if (!avoid_has(&p->avoid, nodes[i].node, core_now(c)))
			return &nodes[i];
	}
	return NULL;
}

static bool send_call(struct core *c, const struct site_node *peer,
		      const struct proxy_request *request)
{
	msgpack_sbuffer buf;
	enum err e;

	msgpack_sbuffer_init(&buf);
	proxy_request_pack(&buf, request);
	e = core_peer_add(c, peer->node, peer->peer);
	if (e == ERR_OK)
		e = core_peer_send(c, peer->node, PEER_KV_REQUEST, buf.data,
				   buf.size);
	msgpack_sbuffer_destroy(&buf);
	return e == ERR_OK;
}

bool proxy_call(struct core *c, struct proxy *p, htab_handle call,
		const struct kv_call *store_call)
{
	const struct site_node *peer = pick_peer(c, p);
	struct proxy_request request = {
		.addr = settings_str(core_settings(c), S_PEER_LISTEN),
		.call = *store_call,
	};
	struct proxy_pending *o;
	htab_handle h;

	o = peer ? htab_add(p->pending, &h) : NULL;
	if (!o)
		return false;
	request.seq = h;
	o->self = h;
	o->call = call;
	o->op = store_call->op;
	o->deadline_ms = core_now(c) + PROXY_TIMEOUT_MS;
	if (store_call->op == KV_WATCH)
		o->deadline_ms += store_call->ms;
	strcpy(o->peer, peer->node);
	if (send_call(c, peer, &request)) {
		metric_add(M_KV_PROXIED, 1);
		return true;
	}
	htab_del(p->pending, h);
	return false;
}

static void finish(struct core *c, struct proxy *p, struct proxy_pending *o,
		   const struct kv_result *res)
{
	htab_handle call = o->call;

	if (res->err == ERR_KV_DOWN || res->err == ERR_KV_UNKNOWN)
		avoid_add(&p->avoid, o->peer, core_now(c) + PROXY_AVOID_MS);
	htab_del(p->pending, o->self);
	p->done(c, call, res);
}

void proxy_expire(struct core *c, struct proxy *p)
{
	static const struct kv_result lost = {.err = ERR_KV_UNKNOWN};
	struct proxy_pending *o;
	size_t iter = 0;

	while ((o = htab_next(p->pending, &iter, NULL))) {
		if (core_now(c) < o->deadline_ms)
			continue;
		log_event(EV_KV_PROXY_LOST, "peer=%s call=%d", o->peer,
			  (int)o->op);
		finish(c, p, o, &lost);
	}
}

static void on_reply(struct core *c, void *ctx, const char *from,
		     const void *buf, size_t len)
{
	struct proxy *p = ctx;
	struct proxy_pending *o;
	struct kv_result res;
	struct arena a;
	uint64_t seq = 0;

	arena_init(&a, 0);
	if (proxy_reply_unpack(buf, len, &a, &seq, &res) != ERR_OK) {
		metric_add(M_PEER_MALFORMED, 1);
	} else {
		/* A late reply counts as well: the peer's own call hung. */
		if (res.err == ERR_KV_DOWN || res.err == ERR_KV_UNKNOWN)
			p->peer_down_ms = core_now(c);
		o = htab_get(p->pending, (htab_handle)seq);
		if (o && strcmp(o->peer, from) == 0)
			finish(c, p, o, &res);
		else
			core_peer_late_reply(from, PEER_KV_REPLY);
	}
	arena_free(&a);
}

bool proxy_peers_down(const struct proxy *p, int64_t since_ms)
{
	return p->peer_down_ms > since_ms;
}

static void send_reply(struct core *c, const struct proxied_call *to,
		       const struct kv_result *res)
{
	msgpack_sbuffer buf;
	enum err e;

	msgpack_sbuffer_init(&buf);
	proxy_reply_pack(&buf, to->seq, res);
	e = core_peer_reply(c, &to->from, PEER_KV_REPLY, buf.data, buf.size);
	if (e != ERR_OK)
		log_event(EV_KV_PROXY_LOST, "peer=%s bytes=%zu error=%s",
			  to->from.node, buf.size, err_code(e));
	msgpack_sbuffer_destroy(&buf);
}

static void on_call_done(struct core *c, void *ctx, const struct kv_result *res)
{
	struct proxied_call *to = ctx;

	send_reply(c, to, res);
	free(to);
}

static void on_proxy_call(struct core *c, void *ctx, const char *from,
			  const void *buf, size_t len)
{
	static const struct kv_result down = {.err = ERR_KV_DOWN};
	struct proxied_call *to = calloc(1, sizeof(*to));
	struct proxy_request request = {0};
	struct arena a;

	if (!to) {
		log_event(EV_KV_PROXY_LOST, "peer=%s error=no-memory", from);
		return;
	}
	arena_init(&a, 0);
	if (proxy_request_unpack(buf, len, &a, &request) != ERR_OK ||
	    core_peer_add(c, from, request.addr) != ERR_OK) {
		metric_add(M_PEER_MALFORMED, 1);
		free(to);
	} else {
		to->from = core_peer_sender(c);
		to->seq = request.seq;
		if (kv_call_direct(c, &request.call,
				   (struct kv_cb){on_call_done, to}) !=
		    ERR_OK) {
			send_reply(c, to, &down);
			free(to);
		}
	}
	arena_free(&a);
}

enum err proxy_start(struct core *c, struct proxy **out,
		     void (*done)(struct core *c, htab_handle call,
				  const struct kv_result *res))
{
	struct proxy *p = calloc(1, sizeof(*p));
	enum err e;

	if (!p)
		return ERR_NOMEM;
	p->done = done;
	p->pending = htab_new(PROXY_PENDING_MAX, sizeof(struct proxy_pending));
	if (!p->pending) {
		free(p);
		return ERR_NOMEM;
	}
	*out = p;
	e = core_peer_on(c, PEER_KV_REQUEST, on_proxy_call, p);
	return e == ERR_OK ? core_peer_on(c, PEER_KV_REPLY, on_reply, p) : e;
}

void proxy_free(struct proxy *p)
{
	if (!p)
		return;
	htab_free(p->pending);
	free(p);
}
