// Sends reward calls to servers and classifies their answers.
#include "job/reward.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/histogram.h"
#include "base/log.h"
#include "base/metric.h"
#include "daemon/site_mod.h"
#include "job/attempt.h"

enum {
	REWARD_MISSES_MAX = 8, ///< calls without a server in one step
	REWARD_CONNECT_TIMEOUT_MS =
		400, ///< time for some round trips and a retry
	/// Unanswered calls after which an answer that ended with its connection is taken:
	/// the item's servers may state the end of none.
	REWARD_UNFRAMED_AFTER = 3,
	/// Defaults for a route that does not set them.
	REWARD_TARGET_DEFAULT_MS = 1000,
	REWARD_TIMEOUT_DEFAULT_MS = 5000,
};

static struct job_reward_call *call_of(struct core *c, void *ctx,
				       struct job **job, int *item)
{
	*job = job_of_ctx(c, ctx, item);
	if (!*job || !(*job)->rewards[*item].fetch)
		return NULL;
	return &(*job)->rewards[*item];
}

static const struct site_route *route_of(struct core *c,
					 const struct job_reward *rw)
{
	const struct site_conf *conf = site_mod_conf(c);

	return conf ? site_conf_route(conf, rw->host, rw->path) : NULL;
}

static void release_call(struct core *c, struct job_reward_call *call, bool ok)
{
	job_release_slot(c, call->server, ok);
	call->fetch = 0;
}

void job_reward_cancel(struct core *c, struct job *j)
{
	for (size_t i = 0; j->rewards && i < j->spec->n_items; i++) {
		if (!j->rewards[i].fetch)
			continue;
		core_fetch_cancel(c, j->rewards[i].fetch);
		release_call(c, &j->rewards[i], true);
		job_run_reward_ended(j->run, (int)i, core_now(c),
				     JOB_REWARD_UNANSWERED, 0, NULL);
	}
}

void job_reward_freeze(struct core *c, struct job *j)
{
	for (size_t i = 0; j->rewards && i < j->spec->n_items; i++) {
		if (!j->rewards[i].fetch)
			continue;
		core_fetch_cancel(c, j->rewards[i].fetch);
		release_call(c, &j->rewards[i], true);
	}
}

int job_reward_in_flight(struct core *c, const struct job *j,
			 const char *service)
{
	int n = 0;

	for (size_t i = 0; j->rewards && i < j->spec->n_items; i++)
		n += j->rewards[i].fetch &&
		     strcmp(j->rewards[i].service, service) == 0;
	return n;
}

static struct response_times *latencies_of(struct jobs *jobs,
					   const char *service)
{
	int i = 0;

	while (i < jobs->n_reward_latencies &&
	       strcmp(jobs->reward_latencies[i].service, service) != 0)
		i++;
	if (i == JOB_REWARD_SERVICES)
		i--;
	else if (i == jobs->n_reward_latencies)
		jobs->n_reward_latencies++;
	if (strcmp(jobs->reward_latencies[i].service, service) != 0) {
		memset(&jobs->reward_latencies[i], 0,
		       sizeof(jobs->reward_latencies[i]));
		snprintf(jobs->reward_latencies[i].service,
			 sizeof(jobs->reward_latencies[i].service), "%s",
			 service);
	}
	return &jobs->reward_latencies[i].times;
}

/* @param unanswered  calls before that got no usable answer */
static enum job_reward_outcome rating_of(struct core *c,
					 const struct job_reward *rw,
					 const struct core_fetch_result *res,
					 int unanswered,
					 struct front_response *v)
{
	jobs_of(c)->wire->front->verdict(res->status, res->head, v);
	/* Discard an answer to another call. */
	if (v->id && strcmp(v->id, rw->id) != 0)
		return JOB_REWARD_UNANSWERED;
	if (res->status ? v->not_run || v->other_server : !res->sent)
		return JOB_REWARD_NOT_RUN;
	if (!core_fetch_answered(res) || !v->id)
		return JOB_REWARD_UNANSWERED;
	/* Another server may state the end of its answer. */
	if (res->err == ERR_UP_UNFRAMED && unanswered < REWARD_UNFRAMED_AFTER)
		return JOB_REWARD_UNANSWERED;
	if (res->status == 500)
		return JOB_REWARD_FAILED;
	return res->status / 100 == 2 && v->seal ? JOB_REWARD_SCORED
						 : JOB_REWARD_UNANSWERED;
}

static int max_failures(struct core *c, const struct job *j,
			const struct job_reward *rw)
{
	const struct site_route *own = route_of(c, rw);
	const struct site_route *batch = job_route(c, j);
	int n = own ? own->max_servers : 0;

	if (batch && batch->max_servers > n)
		n = batch->max_servers;
	return n > 0 ? n : JOB_MAX_FAILURES;
}

static void log_end(struct core *c, const struct job *j, int item,
		    const struct core_fetch_result *res,
		    enum job_reward_outcome rating)
{
	static const char *const names[] = {
		[JOB_REWARD_SCORED] = "rated",
		[JOB_REWARD_FAILED] = "failed",
		[JOB_REWARD_UNANSWERED] = "broken",
		[JOB_REWARD_NOT_RUN] = "not-run",
	};
	const struct job_reward_call *call = &j->rewards[item];
	const struct site_server *s =
		site_servers_get(site_mod_servers(c), call->server);

