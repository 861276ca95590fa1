// Ends of attempts at backend servers: answers the caller, retries or fails.
#include <stdlib.h>
#include <string.h>

#include "base/histogram.h"
#include "base/log.h"
#include "base/metric.h"
#include "daemon/suspect_mod.h"
#include "daemon/tally_mod.h"
#include "front/front.h"

enum {
	FORWARD_RETRY_AFTER_MS = 400,
	HTTP_SERVER_ERROR_MIN = 500, ///< lowest status of a server error
};

int forward_running(const struct forward *f)
{
	int n = 0;

	for (int i = 0; i < FORWARD_MAX_IN_FLIGHT; i++)
		n += f->attempts[i].fetch != 0;
	return n;
}

void *forward_ctx(const struct forward *f, int attempt_index)
{
	return (void *)(uintptr_t)((uint64_t)f->self * FORWARD_MAX_IN_FLIGHT +
				   (uint64_t)attempt_index);
}

/* Request and attempt index of a forward_ctx().
 *
 * @return NULL if the request was freed */
static struct forward *forward_from_ctx(const struct core *c, void *ctx,
					int *attempt_index)
{
	uint64_t v = (uint64_t)(uintptr_t)ctx;

	*attempt_index = (int)(v % FORWARD_MAX_IN_FLIGHT);
	return htab_get(front_of(c)->forwards,
			(htab_handle)(v / FORWARD_MAX_IN_FLIGHT));
}

void forward_free(struct core *c, struct forward *f)
{
	for (int i = 0; i < FORWARD_MAX_IN_FLIGHT; i++) {
		struct forward_attempt *t = &f->attempts[i];
		struct site_server *s =
			site_servers_get(site_mod_servers(c), t->server);

		if (!t->fetch)
			continue;
		core_fetch_cancel(c, t->fetch);
		t->fetch = 0;
		forward_hedge_outcome(c, f, t, SITE_CALL_UNKNOWN);
		if (s)
			site_server_release(s);
	}
	free(f->team);
	htab_del(front_of(c)->forwards, f->self);
}

/* Free the ended attempt's slot at the server. */
static void release_slot(struct core *c, struct forward_attempt *t, bool ok)
{
	struct site_server *s =
		site_servers_get(site_mod_servers(c), t->server);

	if (s)
		site_server_end(s, core_now(c), ok);
	t->fetch = 0;
}

/* A hedged attempt was answered first: the other servers in use are too slow. */
static void report_slow_servers(struct core *c, struct forward *f,
				const struct forward_attempt *second)
{
	for (int i = 0; i < FORWARD_MAX_IN_FLIGHT; i++) {
		struct forward_attempt *t = &f->attempts[i];

		if (t->fetch && t != second)
			forward_hedge_outcome(c, f, t, SITE_CALL_NO_ANSWER);
	}
	metric_add(M_WORK_HEDGES_WON, 1);
}

static void relay_answer(struct core *c, struct forward *f,
			 const struct forward_attempt *t,
			 const struct core_fetch_result *res)
{
	const struct front_wire_ops *wire = front_of(c)->wire->front;

	for (size_t i = 0; i < res->head->n; i++) {
		if (wire->passes_to_caller(res->head->names[i]))
			core_reply_header(c, f->req, res->head->names[i],
					  res->head->values[i]);
	}
	if (res->framing == UPSTREAM_BY_CLOSE)
		core_reply_end_by_close(c, f->req);
	metric_add(M_WORK_ANSWERED, 1);
	if (t->hedge)
		report_slow_servers(c, f, t);
	histogram_add(H_FORWARD, core_now(c) - f->arrived_ms);
	log_event(EV_FRONT_ANSWERED,
		  "request=%s route=%s team=%s http=%d bytes=%zu servers=%d "
		  "server=%s servers_age_ms=%lld last_ms=%lld left_ms=%lld "
		  "hedge=%d reused=%d framing=%s surplus=%zu",
		  f->id, f->route, f->team, res->status, res->body_len,
		  f->n_tried, t->server_id, (long long)t->servers_age_ms,
		  (long long)(core_now(c) - t->sent_ms),
		  (long long)(f->deadline_ms - core_now(c)), t->hedge,
		  res->reused, upstream_framing_name(res->framing),
		  res->surplus);
	core_reply(c, f->req, res->status, NULL, res->body, res->body_len);
	forward_free(c, f);
}

