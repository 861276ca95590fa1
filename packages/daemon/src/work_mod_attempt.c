// Attempts: sends a request to a backend server or peer, handles the outcome.
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/metric.h"
#include "conf/conf.h"
#include "daemon/conf_mod.h"
#include "work_mod_int.h"

enum {
	HEADER_LEN = 256, ///< bytes of a header line
	WORK_URL_LEN = 1280, ///< bytes
	OVERLOADED_STATUS = 503,
	END_LINE_MAX_BYTES = 512, ///< segments differ by their type
};

static struct work *attempt_work(struct core *c, void *ctx)
{
	return htab_get(work_state(c)->requests, (htab_handle)(uintptr_t)ctx);
}

/* The engine's own count of generated tokens. */
static uint64_t attempt_end_tokens(const char *line, size_t len)
{
	json_t *end = json_loadb(line, len, 0, NULL);
	json_int_t n = json_integer_value(json_object_get(end, "n"));

	json_decref(end);
	return n > 0 ? (uint64_t)n : 0;
}

static void attempt_handle_line(struct core *c, struct work *w,
				const char *line, size_t len)
{
	if (len == 0)
		return;
	if (len < END_LINE_MAX_BYTES && memmem(line, len, "\"end\"", 5) &&
	    !memmem(line, len, "\"segment\"", 9)) {
		w->end_line_seen = true;
		w->engine_tokens = attempt_end_tokens(line, len);
	}
	w->delivered = true;
	w->opts.on_line(c, w->opts.ctx, line, len);
}

/* Split a stream into lines; an incomplete one stays in w->partial. */
static void attempt_on_data(struct core *c, void *ctx, const char *data,
			    size_t len)
{
	struct work *w = attempt_work(c, ctx);

	while (w && len > 0) {
		const char *nl = memchr(data, '\n', len);
		size_t n = nl ? (size_t)(nl - data) : len;
		struct work_buf line;

		if (work_buf_add(&w->partial, data, n, WORK_LINE_MAX_BYTES) !=
		    ERR_OK) {
			work_give_up(c, w, ERR_TOO_LARGE);
			return;
		}
		if (!nl)
			return;
		data += n + 1;
		len -= n + 1;
		line = w->partial;
		w->partial = (struct work_buf){0};
		attempt_handle_line(c, w, line.data, line.len);
		work_buf_free(&line);
		w = attempt_work(c, ctx);
	}
}

static void attempt_on_done(struct core *c, void *ctx,
			    const struct core_fetch_result *fr)
{
	struct work *w = attempt_work(c, ctx);
	bool broken;
	struct attempt_outcome out;
	struct work_result res;

	if (!w)
		return;
	broken = fr->err == ERR_OK && w->opts.on_line && fr->status == 200 &&
		 !w->end_line_seen;
	out = (struct attempt_outcome){
		.err = broken ? ERR_WORK_BROKEN : fr->err,
		.sent = fr->sent,
		.delivered = w->delivered,
		.status = fr->status,
	};
	res = (struct work_result){
		.status = fr->status,
		.ctype = fr->ctype ? fr->ctype : "",
		.body = fr->body,
		.body_len = fr->body_len,
	};
	work_attempt_end(c, w, &out, &res);
}

static int64_t attempt_idle_timeout_ms(const struct work *w)
{
	return w->opts.kind == VM_ENGINE ? WORK_STREAM_IDLE_MS : 0;
}

static void attempt_begin_span(struct core *c, struct work *w)
{
	attempt_begin(&w->attempts);
	span_begin(&w->span, &w->trace, "attempt");
	w->end_line_seen = false;
	w->attempt_start_ms = core_now(c);
	if (w->attempts.tries > 1)
		metric_add(M_WORK_RETRIES, 1);
}

static enum err attempt_start_fetch(struct core *c, struct work *w,
				    const char *addr)
{
	char url[WORK_URL_LEN];
	char ctype[HEADER_LEN];
	char request[HEADER_LEN];
	const char *headers[] = {request, *w->opts.ctype ? ctype : NULL, NULL};
	struct core_fetch_opts f = {
		.method = w->opts.method,
		.url = url,
		.headers = headers,
		.body = w->opts.body,
		.body_len = w->opts.body_len,
		.timeout_ms = w->opts.deadline_ms - core_now(c),
		.idle_timeout_ms = attempt_idle_timeout_ms(w),
		.fresh = w->attempts.tries > 1,
		.trace = &w->span.ctx,
		.on_data = w->opts.on_line ? attempt_on_data : NULL,
		.on_done = attempt_on_done,
		.ctx = (void *)(uintptr_t)w->h,
	};

	snprintf(url, sizeof(url), "http://%s%s", addr, w->opts.path);
	snprintf(ctype, sizeof(ctype), "Content-Type: %s", w->opts.ctype);
	snprintf(request, sizeof(request), "Catkin-Request: %s-%llu",
		 core_incarnation(c), (unsigned long long)w->id);
	return core_fetch(c, &f, &w->fetch);
}

