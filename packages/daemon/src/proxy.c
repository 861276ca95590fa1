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
	PROXY_OPEN = 1024, ///< calls to peers in flight
	/// Timeout of a call, plus the wait of a watch. The store answers
	/// within milliseconds, and another peer may be asked instead.
	PROXY_TIMEOUT_MS = 500,
	PROXY_AVOID_MS = 2000, ///< skip a peer that timed out or lost the store
};

/// A call sent to a peer, unanswered.
struct proxy_open {
	htab_handle self;
	htab_handle call;
	enum kv_op op;
	char peer[SITE_NAME_SIZE];
	int64_t until_ms;
};

/// A call made on behalf of a peer.
struct proxied {
	char node[SITE_NAME_SIZE];
	uint64_t seq;
};

struct proxy {
	struct htab *open; ///< struct proxy_open
	struct avoid avoid;
	int64_t told_lost_ms; ///< last report of a peer that its call failed
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

static bool send_ask(struct core *c, const struct site_node *peer,
		     const struct proxy_ask *ask)
{
	msgpack_sbuffer buf;
	enum err e;

	msgpack_sbuffer_init(&buf);
	proxy_ask_pack(&buf, ask);
	e = core_peer_add(c, peer->node, peer->peer);
	if (e == ERR_OK)
		e = core_peer_send(c, peer->node, PEER_KV_ASK, buf.data,
				   buf.size);
	msgpack_sbuffer_destroy(&buf);
	return e == ERR_OK;
}

bool proxy_call(struct core *c, struct proxy *p, htab_handle call,
		const struct kv_call *what)
{
	const struct site_node *peer = pick_peer(c, p);
	struct proxy_ask ask = {
		.addr = settings_str(core_settings(c), S_PEER_LISTEN),
		.call = *what,
	};
	struct proxy_open *o;
	htab_handle h;

	o = peer ? htab_add(p->open, &h) : NULL;
	if (!o)
		return false;
	ask.seq = h;
	o->self = h;
	o->call = call;
	o->op = what->op;
	o->until_ms = core_now(c) + PROXY_TIMEOUT_MS;
	if (what->op == KV_WATCH)
		o->until_ms += what->ms;
	strcpy(o->peer, peer->node);
	if (send_ask(c, peer, &ask)) {
		metric_add(M_KV_PROXIED, 1);
		return true;
	}
	htab_del(p->open, h);
	return false;
}

static void finish(struct core *c, struct proxy *p, struct proxy_open *o,
		   const struct kv_result *res)
{
	htab_handle call = o->call;

	if (res->err == ERR_KV_DOWN || res->err == ERR_KV_UNKNOWN)
		avoid_add(&p->avoid, o->peer, core_now(c) + PROXY_AVOID_MS);
	htab_del(p->open, o->self);
	p->done(c, call, res);
}

void proxy_step(struct core *c, struct proxy *p)
{
	static const struct kv_result lost = {.err = ERR_KV_UNKNOWN};
	struct proxy_open *o;
	size_t iter = 0;

	while ((o = htab_next(p->open, &iter, NULL))) {
		if (core_now(c) < o->until_ms)
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
	struct proxy_open *o;
	struct kv_result res;
	struct arena a;
	uint64_t seq = 0;

	arena_init(&a, 0);
	if (proxy_reply_read(buf, len, &a, &seq, &res) != ERR_OK) {
		metric_add(M_PEER_MALFORMED, 1);
	} else {
		/* A late reply counts as well: the peer's own call hung. */
		if (res.err == ERR_KV_DOWN || res.err == ERR_KV_UNKNOWN)
			p->told_lost_ms = core_now(c);
		o = htab_get(p->open, (htab_handle)seq);
		if (o && strcmp(o->peer, from) == 0)
			finish(c, p, o, &res);
	}
	arena_free(&a);
}

bool proxy_peers_lost(const struct proxy *p, int64_t since_ms)
{
	return p->told_lost_ms > since_ms;
}

static void reply(struct core *c, const struct proxied *to,
		  const struct kv_result *res)
{
	msgpack_sbuffer buf;
	enum err e;

	msgpack_sbuffer_init(&buf);
	proxy_reply_pack(&buf, to->seq, res);
	e = core_peer_send(c, to->node, PEER_KV_REPLY, buf.data, buf.size);
	if (e != ERR_OK)
		log_event(EV_KV_PROXY_LOST, "peer=%s bytes=%zu error=%s",
			  to->node, buf.size, err_code(e));
	msgpack_sbuffer_destroy(&buf);
}

static void on_made(struct core *c, void *ctx, const struct kv_result *res)
{
	struct proxied *to = ctx;

	reply(c, to, res);
	free(to);
}

static void on_ask(struct core *c, void *ctx, const char *from, const void *buf,
		   size_t len)
{
	static const struct kv_result down = {.err = ERR_KV_DOWN};
	struct proxied *to = calloc(1, sizeof(*to));
	struct proxy_ask ask = {0};
	struct arena a;

	if (!to) {
		log_event(EV_KV_PROXY_LOST, "peer=%s error=no-memory", from);
		return;
	}
	arena_init(&a, 0);
	if (proxy_ask_read(buf, len, &a, &ask) != ERR_OK ||
	    core_peer_add(c, from, ask.addr) != ERR_OK) {
		metric_add(M_PEER_MALFORMED, 1);
		free(to);
	} else {
		snprintf(to->node, sizeof(to->node), "%s", from);
		to->seq = ask.seq;
		if (kv_direct(c, &ask.call, (struct kv_cb){on_made, to}) !=
		    ERR_OK) {
			reply(c, to, &down);
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
	p->open = htab_new(PROXY_OPEN, sizeof(struct proxy_open));
	if (!p->open) {
		free(p);
		return ERR_NOMEM;
	}
	*out = p;
	e = core_peer_on(c, PEER_KV_ASK, on_ask, p);
	return e == ERR_OK ? core_peer_on(c, PEER_KV_REPLY, on_reply, p) : e;
}

void proxy_free(struct proxy *p)
{
	if (!p)
		return;
	htab_free(p->open);
	free(p);
}
