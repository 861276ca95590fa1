// Passes a request on to a backend server and its answer back, unchanged.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/histogram.h"
#include "base/log.h"
#include "base/metric.h"
#include "daemon/tally_mod.h"
#include "front/front.h"

enum {
	FORWARD_CONNECT_MS = 400, ///< to connect; some round trips and a retry
	/// An attempt that may be repeated elsewhere gets at least this long.
	FORWARD_TRY_MIN_MS = 400,
	FORWARD_WAIT_MS = 60, ///< between two looks for a free server
	/// Longest that a request waits for a cold server's rate: past that its
	/// caller is better served by another node.
	FORWARD_QUEUE_MS = 300,
	FORWARD_RETRY_AFTER_MS = 400,
	FORWARD_DEFAULT_MS = 30000, ///< for a caller that states no time
};

static struct forward *forward_of(const struct core *c, void *ctx)
{
	return htab_get(front_of(c)->forwards, (htab_handle)(uintptr_t)ctx);
}

static void forward_free(struct core *c, struct forward *f)
{
	htab_del(front_of(c)->forwards, f->self);
}

/* Final answer of this node's own. */
static void forward_fail(struct core *c, struct forward *f, enum err e)
{
	enum run_state run = f->maybe_ran ? RUN_MAYBE : RUN_NO;
	bool again;

	/* Only "not run" may be said with a status that promises it. */
	if (f->maybe_ran && err_http(e) == 503)
		e = ERR_WORK_BROKEN;
	else if (!f->maybe_ran && err_http(e) != 503)
		e = ERR_ROUTE_NO_SERVER;
	again = !f->maybe_ran;
	log_event(EV_FRONT_REFUSED,
		  "request=%s route=%s service=%s team=%s error=%s run=%s "
		  "servers=%d server=%s servers_age_ms=%lld left_ms=%lld",
		  f->id, f->route, f->service, f->team, err_code(e),
		  run_state_name(run), f->n_tried, f->server_id,
		  (long long)f->servers_age_ms,
		  (long long)(f->until_ms - core_now(c)));
	core_reply_err(c, f->req, e, run, again ? FORWARD_RETRY_AFTER_MS : 0,
		       NULL);
	forward_free(c, f);
}

/* The attempt ended: free its place at the server. */
static void leave_server(struct core *c, struct forward *f, bool ok)
{
	struct site_server *s =
		site_servers_get(site_mod_servers(c), f->server);

	if (s)
		site_server_end(s, core_now(c), ok);
	f->fetch = 0;
}

static void pass_back(struct core *c, struct forward *f,
		      const struct core_fetch_result *res)
{
	const struct front_wire_ops *wire = front_of(c)->wire->front;

	for (size_t i = 0; i < res->head->n; i++) {
		if (wire->passes_back(res->head->names[i]))
			core_reply_header(c, f->req, res->head->names[i],
					  res->head->values[i]);
	}
	metric_add(M_WORK_ANSWERED, 1);
	histogram_add(H_FORWARD, core_now(c) - f->arrived_ms);
	log_event(EV_FRONT_ANSWERED,
		  "request=%s route=%s team=%s http=%d bytes=%zu servers=%d "
		  "server=%s servers_age_ms=%lld last_ms=%lld left_ms=%lld",
		  f->id, f->route, f->team, res->status, res->body_len,
		  f->n_tried, f->server_id, (long long)f->servers_age_ms,
		  (long long)(core_now(c) - f->sent_ms),
		  (long long)(f->until_ms - core_now(c)));
	core_reply(c, f->req, res->status, NULL, res->body, res->body_len);
	forward_free(c, f);
}

static void forward_send(struct core *c, struct forward *f);

/* What one attempt showed. */
struct attempt_end {
	bool answer; ///< the server's answer goes to the caller
	bool server_ok; ///< the server can be used further
	bool ran; ///< the request may have run
	bool counted; ///< the server surely began it
};

