// Submits, cancels and finishes requests.
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "work_mod_int.h"

static const char *work_copy(struct work *w, const char *s)
{
	return s ? arena_strdup(&w->arena, s) : NULL;
}

/* Copy everything that the options point to. */
static enum err work_copy_opts(struct work *w, const struct work_opts *opts)
{
	struct work_opts *o = &w->opts;

	*o = *opts;
	o->service = work_copy(w, opts->service ? opts->service : "");
	o->team = work_copy(w, opts->team ? opts->team : "");
	o->method = work_copy(w, opts->method);
	o->path = work_copy(w, opts->path);
	o->ctype = work_copy(w, opts->ctype ? opts->ctype : "");
	o->idem_key = work_copy(w, opts->idem_key);
	o->body = arena_strndup(&w->arena, opts->body, opts->body_len);
	if (!o->service || !o->team || !o->method || !o->path || !o->body)
		return ERR_NOMEM;
	if (opts->avoid)
		strncpy(w->avoid, opts->avoid, sizeof(w->avoid) - 1);
	if (opts->trace)
		w->trace = *opts->trace;
	else
		trace_parse(&w->trace, NULL);
	return ERR_OK;
}

static void work_free(struct work *w)
{
	work_buf_free(&w->partial);
	arena_free(&w->arena);
}

/* Free a request. Its queue entry and slot are released first: they would
 * affect the request that reuses its memory. */
static void work_remove(struct core *c, struct work *w)
{
	struct work_state *s = work_state(c);

	if (w->queue_entry || w->server) {
		log_event(EV_WORK_FAULT,
			  "what=freed-while-in-use request=%llu queued=%d "
			  "server=%s via=%d",
			  (unsigned long long)w->id, w->queue_entry != 0,
			  w->server ? w->server->id : "none",
			  (int)w->target_kind);
		work_dequeue(w);
		work_attempt_cancel(c, w);
	}
	work_free(w);
	htab_del(s->requests, w->h);
	metric_set(M_WORK_RUNNING, htab_count(s->requests));
}

static struct work *work_add(struct core *c, const struct work_opts *opts,
			     bool forwarded)
{
	struct work_state *s = work_state(c);
	htab_handle h;
	struct work *w = htab_add(s->requests, &h);

	if (!w)
		return NULL;
	w->h = h;
	w->id = ++s->next_id;
	w->forwarded = forwarded;
	arena_init(&w->arena, WORK_ARENA_MAX_BYTES);
	if (work_copy_opts(w, opts) != ERR_OK) {
		work_remove(c, w);
		return NULL;
	}
	attempt_init(&w->attempts, &(struct attempt_opts){
					   .idempotent = opts->idempotent,
					   .deadline_ms = opts->deadline_ms,
				   });
	return w;
}

enum err work_submit_from(struct core *c, const struct work_opts *opts,
			  bool forwarded, htab_handle *h,
			  int64_t *retry_after_ms)
{
	struct work_state *s = work_state(c);
	struct work *w = work_add(c, opts, forwarded);
	enum err e;

	*retry_after_ms = WORK_NO_SERVER_RETRY_AFTER_MS;
	if (!w)
		return ERR_ADMIT_FULL;
	e = work_place(c, w, retry_after_ms);
	if (e != ERR_OK) {
		work_remove(c, w);
		return e;
	}
	if (h)
		*h = w->h;
	metric_add(M_WORK_SUBMITTED, 1);
	metric_set(M_WORK_RUNNING, htab_count(s->requests));
	return ERR_OK;
}

enum err work_submit(struct core *c, const struct work_opts *opts,
		     htab_handle *h, int64_t *retry_after_ms)
{
	return work_submit_from(c, opts, false, h, retry_after_ms);
}

void work_cancel(struct core *c, htab_handle h)
{
	struct work_state *s = work_state(c);
	struct work *w = htab_get(s->requests, h);

	if (!w)
		return;
	work_dequeue(w);
	work_attempt_cancel(c, w);
	work_remove(c, w);
}

void work_finish(struct core *c, struct work *w, const struct work_result *res)
{
	struct work_state *s = work_state(c);
	struct work done = *w;
	struct work_result end = *res;

	htab_del(s->requests, w->h);
	metric_set(M_WORK_RUNNING, htab_count(s->requests));
	metric_add(res->err == ERR_OK ? M_WORK_ANSWERED : M_WORK_FAILED, 1);
	if (res->err != ERR_OK)
		log_event(EV_WORK_GIVEN_UP, "error=%s run=%s target=%s",
			  err_code(res->err), run_state_name(res->run),
			  done.target);
	if (!end.server)
		end.server = done.target;
	done.opts.on_done(c, done.opts.ctx, &end);
	work_free(&done);
}

void work_give_up(struct core *c, struct work *w, enum err e)
{
	bool in_flight = w->target_kind != WORK_TARGET_NONE;
	struct attempt_step step = attempt_give_up(&w->attempts, in_flight, e);
	struct work_result res = {
		.err = step.err,
		.run = step.run,
		.retry_after_ms = step.retry_after_ms,
		.ctype = "",
		.server = "",
	};

	work_dequeue(w);
	work_attempt_cancel(c, w);
	work_finish(c, w, &res);
}
