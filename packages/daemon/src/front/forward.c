// Forwards a request: chooses a backend server and sends the request to it. The
// answer is handled in forward_end.c.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/histogram.h"
#include "base/metric.h"
#include "daemon/suspect_mod.h"
#include "daemon/tally_mod.h"
#include "front/front.h"
#include "front/stopping.h"

enum {
	FORWARD_CONNECT_MS = 400, ///< some round trips and a retransmission
	/// Shortest timeout of an attempt that may be retried at another server.
	FORWARD_ATTEMPT_MIN_MS = 400,
	FORWARD_CHOOSE_INTERVAL_MS = 60, ///< while no server is free
	FORWARD_TRIAL_POLL_MS = 20, ///< while the store is asked for a trial
	/// Longest wait for a server, such as for the rate limit of a cold one; after
	/// that another node serves the caller better.
	FORWARD_QUEUE_MAX_MS = 300,
	FORWARD_RETRY_AFTER_MS = 400,
	FORWARD_RETRY_AFTER_MIN_MS = 20, ///< a round trip to other nodes
	FORWARD_DEFAULT_BUDGET_MS = 30000, ///< if the caller states none
};

/* Timeout of the attempt just added to n_tried. A request that may be retried keeps
 * half of its remaining time for the next attempt. */
static int64_t attempt_timeout_ms(struct core *c, const struct forward *f)
{
	int64_t remaining_ms = f->deadline_ms - core_now(c);
	int64_t half_ms = remaining_ms / 2 > FORWARD_ATTEMPT_MIN_MS
				  ? remaining_ms / 2
				  : FORWARD_ATTEMPT_MIN_MS;
	bool retryable =
		f->kind == SITE_IDEMPOTENT && f->n_tried < f->max_servers;

	/* With hedging the attempts overlap instead. */
	return retryable && !f->may_hedge && half_ms < remaining_ms
		       ? half_ms
		       : remaining_ms;
}

static enum err send_fetch(struct core *c, struct forward *f, int i,
			   const struct site_server *s)
{
	struct core_req *req = core_req_get(c, f->req);
	struct front_forward ff = {
		.server = s->entry.id,
		.team = f->team,
		.budget_ms =
			f->has_budget ? f->caller_deadline_ms - core_now(c) : 0,
	};
	struct core_fetch_opts opts = {
		.method = req->method,
		.body = req->body,
		.body_len = req->body_len,
		.timeout_ms = attempt_timeout_ms(c, f),
		.connect_timeout_ms = FORWARD_CONNECT_MS,
		.fresh = f->n_tried > 1,
		.send_until_ms = site_mod_send_until(c),
		.want_head = true,
		.id_field = front_of(c)->wire->front->id_field,
		.tag = s->self,
		.on_done = forward_attempt_done,
		.ctx = forward_ctx(f, i),
	};
	size_t len = strlen(s->entry.addr) + strlen(req->path) +
		     strlen(req->query) + sizeof("http://?");
	char *url = arena_alloc(&req->arena, len);

	if (!url)
		return ERR_NOMEM;
	snprintf(url, len, "http://%s%s%s%s", s->entry.addr, req->path,
		 *req->query ? "?" : "", req->query);
	opts.url = url;
	ff.headers = core_req_headers(req, &ff.n_headers);
	opts.headers = front_of(c)->wire->front->forward(&ff, &req->arena);
	return opts.headers ? core_fetch(c, &opts, &f->attempts[i].fetch)
			    : ERR_NOMEM;
}

enum err forward_send_to(struct core *c, struct forward *f,
			 struct site_server *s)
{
	int i = f->attempts[0].fetch ? 1 : 0;
	struct forward_attempt *t = &f->attempts[i];
	enum err e;

	*t = (struct forward_attempt){
		.server = s->self,
		.servers_age_ms = site_mod_servers_age_ms(c),
		.started_ms = s->entry.started_ms,
		.sent_ms = core_now(c),
		.sent_wall_ms = clock_wall_ms(),
		.hedge = forward_running(f) > 0,
	};
	snprintf(t->server_id, sizeof(t->server_id), "%s", s->entry.id);
	histogram_add(H_SERVERS_AGE, t->servers_age_ms);
	f->tried[f->n_tried++] = s->self;
	e = send_fetch(c, f, i, s);
	if (e != ERR_OK)
		return e;
	f->last_attempt = i;
	site_server_begin(s, core_now(c));
	forward_hedge_sent(c, f, t, s);
	return ERR_OK;
}