static struct attempt_end judge(struct core *c, const struct forward *f,
				const struct core_fetch_result *res)
{
	struct front_verdict v;
	struct attempt_end end = {0};
	bool stray;

	front_of(c)->wire->front->verdict(res->status, res->head, &v);
	stray = v.id ? strcmp(v.id, f->id) != 0 : res->reused;
	if (res->status && !stray && (v.not_run || v.other_server)) {
		end.server_ok = !v.other_server;
		return end;
	}
	end.ran = res->sent;
	/* Broken, perhaps to another request, or without the server's seal. */
	if (res->err != ERR_OK || stray ||
	    (res->status < 300 && (!v.seal || !v.id)))
		return end;
	end.answer = true;
	end.server_ok = res->status < 500;
	end.counted = true;
	return end;
}

static bool may_try_again(struct core *c, const struct forward *f)
{
	return f->n_tried < f->max_servers &&
	       (!f->maybe_ran || f->kind == SITE_IDEMPOTENT) &&
	       core_now(c) < f->until_ms;
}

static void on_done(struct core *c, void *ctx,
		    const struct core_fetch_result *res)
{
	struct forward *f = forward_of(c, ctx);
	struct attempt_end end;

	if (!f)
		return;
	end = judge(c, f, res);
	leave_server(c, f, end.server_ok);
	f->maybe_ran |= end.ran;
	if (end.counted)
		tally_mod_add(c, f->team, f->sent_wall_ms);
	if (end.answer) {
		pass_back(c, f, res);
		return;
	}
	if (!may_try_again(c, f)) {
		forward_fail(c, f,
			     core_now(c) >= f->until_ms ? ERR_WORK_DEADLINE
							: ERR_WORK_BROKEN);
		return;
	}
	log_event(EV_FRONT_RETRY,
		  "request=%s route=%s server=%s servers_age_ms=%lld error=%s "
		  "http=%d sent=%d ms=%lld",
		  f->id, f->route, f->server_id, (long long)f->servers_age_ms,
		  err_code(res->err), res->status, res->sent,
		  (long long)(core_now(c) - f->sent_ms));
	metric_add(M_WORK_RETRIES, 1);
	forward_send(c, f);
}

/* Time for the attempt that was just counted: what may be repeated leaves some
 * for the next one. */
static int64_t try_ms(struct core *c, const struct forward *f)
{
	int64_t left = f->until_ms - core_now(c);
	int64_t half =
		left / 2 > FORWARD_TRY_MIN_MS ? left / 2 : FORWARD_TRY_MIN_MS;
	bool repeat = f->kind == SITE_IDEMPOTENT && f->n_tried < f->max_servers;

	return repeat && half < left ? half : left;
}

