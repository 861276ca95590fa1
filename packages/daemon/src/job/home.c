// Asks homes, answers as one, and falls back to this node's own work.
#include "job/home.h"

#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "daemon/lead_mod.h"
#include "daemon/site_mod.h"
#include "job/home_msg.h"
#include "job/job.h"
#include "job/takeover.h"
#include "relay/avoid.h"

enum {
	HOME_ASKS = 4096, ///< open questions
	/// Longest wait for a home beyond what its call may wait by itself; a
	/// trainer expects a batch to be taken in some hundred milliseconds.
	HOME_LATE_MS = 450,
	HOME_REFUSED_MS = 500, ///< a home that lost the store, or drains
	/// A node is asked once connections both ways had time to come about:
	/// it and its askers learn of each other some 100 ms apart.
	HOME_CONNECT_MS = 600,
	HOME_AVOID_MS = 2500, ///< a home that did not answer is left alone
	HOME_NODES = 64, ///< nodes that are chosen from
	HOME_BODY_MAX = 900000, ///< bytes of a batch that fit into a message
};

/// An open question, with all that is needed to do the work here.
struct home_open {
	htab_handle self;
	htab_handle req;
	struct home_ask ask; ///< pointers are into the request's arena
	char home[SITE_NAME];
	int64_t until_ms;
};

struct homes {
	struct htab *open; ///< struct home_open
	struct avoid avoid;
};

static struct homes *homes_of(const struct core *c)
{
	return jobs_of(c)->homes;
}

static void avoid_home(struct core *c, const char *node, int ms)
{
	avoid_add(&homes_of(c)->avoid, node, core_now(c) + ms);
	log_event(EV_JOB_HOME_LOST, "home=%s avoid_ms=%d", node, ms);
}

const struct site_node *job_home_of(struct core *c, const char *team,
				    bool other)
{
	struct job_home homes[HOME_NODES];
	size_t n;
	const struct site_node *nodes = site_mod_homes(c, &n);
	int best;

	n = n < HOME_NODES ? n : HOME_NODES;
	for (size_t i = 0; i < n; i++) {
		const char *node = nodes[i].node;

		homes[i].node = node;
		homes[i].usable =
			core_now(c) - nodes[i].known_ms >= HOME_CONNECT_MS &&
			!avoid_has(&homes_of(c)->avoid, node, core_now(c)) &&
			!(other && strcmp(node, core_node(c)) == 0);
	}
	best = job_home_choose(team, homes, n);
	return best < 0 ? NULL : &nodes[best];
}

static bool send_ask(struct core *c, const struct site_node *home,
		     const struct home_ask *ask)
{
	msgpack_sbuffer buf;
	enum err e;

	msgpack_sbuffer_init(&buf);
	job_home_ask_pack(&buf, ask);
	e = core_peer_add(c, home->node, home->peer);
	if (e == ERR_OK)
		e = core_peer_send(c, home->node, PEER_JOB_ASK, buf.data,
				   buf.size);
	msgpack_sbuffer_destroy(&buf);
	return e == ERR_OK;
}

static void on_abort(struct core *c, struct core_req *req, void *user)
{
	htab_del(homes_of(c)->open, (htab_handle)(uintptr_t)user);
}

bool job_home_try(struct core *c, struct core_req *req,
		  const struct home_ask *ask)
{
	const struct site_node *home =
		job_home_of(c, ask->team, jobs_of(c)->leave.on);
	struct home_open *o;
	htab_handle h;

	if (!home || strcmp(home->node, core_node(c)) == 0 ||
	    ask->len > HOME_BODY_MAX)
		return false;
	o = htab_add(homes_of(c)->open, &h);
	if (!o)
		return false;
	o->self = h;
	o->req = req->h;
	o->ask = *ask;
	o->ask.seq = h;
	o->ask.addr = settings_str(core_settings(c), S_PEER_LISTEN);
	o->until_ms = core_now(c) + ask->wait_ms + HOME_LATE_MS;
	strcpy(o->home, home->node);
	if (!send_ask(c, home, &o->ask)) {
		htab_del(homes_of(c)->open, h);
		return false;
	}
	req->on_abort = on_abort;
	req->user = (void *)(uintptr_t)h;
	return true;
}

/* Do here what the home did not do.
 *
 * @param maybe  the home may have taken the batch */
static void fall_back(struct core *c, const struct home_open *was, bool maybe)
{
	struct core_req *req = core_req_get(c, was->req);

	if (!req)
		return;
	req->on_abort = NULL;
	job_local(c, &(struct job_caller){.req = was->req}, &was->ask, maybe);
}