/* No server can take the request now: wait for one, or for the permits of one with a
 * limit; refuse if all are at their limits. */
static void wait_for_server(struct core *c, struct forward *f)
{
	struct site_limit_outlook o;

	site_servers_limit_outlook(site_mod_servers(c), core_now(c), f->service,
				   &o);
	if (!o.unlimited && !o.pending && o.refused_ms) {
		f->retry_after_ms = o.refused_ms - core_now(c);
		if (f->retry_after_ms < FORWARD_RETRY_AFTER_MIN_MS)
			f->retry_after_ms = FORWARD_RETRY_AFTER_MIN_MS;
		forward_fail(c, f, ERR_ROUTE_LIMITED);
		return;
	}
	f->awaits_permit = o.pending > 0;
	f->next_choice_ms = core_now(c);
	if (o.pending)
		site_mod_ask_permits(c);
	else
		f->next_choice_ms += FORWARD_CHOOSE_INTERVAL_MS;
}

/* Requests for which permits are still to be asked for. */
static int without_permit(struct core *c, const struct forward *f)
{
	struct site_limit_outlook o;

	if (!f->awaits_permit)
		return 1;
	site_servers_limit_outlook(site_mod_servers(c), core_now(c), f->service,
				   &o);
	return o.pending ? 0 : 1;
}

/* Whether a request may not be sent now; it was refused, or waits. */
static bool is_held_back(struct core *c, struct forward *f)
{
	int64_t wait_ms;
	enum suspect_verdict v;

	if (f->trial)
		return false;
	v = suspect_mod_verdict(c, f->identity, f->self, &wait_ms);
	if (v == SUSPECT_SEND)
		return false;
	if (!site_servers_count_usable(site_mod_servers(c), f->service)) {
		forward_fail(c, f, ERR_ROUTE_NO_SERVER);
	} else if (v == SUSPECT_TRY) {
		f->trial = suspect_mod_try(c, f->identity, f->self);
		f->next_choice_ms = core_now(c) + FORWARD_TRIAL_POLL_MS;
		if (!f->trial)
			return true;
		f->max_servers = f->n_tried + 1;
		f->may_hedge = false;
		return false;
	} else if (v == SUSPECT_REFUSE) {
		forward_fail(c, f, ERR_SUSPECT_BARRED);
	} else {
		f->retry_after_ms = wait_ms > FORWARD_RETRY_AFTER_MS
					    ? wait_ms
					    : FORWARD_RETRY_AFTER_MS;
		forward_fail(c, f, ERR_SUSPECT_HELD);
	}
	return true;
}

void forward_send(struct core *c, struct forward *f)
{
	const struct site_conf *conf = site_mod_conf(c);
	const struct site_service *svc = site_conf_service(conf, f->service);
	struct site_request ask = {
		.service = f->service,
		.domain = core_domain(c),
		.not = f->tried,
		.n_exclude = f->n_tried,
		.cold_rate = svc ? svc->cold_rate : 0,
		.live = f->may_hedge,
		.waiting = without_permit(c, f),
	};
	struct site_server *s;
	enum err e;

	if (is_held_back(c, f))
		return;
	/* Outdated: wait until it is confirmed or the store is found unreachable. */
	if (!site_mod_may_start_work(c)) {
		f->next_choice_ms = core_now(c) + FORWARD_CHOOSE_INTERVAL_MS;
		return;
	}
	s = site_servers_choose(site_mod_servers(c), core_now(c), &ask);
	if (!s && f->n_tried) {
		/* Perhaps only tried servers are left: allow them again. */
		ask.n_exclude = 0;
		s = site_servers_choose(site_mod_servers(c), core_now(c), &ask);
	}
	if (!s && !site_servers_count_usable(site_mod_servers(c), f->service)) {
		forward_fail(c, f, ERR_ROUTE_NO_SERVER);
		return;
	}
	if (!s) {
		wait_for_server(c, f);
		return;
	}
	f->awaits_permit = false;
	e = forward_send_to(c, f, s);
	if (e != ERR_OK)
		forward_fail(c, f, e);
}