static enum err send_to(struct core *c, struct forward *f, struct core_req *req,
			const struct site_server *s)
{
	struct front_forward ff = {
		.server = s->entry.id,
		.team = f->team,
		.budget_ms =
			f->has_budget ? f->caller_until_ms - core_now(c) : 0,
	};
	struct core_fetch_opts opts = {
		.method = req->method,
		.body = req->body,
		.body_len = req->body_len,
		.timeout_ms = try_ms(c, f),
		.connect_timeout_ms = FORWARD_CONNECT_MS,
		.fresh = f->n_tried > 1,
		.send_until_ms = site_mod_send_until(c),
		.want_head = true,
		.tag = s->self,
		.on_done = on_done,
		.ctx = (void *)(uintptr_t)f->self,
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
	return opts.headers ? core_fetch(c, &opts, &f->fetch) : ERR_NOMEM;
}

static void forward_send(struct core *c, struct forward *f)
{
	struct core_req *req = core_req_get(c, f->req);
	const struct site_conf *conf = site_mod_conf(c);
	const struct site_service *svc = site_conf_service(conf, f->service);
	struct site_ask ask = {
		.service = f->service,
		.domain = core_domain(c),
		.not = f->tried,
		.n_not = f->n_tried,
		.cold_rate = svc ? svc->cold_rate : 0,
	};
	struct site_server *s;
	enum err e;

	/* What is known is being confirmed, or found to be all there is. */
	if (!site_mod_current(c)) {
		f->next_ms = core_now(c) + FORWARD_WAIT_MS;
		return;
	}
	s = site_servers_choose(site_mod_servers(c), core_now(c), &ask);
	if (!s && f->n_tried) {
		/* All were tried: the first may be free again. */
		ask.n_not = 0;
		s = site_servers_choose(site_mod_servers(c), core_now(c), &ask);
	}
	if (!s && !site_servers_usable(site_mod_servers(c), f->service)) {
		forward_fail(c, f, ERR_ROUTE_NO_SERVER);
		return;
	}
	if (!s) {
		f->next_ms = core_now(c) + FORWARD_WAIT_MS;
		return;
	}
	f->server = s->self;
	snprintf(f->server_id, sizeof(f->server_id), "%s", s->entry.id);
	f->servers_age_ms = site_mod_servers_age(c);
	histogram_add(H_SERVERS_AGE, f->servers_age_ms);
	f->tried[f->n_tried++] = s->self;
	f->sent_ms = core_now(c);
	f->sent_wall_ms = clock_wall_ms();
	e = send_to(c, f, req, s);
	if (e != ERR_OK) {
		forward_fail(c, f, e);
		return;
	}
	site_server_begin(s, core_now(c));
}

static void on_abort(struct core *c, struct core_req *req, void *user)
{
	struct forward *f = forward_of(c, user);

	if (!f)
		return;
	if (f->fetch) {
		core_fetch_cancel(c, f->fetch);
		leave_server(c, f, true);
		tally_mod_add(c, f->team, f->sent_wall_ms);
	}
	forward_free(c, f);
}

static int max_servers(const struct site_route *r)
{
	int n = r->max_servers > 0 ? r->max_servers : 1;

	return n < FORWARD_TRIES ? n : FORWARD_TRIES;
}

static void set_times(struct forward *f, const struct core_req *req,
		      const struct site_route *route,
		      const struct front_fields *fields)
{
	int64_t budget =
		fields->budget_ms > 0 ? fields->budget_ms : FORWARD_DEFAULT_MS;

	f->has_budget = fields->budget_ms > 0;
	f->caller_until_ms = req->arrived_ms + budget;
	f->until_ms = f->caller_until_ms;
	if (route->timeout_ms > 0 &&
	    req->arrived_ms + route->timeout_ms < f->until_ms)
		f->until_ms = req->arrived_ms + route->timeout_ms;
}

void forward_begin(struct core *c, struct core_req *req,
		   const struct site_route *route,
		   const struct front_fields *fields, const char *team)
{
	struct front *fr = front_of(c);
	htab_handle h;
	struct forward *f = htab_add(fr->forwards, &h);

	if (!f) {
		core_reply_err(c, req->h, ERR_FULL, RUN_NO,
			       FORWARD_RETRY_AFTER_MS, NULL);
		return;
	}
	f->self = h;
	f->req = req->h;
	f->kind = route->kind;
	f->arrived_ms = req->arrived_ms;
	f->max_servers = max_servers(route);
	set_times(f, req, route, fields);
	snprintf(f->id, sizeof(f->id), "%s", fields->id ? fields->id : "");
	snprintf(f->team, sizeof(f->team), "%s", team);
	snprintf(f->route, sizeof(f->route), "%s", route->name);
	snprintf(f->service, sizeof(f->service), "%s",
		 site_route_service(route, rng_next(&fr->rng)));
	req->on_abort = on_abort;
	req->user = (void *)(uintptr_t)h;
	metric_add(M_WORK_SUBMITTED, 1);
	forward_send(c, f);
}

void forwards_step(struct core *c)
{
	struct forward *f;
	size_t iter = 0;
	int64_t now = core_now(c);

	while ((f = htab_next(front_of(c)->forwards, &iter, NULL))) {
		struct core_req *req = core_req_get(c, f->req);

		if (f->fetch || !req)
			continue;
		if (now >= f->until_ms ||
		    now - req->arrived_ms >= FORWARD_QUEUE_MS)
			forward_fail(c, f, ERR_ROUTE_NO_SERVER);
		else if (now >= f->next_ms)
			forward_send(c, f);
	}
}
