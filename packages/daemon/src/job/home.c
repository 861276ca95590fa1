// Forwards requests to homes, serves requests as one, and falls back to local work.
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
	HOME_REQUESTS_MAX = 4096, ///< in flight
	/// Longest wait for a home beyond the request's own wait. A trainer expects a
	/// batch to be accepted within some hundred milliseconds.
	HOME_TIMEOUT_MS = 450,
	HOME_REFUSED_AVOID_MS =
		500, ///< avoid a home that lost the store or drains
	/// Age of a node before requests are forwarded to it, so that both sides have
	/// connected: they learn of each other some 100 ms apart.
	HOME_CONNECT_WAIT_MS = 600,
	HOME_SILENT_AVOID_MS = 2500, ///< avoid a home that did not answer
	HOME_NODES_MAX = 64, ///< candidate nodes
	/// Copies of a submission in the message to its home, whose buffer grows to twice
	/// its size.
	HOME_COPIES = 2,
	HOME_BODY_MAX_BYTES =
		900000, ///< largest batch that fits into a message
};

/// Forwarded request, with the data to serve it locally.
struct home_pending {
	htab_handle self;
	htab_handle req;
	struct home_request request; ///< pointers are into the request's arena
	char home[SITE_NAME_SIZE];
	int64_t deadline_ms;
	bool second; ///< another home was asked before
};

struct home_state {
	struct htab *pending; ///< struct home_pending
	struct avoid avoid;
};

static struct home_state *home_state_of(const struct core *c)
{
	return jobs_of(c)->home_state;
}

static void avoid_home(struct core *c, const char *node, int ms)
{
	avoid_add(&home_state_of(c)->avoid, node, core_now(c) + ms);
	log_event(EV_JOB_HOME_NOT_ANSWERING, "home=%s avoid_ms=%d", node, ms);
}

const struct site_node *job_home_of(struct core *c, const char *team,
				    bool exclude_self)
{
	struct job_home homes[HOME_NODES_MAX];
	size_t n;
	const struct site_node *nodes = site_mod_homes(c, &n);
	int best;

	n = n < HOME_NODES_MAX ? n : HOME_NODES_MAX;
	for (size_t i = 0; i < n; i++) {
		const char *node = nodes[i].node;

		homes[i].node = node;
		homes[i].usable =
			core_now(c) - nodes[i].known_ms >=
				HOME_CONNECT_WAIT_MS &&
			!avoid_has(&home_state_of(c)->avoid, node,
				   core_now(c)) &&
			!(exclude_self && strcmp(node, core_node(c)) == 0);
	}
	best = job_home_choose(team, homes, n);
	return best < 0 ? NULL : &nodes[best];
}

static bool send_request(struct core *c, const struct site_node *home,
			 const struct home_request *request)
{
	msgpack_sbuffer buf;
	enum err e;

	msgpack_sbuffer_init(&buf);
	job_home_request_pack(&buf, request);
	e = core_peer_add(c, home->node, home->peer);
	if (e == ERR_OK)
		e = core_peer_send(c, home->node, PEER_JOB_ASK, buf.data,
				   buf.size);
	msgpack_sbuffer_destroy(&buf);
	return e == ERR_OK;
}

static bool is_read(const struct home_request *request)
{
	return request->kind == HOME_RESULTS || request->kind == HOME_BODY;
}

size_t job_home_memory(const struct core *c)
{
	const struct home_pending *p;
	size_t n = 0;
	size_t iter = 0;

	while ((p = htab_next(home_state_of(c)->pending, &iter, NULL)))
		n += HOME_COPIES * p->request.len;
	return n;
}

static void on_abort(struct core *c, struct core_req *req, void *user)
{
	htab_del(home_state_of(c)->pending, (htab_handle)(uintptr_t)user);
}

bool job_home_forward(struct core *c, struct core_req *req,
		      const struct home_request *request)
{
	const struct site_node *home =
		job_home_of(c, request->team, jobs_of(c)->handover.started);
	struct home_pending *p;
	htab_handle h;

	if (!home || strcmp(home->node, core_node(c)) == 0 ||
	    request->len > HOME_BODY_MAX_BYTES ||
	    (request->len &&
	     !job_memory_has_room(c, HOME_COPIES * request->len)))
		return false;
	p = htab_add(home_state_of(c)->pending, &h);
	if (!p)
		return false;
	p->self = h;
	p->req = req->h;
	p->request = *request;
	p->request.seq = h;
	p->request.addr = settings_str(core_settings(c), S_PEER_LISTEN);
	p->deadline_ms = core_now(c) + request->wait_ms + HOME_TIMEOUT_MS;
	strcpy(p->home, home->node);
	if (!send_request(c, home, &p->request)) {
		htab_del(home_state_of(c)->pending, h);
		return false;
	}
	req->on_abort = on_abort;
	req->user = (void *)(uintptr_t)h;
	return true;
}

/* Serves a request locally that the home did not serve.
 *
 * @param maybe_taken  the home may have accepted the batch */
static void fall_back(struct core *c, const struct home_pending *saved,
		      bool maybe_taken)
{
	struct core_req *req = core_req_get(c, saved->req);

	if (!req)
		return;
	req->on_abort = NULL;
	job_serve_local(c, &(struct job_caller){.req = saved->req},
			&saved->request, maybe_taken);
}

/* Asks the team's next home.
 *
 * Load pattern: a home is lost, and for seconds each entry node has readers of its
 * batches. If each read all records from the store, small VMs would be busy with them for
 * a second; the next home reads them once, and takes the batches over.
 *
 * @return false if there is none, or for a request that is no read: the first home may
 *         have begun it */