enum err work_attempt_send(struct core *c, struct work *w,
			   struct work_server *srv)
{
	enum err e;

	if (core_now(c) >= w->opts.deadline_ms)
		return ERR_WORK_DEADLINE;
	attempt_begin_span(c, w);
	snprintf(w->target, sizeof(w->target), "%s", srv->id);
	e = attempt_start_fetch(c, w, srv->addr);
	if (e != ERR_OK) {
		span_end(&w->span, err_code(e), NULL);
		return e;
	}
	w->target_kind = WORK_TARGET_SERVER;
	w->server = srv;
	return ERR_OK;
}

enum err work_attempt_forward(struct core *c, struct work *w)
{
	const char *peer = w->forwarded ? NULL : work_pick_peer(c, w);
	enum err e;

	if (!peer)
		return ERR_ROUTE_NO_SERVER;
	if (core_now(c) >= w->opts.deadline_ms)
		return ERR_WORK_DEADLINE;
	attempt_begin_span(c, w);
	e = work_peer_open(c, w, peer);
	if (e != ERR_OK) {
		span_end(&w->span, err_code(e), NULL);
		return e;
	}
	w->target_kind = WORK_TARGET_PEER;
	return ERR_OK;
}

static int64_t attempt_retry_ratio(struct core *c, const struct work *w)
{
	const struct conf *conf = conf_mod_current(c);
	struct conf_scope scope = {
		.team = w->opts.team,
		.domain = core_domain(c),
	};

	return conf ? conf_get_int(conf, CF_RETRY_RATIO, &scope) : 0;
}

static void attempt_span_end(struct work *w, enum err e)
{
	char detail[2 * WORK_NAME_LEN];

	snprintf(detail, sizeof(detail), "target=%s try=%d", w->target,
		 w->attempts.tries);
	span_end(&w->span, err_code(e), detail);
}

/* Duration as a measure of load; 0 for streams, where it depends on length. */
static uint32_t attempt_duration_ms(struct core *c, const struct work *w)
{
	if (w->opts.kind == VM_ENGINE)
		return 0;
	return (uint32_t)(core_now(c) - w->attempt_start_ms);
}

static void attempt_release_spill(struct core *c, struct work *w)
{
	if (w->spilled)
		work_state(c)->n_spilled--;
	w->spilled = false;
}

/* Release the slot and report the outcome. */
static void attempt_release_slot(struct core *c, struct work *w,
				 enum slot_outcome o)
{
	struct work_server *srv = w->server;

	if (!srv)
		return;
	w->server = NULL;
	slot_holder_release(&srv->holder, o, attempt_duration_ms(c, w));
	work_server_update_route(c, srv);
	if (o != SLOT_OK)
		return;
	if (w->end_line_seen)
		work_pool_adjust_cost(c, w, w->engine_tokens);
	admit_progress(srv->pool->queue, core_now(c),
		       w->end_line_seen ? w->engine_tokens : w->opts.cost);
}

static enum slot_outcome attempt_slot_outcome(const struct attempt_outcome *out)
{
	bool bad = out->err != ERR_OK || out->status == OVERLOADED_STATUS;

	return bad ? SLOT_ERROR : SLOT_OK;
}

void work_attempt_end(struct core *c, struct work *w,
		      const struct attempt_outcome *out,
		      struct work_result *res)
{
	struct attempt_budget *b = &work_state(c)->retry_budget;
	struct attempt_step step;
	struct work_pool *pool = w->pool;
	int64_t retry_after_ms = 0;
	enum err e;

	attempt_span_end(w, out->err);
	if (w->server)
		work_server_connect_result(c, w->server,
					   out->err != ERR_UP_CONNECT);
	attempt_release_slot(c, w, attempt_slot_outcome(out));
	attempt_release_spill(c, w);
	w->target_kind = WORK_TARGET_NONE;
	work_buf_free(&w->partial);
	if (out->err == ERR_OK)
		attempt_budget_success(b, attempt_retry_ratio(c, w));
	step = attempt_end(&w->attempts, b, core_now(c), out);
	if (step.again) {
		memcpy(w->avoid, w->target, sizeof(w->avoid));
		e = work_place(c, w, &retry_after_ms);
		if (e == ERR_OK)
			return;
		step = attempt_give_up(&w->attempts, false, e);
	}
	res->err = step.err;
	res->run = step.run;
	res->retry_after_ms = step.retry_after_ms;
	work_finish(c, w, res);
	if (pool)
		work_pool_dispatch(c, pool);
}

void work_attempt_cancel(struct core *c, struct work *w)
{
	if (w->target_kind == WORK_TARGET_SERVER)
		core_fetch_cancel(c, w->fetch);
	if (w->target_kind == WORK_TARGET_PEER)
		work_peer_cancel(c, w);
	if (w->target_kind != WORK_TARGET_NONE)
		attempt_span_end(w, ERR_CLOSED);
	attempt_release_slot(c, w, SLOT_CANCELLED);
	attempt_release_spill(c, w);
	w->target_kind = WORK_TARGET_NONE;
}