void forward_fail(struct core *c, struct forward *f, enum err e)
{
	const struct forward_attempt *t = &f->attempts[f->last_attempt];
	enum run_state run = f->maybe_ran ? RUN_MAYBE : RUN_NO;
	int64_t retry_after_ms = f->retry_after_ms > 0 ? f->retry_after_ms
						       : FORWARD_RETRY_AFTER_MS;
	bool retryable;

	if (f->kept) {
		relay_answer(c, f, &f->kept_attempt, f->kept);
		return;
	}
	if (f->trial && !f->maybe_ran)
		suspect_mod_trial_unused(c, f->identity);
	/* Status 503 promises that the request was not run: it is used exactly then, but
	 * for a request that shall not come again. */
	if (e == ERR_SUSPECT_BARRED)
		run = f->maybe_ran ? RUN_MAYBE : RUN_NO;
	else if (f->maybe_ran && err_http(e) == 503)
		e = ERR_WORK_BROKEN;
	else if (!f->maybe_ran && err_http(e) != 503)
		e = ERR_ROUTE_NO_SERVER;
	retryable = !f->maybe_ran && e != ERR_SUSPECT_BARRED;
	log_event(EV_FRONT_REFUSED,
		  "request=%s route=%s service=%s team=%s error=%s run=%s "
		  "servers=%d server=%s servers_age_ms=%lld left_ms=%lld "
		  "retry_after_ms=%lld identity=%016llx",
		  f->id, f->route, f->service, f->team, err_code(e),
		  run_state_name(run), f->n_tried, t->server_id,
		  (long long)t->servers_age_ms,
		  (long long)(f->deadline_ms - core_now(c)),
		  (long long)(retryable ? retry_after_ms : 0),
		  (unsigned long long)f->identity.high);
	core_reply_err(c, f->req, e, run, retryable ? retry_after_ms : 0, NULL);
	forward_free(c, f);
}

static const char *copy_text(struct arena *a, const char *text)
{
	return text ? arena_strdup(a, text) : NULL;
}

static struct upstream_head *copy_head(struct arena *a,
				       const struct upstream_head *head)
{
	struct upstream_head *copy = arena_alloc(a, sizeof(*copy));

	if (!copy)
		return NULL;
	copy->n = head->n;
	for (size_t i = 0; i < head->n; i++) {
		copy->names[i] = arena_strdup(a, head->names[i]);
		copy->values[i] = arena_strdup(a, head->values[i]);
		if (!copy->names[i] || !copy->values[i])
			return NULL;
	}
	return copy;
}

/* Keep an answer that is passed to the caller if none comes that states its end.
 *
 * @return false when out of memory */
static bool keep_answer(struct core *c, struct forward *f,
			const struct forward_attempt *t,
			const struct core_fetch_result *res)
{
	struct core_req *req = core_req_get(c, f->req);
	struct core_fetch_result *kept =
		req ? arena_alloc(&req->arena, sizeof(*kept)) : NULL;

	if (!kept)
		return false;
	*kept = *res;
	kept->ctype = copy_text(&req->arena, res->ctype);
	kept->head = copy_head(&req->arena, res->head);
	if (res->body_len)
		kept->body =
			arena_strndup(&req->arena, res->body, res->body_len);
	if (!kept->ctype || !kept->head || (res->body_len && !kept->body))
		return false;
	f->kept = kept;
	f->kept_attempt = *t;
	return true;
}

/* Classification of an ended attempt. */
struct end_class {
	bool has_answer; ///< the server's answer may be passed to the caller
	bool server_ok; ///< the server remains usable
	bool may_have_run;
	bool begun; ///< the server certainly began it: counts as the team's usage
	enum site_outcome outcome; ///< for the server's health
};

static struct end_class classify_end(struct core *c, const struct forward *f,
				     const struct core_fetch_result *res)
{
	struct front_response v;
	struct end_class end = {.outcome = SITE_CALL_UNKNOWN};
	bool other_request;

	front_of(c)->wire->front->verdict(res->status, res->head, &v);
	other_request = v.id ? strcmp(v.id, f->id) != 0 : res->reused;
	if (res->status && !other_request && (v.not_run || v.other_server)) {
		end.server_ok = !v.other_server;
		return end;
	}
	end.may_have_run = res->sent;
	end.outcome = res->status ? SITE_CALL_BAD : SITE_CALL_NO_ANSWER;
	/* Incomplete, perhaps the answer to another request, or without the server's seal. */
	if (!core_fetch_answered(res) || other_request ||
	    (res->status < 300 && (!v.seal || !v.id)))
		return end;
	end.has_answer = true;
	end.server_ok = res->status < HTTP_SERVER_ERROR_MIN;
	end.begun = true;
	if (end.server_ok)
		end.outcome = SITE_CALL_GOOD;
	return end;
}