static bool ask_next_home(struct core *c, struct home_pending *p)
{
	const struct site_node *home =
		job_home_of(c, p->request.team, jobs_of(c)->handover.started);

	if (p->second || !is_read(&p->request) || !home ||
	    strcmp(home->node, core_node(c)) == 0)
		return false;
	p->second = true;
	p->request.wait_ms = 0;
	p->deadline_ms = core_now(c) + HOME_TIMEOUT_MS;
	strcpy(p->home, home->node);
	return send_request(c, home, &p->request);
}

static void home_timed_out(struct core *c, struct home_pending *p)
{
	struct home_pending saved;

	avoid_home(c, p->home, HOME_SILENT_AVOID_MS);
	core_peer_reset(c, p->home);
	if (ask_next_home(c, p))
		return;
	saved = *p;
	htab_del(home_state_of(c)->pending, saved.self);
	fall_back(c, &saved, true);
}

void job_home_step(struct core *c)
{
	struct home_pending *p;
	size_t iter = 0;

	while ((p = htab_next(home_state_of(c)->pending, &iter, NULL))) {
		if (core_now(c) >= p->deadline_ms)
			home_timed_out(c, p);
	}
}

/* Whether any node would give this reply; if not, this node tries. */
static bool is_final(const struct home_reply *reply)
{
	switch (reply->err) {
	case ERR_OK:
	case ERR_BATCH_UNKNOWN:
	case ERR_BATCH_INVALID:
	case ERR_BATCH_ID:
	case ERR_BATCH_FIELD:
	case ERR_BATCH_TARGET:
	case ERR_TOO_LARGE:
		return true;
	default:
		return false;
	}
}

static void handle_reply(struct core *c, const char *from,
			 const struct home_reply *reply)
{
	struct home_pending *p =
		htab_get(home_state_of(c)->pending, (htab_handle)reply->seq);
	struct home_pending saved;

	if (!p || strcmp(p->home, from) != 0) {
		core_peer_late_reply(from, PEER_JOB_REPLY);
		return;
	}
	saved = *p;
	htab_del(home_state_of(c)->pending, saved.self);
	if (!is_final(reply)) {
		/* Without memory for a batch it still serves reads. */
		if (reply->err != ERR_FULL)
			avoid_home(c, saved.home, HOME_REFUSED_AVOID_MS);
		fall_back(c, &saved, reply->run != RUN_NO);
	} else if (reply->err == ERR_OK) {
		core_reply(c, saved.req, reply->status, reply->ctype,
			   reply->body, reply->len);
	} else {
		core_reply_err(c, saved.req, reply->err, reply->run, 0, NULL);
	}
}

static void on_reply(struct core *c, void *ctx, const char *from,
		     const void *buf, size_t len)
{
	struct home_reply reply;
	struct arena a;

	arena_init(&a, 0);
	if (job_home_reply_read(buf, len, &a, &reply) == ERR_OK)
		handle_reply(c, from, &reply);
	else
		metric_add(M_PEER_MALFORMED, 1);
	arena_free(&a);
}

/* Whether this node can serve as a home; without the store the sender may do better.
 * Load pattern: the store does not respond as trainers submit their next steps. A home
 * that held them would leave the senders with unknown outcomes. */
static bool can_serve(struct core *c, const struct home_request *request)
{
	if (request->kind == HOME_SUBMIT && !kv_up_since(c))
		return false;
	return lead_mod_live_key_held(c) && !jobs_of(c)->draining &&
	       !(request->kind == HOME_SUBMIT && jobs_of(c)->handover.started);
}

static void on_home_request(struct core *c, void *ctx, const char *from,
			    const void *buf, size_t len)
{
	struct job_caller to = {0};
	struct home_request request = {0};
	struct arena a;

	arena_init(&a, 0);
	if (job_home_request_read(buf, len, &a, &request) != ERR_OK ||
	    core_peer_add(c, from, request.addr) != ERR_OK) {
		metric_add(M_PEER_MALFORMED, 1);
	} else {
		to.from = core_peer_sender(c);
		to.seq = request.seq;
		if (can_serve(c, &request))
			job_serve_local(c, &to, &request, false);
		else
			job_caller_refuse(c, &to, ERR_KV_DOWN, RUN_NO, 0);
	}
	arena_free(&a);
}

void job_home_reply(struct core *c, const struct core_peer_run *to,
		    const struct home_reply *reply)
{
	msgpack_sbuffer buf;
	enum err e;

	msgpack_sbuffer_init(&buf);
	job_home_reply_pack(&buf, reply);
	e = core_peer_reply(c, to, PEER_JOB_REPLY, buf.data, buf.size);
	if (e != ERR_OK)
		log_event(EV_JOB_HOME_REPLY_UNSENT, "to=%s bytes=%zu error=%s",
			  to->node, buf.size, err_code(e));
	msgpack_sbuffer_destroy(&buf);
}

enum err job_home_start(struct core *c)
{
	struct jobs *jobs = jobs_of(c);
	enum err e;

	jobs->home_state = calloc(1, sizeof(*jobs->home_state));
	if (!jobs->home_state)
		return ERR_NOMEM;
	jobs->home_state->pending =
		htab_new(HOME_REQUESTS_MAX, sizeof(struct home_pending));
	if (!jobs->home_state->pending)
		return ERR_NOMEM;
	e = core_peer_on(c, PEER_JOB_ASK, on_home_request, NULL);
	return e == ERR_OK ? core_peer_on(c, PEER_JOB_REPLY, on_reply, NULL)
			   : e;
}

void job_home_free(struct core *c)
{
	struct home_state *h = home_state_of(c);

	if (!h)
		return;
	htab_free(h->pending);
	free(h);
}