static void home_gone(struct core *c, struct home_open *o)
{
	struct home_open was = *o;

	avoid_home(c, was.home, HOME_AVOID_MS);
	core_peer_reset(c, was.home);
	htab_del(homes_of(c)->open, was.self);
	fall_back(c, &was, true);
}

void job_home_step(struct core *c)
{
	struct home_open *o;
	size_t iter = 0;

	while ((o = htab_next(homes_of(c)->open, &iter, NULL))) {
		if (core_now(c) >= o->until_ms)
			home_gone(c, o);
	}
}

/* Answers that any node would give; others are this node's to better. */
static bool is_final(const struct home_reply *reply)
{
	return reply->err == ERR_OK || reply->err == ERR_BATCH_UNKNOWN ||
	       reply->err == ERR_BATCH_INVALID || reply->err == ERR_TOO_LARGE;
}

static void take_reply(struct core *c, const char *from,
		       const struct home_reply *reply)
{
	struct home_open *o =
		htab_get(homes_of(c)->open, (htab_handle)reply->seq);
	struct home_open was;

	if (!o || strcmp(o->home, from) != 0)
		return;
	was = *o;
	htab_del(homes_of(c)->open, was.self);
	if (!is_final(reply)) {
		avoid_home(c, was.home, HOME_REFUSED_MS);
		fall_back(c, &was, reply->run != RUN_NO);
	} else if (reply->err == ERR_OK) {
		core_reply(c, was.req, reply->status, reply->ctype, reply->body,
			   reply->len);
	} else {
		core_reply_err(c, was.req, reply->err, reply->run, 0, NULL);
	}
}

static void on_reply(struct core *c, void *ctx, const char *from,
		     const void *buf, size_t len)
{
	struct home_reply reply;
	struct arena a;

	arena_init(&a, 0);
	if (job_home_reply_read(buf, len, &a, &reply) == ERR_OK)
		take_reply(c, from, &reply);
	else
		metric_add(M_PEER_MALFORMED, 1);
	arena_free(&a);
}

/* A home without the store knows less than the asker can. Load pattern: the store
 * is silent and each trainer's next step comes; a home that held them would leave
 * the askers with unknown outcomes. */
static bool of_use(struct core *c, const struct home_ask *ask)
{
	if (ask->kind == HOME_SUBMIT && !kv_back_since(c))
		return false;
	return lead_mod_alive(c) && !jobs_of(c)->draining &&
	       !(ask->kind == HOME_SUBMIT && jobs_of(c)->leave.on);
}

static void on_ask(struct core *c, void *ctx, const char *from, const void *buf,
		   size_t len)
{
	struct job_caller to = {0};
	struct home_ask ask = {0};
	struct arena a;

	arena_init(&a, 0);
	if (job_home_ask_read(buf, len, &a, &ask) != ERR_OK ||
	    core_peer_add(c, from, ask.addr) != ERR_OK) {
		metric_add(M_PEER_MALFORMED, 1);
	} else {
		snprintf(to.node, sizeof(to.node), "%s", from);
		to.seq = ask.seq;
		if (of_use(c, &ask))
			job_local(c, &to, &ask, false);
		else
			job_caller_refuse(c, &to, ERR_KV_DOWN, RUN_NO, 0);
	}
	arena_free(&a);
}

void job_home_reply(struct core *c, const char *node,
		    const struct home_reply *reply)
{
	msgpack_sbuffer buf;
	enum err e;

	msgpack_sbuffer_init(&buf);
	job_home_reply_pack(&buf, reply);
	e = core_peer_send(c, node, PEER_JOB_REPLY, buf.data, buf.size);
	if (e != ERR_OK)
		log_event(EV_JOB_HOME_UNSENT, "to=%s bytes=%zu error=%s", node,
			  buf.size, err_code(e));
	msgpack_sbuffer_destroy(&buf);
}

enum err job_home_start(struct core *c)
{
	struct jobs *jobs = jobs_of(c);
	enum err e;

	jobs->homes = calloc(1, sizeof(*jobs->homes));
	if (!jobs->homes)
		return ERR_NOMEM;
	jobs->homes->open = htab_new(HOME_ASKS, sizeof(struct home_open));
	if (!jobs->homes->open)
		return ERR_NOMEM;
	e = core_peer_on(c, PEER_JOB_ASK, on_ask, NULL);
	return e == ERR_OK ? core_peer_on(c, PEER_JOB_REPLY, on_reply, NULL)
			   : e;
}

void job_home_free(struct core *c)
{
	struct homes *h = homes_of(c);

	if (!h)
		return;
	htab_free(h->open);
	free(h);
}