	log_event(EV_JOB_REWARD,
		  "batch=%s item=%s reward=%s server=%s outcome=%s http=%d "
		  "error=%s servers_age_ms=%lld ms=%lld limit_ms=%lld "
		  "text_ms=%lld",
		  j->id, j->spec->items[item].id,
		  j->spec->items[item].reward.id, s ? s->entry.id : "gone",
		  names[rating], res->status, err_code(res->err),
		  (long long)call->servers_age_ms,
		  (long long)(core_now(c) - call->sent_ms),
		  (long long)call->call_timeout_ms,
		  (long long)(core_now(c) -
			      job_run_text(j->run, item)->whole_ms));
}

static void on_done(struct core *c, void *ctx,
		    const struct core_fetch_result *res)
{
	struct job *j;
	int item;
	struct job_reward_call *call = call_of(c, ctx, &j, &item);
	const struct job_reward *rw;
	struct front_response v;
	enum job_reward_outcome rating;
	int64_t ms;

	if (!call)
		return;
	rw = &j->spec->items[item].reward;
	rating = rating_of(c, rw, res, job_run_reward_unanswered(j->run, item),
			   &v);
	ms = core_now(c) - call->sent_ms;
	log_end(c, j, item, res, rating);
	histogram_add(H_REWARD_CALL, ms);
	if (rating == JOB_REWARD_SCORED || rating == JOB_REWARD_FAILED)
		response_times_add(latencies_of(jobs_of(c), call->service), ms);
	if (rating == JOB_REWARD_SCORED)
		histogram_add(H_REWARD,
			      core_now(c) -
				      job_run_text(j->run, item)->whole_ms);
	else
		metric_add(M_REWARD_FAILED, 1);
	/* A failed call does not count against the server: some calls always fail. */
	release_call(c, call,
		     rating == JOB_REWARD_SCORED ||
			     rating == JOB_REWARD_FAILED);
	job_run_reward_ended(j->run, item, core_now(c), rating,
			     max_failures(c, j, rw), v.seal);
	job_step(c, j);
}

static bool send_call(struct core *c, struct job *j, int item,
		      const struct site_route *route, struct site_server *s)
{
	const struct job_reward *rw = &j->spec->items[item].reward;
	struct job_reward_call *call = &j->rewards[item];
	int64_t target = route->target_ms > 0 ? route->target_ms
					      : REWARD_TARGET_DEFAULT_MS;
	int64_t max_ms = route->timeout_ms > 0 ? route->timeout_ms
					       : REWARD_TIMEOUT_DEFAULT_MS;
	const struct engine_reward er = {
		.reward = rw,
		.server = s->entry.id,
		.budget_ms = response_timeout_ms(
			latencies_of(jobs_of(c), s->entry.service),
			job_run_reward_unanswered(j->run, item), target,
			max_ms),
	};
	struct core_fetch_opts opts = {
		.method = "POST",
		.body = rw->body,
		.body_len = rw->body_len,
		.timeout_ms = er.budget_ms,
		.connect_timeout_ms = REWARD_CONNECT_TIMEOUT_MS,
		.send_until_ms = site_mod_send_until(c),
		.want_head = true,
		.id_field = jobs_of(c)->wire->front->id_field,
		.tag = s->self,
		.on_done = on_done,
		.ctx = job_item_ctx(j, item),
	};
	struct arena a;
	enum err e;

	arena_init(&a, 0);
	opts.url = job_url(&a, s, rw->path);
	opts.headers = jobs_of(c)->wire->engine->reward(&er, &a);
	call->server = s->self;
	call->sent_ms = core_now(c);
	call->call_timeout_ms = er.budget_ms;
	call->servers_age_ms = site_mod_servers_age_ms(c);
	job_reward_tried_add(call->tried, s->self);
	snprintf(call->service, sizeof(call->service), "%s", s->entry.service);
	histogram_add(H_SERVERS_AGE, call->servers_age_ms);
	e = opts.url && opts.headers ? core_fetch(c, &opts, &call->fetch)
				     : ERR_NOMEM;
	arena_free(&a);
	if (e != ERR_OK) {
		call->fetch = 0;
		return false;
	}
	site_server_begin(s, core_now(c));
	job_run_reward_sent(j->run, item);
	metric_add(M_REWARD_CALLS, 1);
	return true;
}

/* Chooses a server for a reward by the current configuration.
 *
 * @param call  its latest servers are avoided */
static struct site_server *choose_server(struct core *c,
					 const struct job_reward *rw,
					 const struct site_route *route,
					 const struct job_reward_call *call)
{
	const char *name =
		site_route_service(route, XXH64(rw->id, strlen(rw->id), 0));
	const struct site_service *svc =
		site_conf_service(site_mod_conf(c), name);
	const struct site_request needs = {
		.service = name,
		.domain = core_domain(c),
		.not = call->tried,
		.n_exclude = job_reward_avoid_count(
			site_servers_count_usable(site_mod_servers(c), name)),
		.only_free = true,
		.share = JOB_REWARD_SLOTS_PERCENT,
		.cold_rate = svc ? svc->cold_rate / JOB_COLD_SENDERS : 0,
		.waiting = 1,
	};

	return site_servers_choose(site_mod_servers(c), core_now(c), &needs);
}

void job_reward_step(struct core *c, struct job *j)
{
	int misses = 0;
	int item;

	if (!j->rewards || !job_may_send(c, j) || !site_mod_keys_fresh(c) ||
	    !site_mod_may_start_work(c))
		return;
	while ((item = job_run_next_reward(j->run, core_now(c))) >= 0) {
		const struct job_reward *rw = &j->spec->items[item].reward;
		const struct site_route *route = route_of(c, rw);
		struct site_server *s =
			route ? choose_server(c, rw, route, &j->rewards[item])
			      : NULL;

		if (s && send_call(c, j, item, route, s))
			continue;
		job_run_reward_postpone(j->run, item, core_now(c));
		if (++misses == REWARD_MISSES_MAX)
			return;
	}
}