/* What the end of an attempt says of the request and of its server. */
static void record_evidence(struct core *c, const struct forward *f,
			    const struct forward_attempt *t,
			    const struct end_class *end,
			    const struct core_fetch_result *res)
{
	if (end->has_answer)
		suspect_mod_answered(c, f->identity, t->server_id,
				     t->started_ms, t->sent_ms);
	else if (res->err == ERR_UP_BROKEN && res->sent)
		suspect_mod_ended(c, f->identity, t->server_id, t->started_ms,
				  t->sent_ms);
}

static bool may_retry(struct core *c, const struct forward *f)
{
	return f->n_tried < f->max_servers &&
	       suspect_mod_may_retry(c, f->identity) &&
	       (!f->maybe_ran || f->kind == SITE_IDEMPOTENT) &&
	       core_now(c) < f->deadline_ms;
}

static enum err end_error(struct core *c, const struct forward *f)
{
	if (suspect_mod_refused(c, f->identity))
		return ERR_SUSPECT_BARRED;
	return core_now(c) >= f->deadline_ms ? ERR_WORK_DEADLINE
					     : ERR_WORK_BROKEN;
}

static void log_retry(struct core *c, const struct forward *f,
		      const struct forward_attempt *t,
		      const struct core_fetch_result *res)
{
	log_event(EV_FRONT_RETRY,
		  "request=%s route=%s server=%s servers_age_ms=%lld error=%s "
		  "http=%d sent=%d bytes=%llu reused=%d framing=%s surplus=%zu "
		  "ms=%lld identity=%016llx",
		  f->id, f->route, t->server_id, (long long)t->servers_age_ms,
		  err_code(res->err), res->status, res->sent,
		  (unsigned long long)res->received, res->reused,
		  upstream_framing_name(res->framing), res->surplus,
		  (long long)(core_now(c) - t->sent_ms),
		  (unsigned long long)f->identity.high);
}

/* Whether the answer is passed to the caller now. If its server failed and the
 * request may be hedged, another attempt may still succeed. */
static bool is_final(struct core *c, struct forward *f,
		     const struct end_class *end, bool unframed)
{
	/* Nothing says that it is whole: an answer of another server may be sure. */
	if (end->has_answer && unframed &&
	    (forward_running(f) || may_retry(c, f)))
		return false;
	if (!end->has_answer || !f->may_hedge || end->outcome == SITE_CALL_GOOD)
		return end->has_answer;
	return !forward_running(f) &&
	       !(may_retry(c, f) && forward_hedge_may_retry(c, f));
}

void forward_attempt_done(struct core *c, void *ctx,
			  const struct core_fetch_result *res)
{
	int i;
	struct forward *f = forward_from_ctx(c, ctx, &i);
	struct forward_attempt *t;
	struct end_class end;

	if (!f)
		return;
	t = &f->attempts[i];
	end = classify_end(c, f, res);
	forward_hedge_outcome(c, f, t, end.outcome);
	release_slot(c, t, end.server_ok);
	f->maybe_ran |= end.may_have_run;
	record_evidence(c, f, t, &end, res);
	if (end.begun)
		tally_mod_count_request(c, f->team, t->sent_wall_ms);
	if (end.outcome == SITE_CALL_GOOD)
		forward_hedge_answered(c, f, t);
	if (is_final(c, f, &end, res->err == ERR_UP_UNFRAMED)) {
		if (f->kept && !end.server_ok)
			relay_answer(c, f, &f->kept_attempt, f->kept);
		else
			relay_answer(c, f, t, res);
		return;
	}
	if (end.has_answer && end.server_ok && !f->kept &&
	    !keep_answer(c, f, t, res)) {
		relay_answer(c, f, t, res);
		return;
	}
	if (forward_running(f)) {
		log_retry(c, f, t, res);
		return;
	}
	/* For an answer that isn't final, is_final() has taken from the hedge budget. */
	if (!may_retry(c, f) || (!end.has_answer && end.may_have_run &&
				 !forward_hedge_may_retry(c, f))) {
		forward_fail(c, f, end_error(c, f));
		return;
	}
	log_retry(c, f, t, res);
	metric_add(M_WORK_RETRIES, 1);
	forward_send(c, f);
}