static void on_abort(struct core *c, struct core_req *req, void *user)
{
	struct forward *f =
		htab_get(front_of(c)->forwards, (htab_handle)(uintptr_t)user);

	if (!f)
		return;
	if (forward_running(f))
		tally_mod_count_request(
			c, f->team, f->attempts[f->last_attempt].sent_wall_ms);
	forward_free(c, f);
}

static int max_servers(const struct site_route *r)
{
	int n = r->max_servers > 0 ? r->max_servers : 1;

	return n < FORWARD_MAX_ATTEMPTS ? n : FORWARD_MAX_ATTEMPTS;
}

static void set_deadlines(struct forward *f, const struct core_req *req,
			  const struct site_route *route,
			  const struct front_fields *fields)
{
	int64_t budget = fields->budget_ms > 0 ? fields->budget_ms
					       : FORWARD_DEFAULT_BUDGET_MS;

	f->has_budget = fields->budget_ms > 0;
	f->caller_deadline_ms = req->arrived_ms + budget;
	f->deadline_ms = f->caller_deadline_ms;
	if (route->timeout_ms > 0 &&
	    req->arrived_ms + route->timeout_ms < f->deadline_ms)
		f->deadline_ms = req->arrived_ms + route->timeout_ms;
}

static bool node_takes(struct core *c, const struct forward *f)
{
	struct stopping s;

	s.end_ms = core_end_ms(c, &s.begun_ms);
	return stopping_takes(&s, core_now(c), f->deadline_ms - core_now(c),
			      f->kind != SITE_IDEMPOTENT);
}

static struct suspect_id identity_of(const struct core_req *req,
				     const char *host, const char *team)
{
	const struct suspect_parts parts = {
		.method = req->method,
		.host = host,
		.path = req->path,
		.query = req->query,
		.team = team,
		.body = req->body,
		.body_len = req->body_len,
	};

	return suspect_identify(&parts);
}

void forward_begin(struct core *c, struct core_req *req,
		   const struct site_route *route,
		   const struct front_fields *fields, const char *team)
{
	struct front *fr = front_of(c);
	htab_handle h;
	struct forward *f = htab_add(fr->forwards, &h);

	if (f)
		f->team = strdup(team);
	if (!f || !f->team) {
		if (f)
			htab_del(fr->forwards, h);
		core_reply_err(c, req->h, ERR_FULL, RUN_NO,
			       FORWARD_RETRY_AFTER_MS, NULL);
		return;
	}
	f->self = h;
	f->req = req->h;
	f->identity = identity_of(req, fields->host, team);
	f->kind = route->kind;
	f->arrived_ms = req->arrived_ms;
	f->max_servers = max_servers(route);
	set_deadlines(f, req, route, fields);
	snprintf(f->id, sizeof(f->id), "%s", fields->id ? fields->id : "");
	snprintf(f->route, sizeof(f->route), "%s", route->name);
	snprintf(f->service, sizeof(f->service), "%s",
		 site_route_service(route, rng_next(&fr->rng)));
	forward_hedge_init(c, f, route);
	req->on_abort = on_abort;
	req->user = (void *)(uintptr_t)h;
	metric_add(M_WORK_SUBMITTED, 1);
	if (node_takes(c, f))
		forward_send(c, f);
	else
		forward_fail(c, f, ERR_HTTP_DRAINING);
}

void forward_step_all(struct core *c)
{
	struct forward *f;
	struct stopping stopping;
	size_t iter = 0;
	int64_t now = core_now(c);

	stopping.end_ms = core_end_ms(c, &stopping.begun_ms);
	while ((f = htab_next(front_of(c)->forwards, &iter, NULL))) {
		struct core_req *req = core_req_get(c, f->req);

		if (!req)
			continue;
		if (stopping_answers_all(&stopping, now)) {
			f->maybe_ran |= forward_running(f) > 0;
			forward_fail(c, f, ERR_HTTP_DRAINING);
			continue;
		}
		if (forward_running(f)) {
			forward_hedge_step(c, f);
			continue;
		}
		if (now >= f->deadline_ms ||
		    now - req->arrived_ms >= FORWARD_QUEUE_MAX_MS)
			forward_fail(c, f, ERR_ROUTE_NO_SERVER);
		else if (now >= f->next_choice_ms)
			forward_send(c, f);
	}
}
