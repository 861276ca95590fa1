// An item at a server: sends it, takes its events, judges its end.
#include <stdio.h>
#include <string.h>

#include "base/histogram.h"
#include "base/log.h"
#include "base/metric.h"
#include "daemon/site_mod.h"
#include "job/run.h"

enum {
	/// Longest wait for the first event: an engine queues a few requests,
	/// and a place there comes free every some 100 ms.
	RUN_FIRST_MS = 1500,
	RUN_CONNECT_MS = 500, ///< to connect to an engine
};

void job_free_place(struct core *c, htab_handle server, bool ok)
{
	struct site_server *s = site_servers_get(site_mod_servers(c), server);

	if (s)
		site_server_end(s, core_now(c), ok);
}

void job_leave_server(struct core *c, struct job_at_server *at, bool ok)
{
	struct site_server *s =
		site_servers_get(site_mod_servers(c), at->server);

	if (s) {
		site_server_ran(s, at->events, at->last_ms - at->first_ms);
		site_server_reserve(s, -at->tokens);
	}
	job_free_place(c, at->server, ok);
	sse_free(&at->sse);
	at->fetch = 0;
}

void *job_item_ctx(const struct job *j, int item)
{
	return (void *)(uintptr_t)((uint64_t)j->self << 32 | (uint32_t)item);
}

struct job *job_of_ctx(struct core *c, void *ctx, int *item)
{
	uint64_t v = (uint64_t)(uintptr_t)ctx;
	struct job *j = htab_get(jobs_of(c)->jobs, (htab_handle)(v >> 32));

	if (!j || !j->running || (uint32_t)v >= j->spec->n_items)
		return NULL;
	*item = (int)(uint32_t)v;
	return j;
}

static struct job_at_server *at_of(struct core *c, void *ctx, struct job **job)
{
	int item;

	*job = job_of_ctx(c, ctx, &item);
	return *job ? &(*job)->at[item] : NULL;
}

struct event_ctx {
	struct job *j;
	struct job_at_server *at;
	struct site_server *server; ///< NULL if its entry is gone
	int64_t now_ms;
};

static void note_pace(struct job_at_server *at, struct site_server *s,
		      int64_t now)
{
	if (s && at->last_ms)
		site_server_paced(s, now, (double)(now - at->last_ms));
	if (!at->first_ms) {
		at->first_ms = now;
		histogram_add(H_ITEM_FIRST, now - at->sent_ms);
	}
	at->last_ms = now;
}

static bool on_event(void *ctx, const struct sse_event *ev)
{
	struct event_ctx *e = ctx;
	enum err err;

	note_pace(e->at, e->server, e->now_ms);
	e->at->events++;
	if (ev->extra)
		e->at->version = ev->extra;
	err = job_run_event(e->j->run, e->at->item, ev->id, e->at->version,
			    ev->data, ev->len);
	if (err == ERR_OK)
		return true;
	log_event(EV_JOB_ITEM,
		  "batch=%s item=%s last_event=%llu version=%llu error=%s",
		  e->j->id, e->j->spec->items[e->at->item].id,
		  (unsigned long long)ev->id,
		  (unsigned long long)e->at->version, err_code(err));
	e->at->spoilt = true;
	return false;
}

static void take_head(struct core *c, struct job *j, struct job_at_server *at,
		      int status, const struct upstream_head *head)
{
	const char *id = j->spec->items[at->item].id;
	struct engine_head h;

	at->headed = true;
	jobs_of(c)->wire->engine->head(status, head, &h);
	at->not_run = h.not_run || h.other_server;
	at->other_server = h.other_server;
	at->refused = status != 200;
	/* Bytes that belong to another request are nobody's answer. */
	at->spoilt |= h.id && strcmp(h.id, id) != 0;
	at->version = h.version;
}

static void on_head(struct core *c, void *ctx, int status,
		    const struct upstream_head *head)
{
	struct job *j;
	struct job_at_server *at = at_of(c, ctx, &j);

	if (at)
		take_head(c, j, at, status, head);
}

/* End a run that can't go on at its server. */
void job_cut(struct core *c, struct job *j, struct job_at_server *at)
{
	core_fetch_cancel(c, at->fetch);
	job_leave_server(c, at, false);
	job_run_ended(j->run, at->item, core_now(c), JOB_RUN_BROKEN);
}

static void on_data(struct core *c, void *ctx, const char *data, size_t len)
{
	struct job *j;
	struct job_at_server *at = at_of(c, ctx, &j);
	struct event_ctx e = {j, at, NULL, core_now(c)};

	if (!at || at->refused)
		return;
	e.server = site_servers_get(site_mod_servers(c), at->server);
	at->sse.opts.ctx = &e;
	if (!at->spoilt && sse_feed(&at->sse, data, len) != ERR_OK)
		at->spoilt = true;
	if (at->spoilt)
		job_cut(c, j, at);
}

static enum job_outcome outcome_of(const struct job_at_server *at,
				   const struct core_fetch_result *res,
				   const struct job_text *text)
{
	if (at->not_run || (res->err != ERR_OK && !res->sent))
		return JOB_RUN_NOT_RUN;
	if (res->status == 422)
		return JOB_RUN_IMPOSSIBLE;
	if (res->err == ERR_OK && res->status == 500)
		return JOB_RUN_FAILED;
	if (res->err == ERR_OK && res->status == 200 && sse_clean(&at->sse) &&
	    text->last_event)
		return JOB_RUN_WHOLE;
	return JOB_RUN_BROKEN;
}

static void log_end(struct core *c, const struct job *j,
		    const struct job_at_server *at,
		    const struct core_fetch_result *res, enum job_outcome how)
{
	static const char *const names[] = {
		[JOB_RUN_WHOLE] = "whole",
		[JOB_RUN_BROKEN] = "broken",
		[JOB_RUN_FAILED] = "failed",
		[JOB_RUN_IMPOSSIBLE] = "impossible",
		[JOB_RUN_NOT_RUN] = "not-run",
	};
	const struct site_server *s =
		site_servers_get(site_mod_servers(c), at->server);

	log_event(
		EV_JOB_ITEM,
		"batch=%s item=%s server=%s outcome=%s http=%d error=%s "
		"events=%llu version=%llu expected=%llu servers_age_ms=%lld "
		"first_ms=%lld ms=%lld",
		j->id, j->spec->items[at->item].id, s ? s->entry.id : "gone",
		names[how], res->status, err_code(res->err),
		(unsigned long long)job_run_text(j->run, at->item)->last_event,
		(unsigned long long)at->version,
		(unsigned long long)at->expected, (long long)at->servers_age_ms,
		at->first_ms ? (long long)(at->first_ms - at->sent_ms) : -1LL,
		(long long)(core_now(c) - at->sent_ms));
}

/* Whether an engine rejected a run because it is full, loads, or does not have the
 * version yet that its order promised. */
static bool is_rejection(struct core *c, const struct job_at_server *at,
			 enum job_outcome how)
{
	const struct site_server *s =
		site_servers_get(site_mod_servers(c), at->server);

	return how == JOB_RUN_NOT_RUN && at->not_run &&
	       (!at->other_server || at->expected) && s &&
	       site_mod_shares(c, s->entry.service);
}

static void note_rejection(struct core *c, struct job_at_server *at)
{
	struct site_server *s =
		site_servers_get(site_mod_servers(c), at->server);

	metric_add(M_ENGINE_REJECTED, 1);
	if (at->other_server)
		metric_add(M_ENGINE_UNEXPECTED, 1);
	site_server_reserve(s, -at->tokens);
	site_server_rejected(s, core_now(c),
			     at->other_server ? at->expected : 0);
	sse_free(&at->sse);
	at->fetch = 0;
}

static void on_done(struct core *c, void *ctx,
		    const struct core_fetch_result *res)
{
	struct job *j;
	struct job_at_server *at = at_of(c, ctx, &j);
	enum job_outcome how;
	bool server_ok;

	if (!at)
		return;
	if (!at->headed && res->status)
		take_head(c, j, at, res->status, res->head);
	how = at->spoilt ? JOB_RUN_BROKEN
			 : outcome_of(at, res, job_run_text(j->run, at->item));
	log_end(c, j, at, res, how);
	if (how == JOB_RUN_NOT_RUN)
		metric_add(M_ITEM_NOT_RUN, 1);
	histogram_add(H_ITEM, core_now(c) - at->sent_ms);
	if (how == JOB_RUN_WHOLE && !at->resumed)
		job_pace_note(&jobs_of(c)->pace,
			      job_item_length(&j->spec->items[at->item]),
			      core_now(c) - at->sent_ms);
	server_ok = how == JOB_RUN_WHOLE || how == JOB_RUN_IMPOSSIBLE;
	if (is_rejection(c, at, how))
		note_rejection(c, at);
	else
		job_leave_server(c, at, server_ok);
	job_run_ended(j->run, at->item, core_now(c), how);
	job_step(c, j);
}

const char *job_url(struct arena *a, const struct site_server *s,
		    const char *path)
{
	size_t len = sizeof("http://") + strlen(s->entry.addr) + strlen(path);
	char *url = arena_alloc(a, len);

	if (url)
		snprintf(url, len, "http://%s%s", s->entry.addr, path);
	return url;
}

/* The first item that is sent after a takeover ends its time. */
static void note_takeover(struct core *c, struct job *j)
{
	if (!j->lost_ms)
		return;
	histogram_add(H_JOB_TAKEOVER, core_now(c) - j->lost_ms);
	log_event(EV_JOB_GOES_ON, "batch=%s ms=%lld", j->id,
		  (long long)(core_now(c) - j->lost_ms));
	j->lost_ms = 0;
}

bool job_send_item(struct core *c, struct job *j, int item,
		   struct site_server *s)
{
	const struct job_item *it = &j->spec->items[item];
	struct job_at_server *at = &j->at[item];
	const struct engine_run run = {
		.spec = j->spec,
		.item = it,
		.server = s->entry.id,
		.resume_after = job_run_text(j->run, item)->last_event,
		.expect_version = site_server_expects(
			s, core_now(c), j->spec->model, j->spec->min_version),
	};
	const struct sse_opts sse = {
		.extra_field = jobs_of(c)->wire->engine->version_field,
		.on_event = on_event,
	};
	struct core_fetch_opts opts = {
		.method = "POST",
		.body = it->body,
		.body_len = it->body_len,
		.connect_timeout_ms = RUN_CONNECT_MS,
		.idle_timeout_ms = RUN_FIRST_MS,
		.send_until_ms = site_mod_send_until(c),
		.want_head = true,
		.tag = s->self,
		.on_head = on_head,
		.on_data = on_data,
		.on_done = on_done,
		.ctx = job_item_ctx(j, item),
	};
	struct arena a;
	enum err e;

	if (job_run_step(j->run, item) != JOB_WAITING) {
		log_event(EV_JOB_STEP,
			  "batch=%s item=%s step=%d server=%s waiting=%zu "
			  "at=%zu listed=%zu items=%zu records=%llu "
			  "owner_rev=%llu",
			  j->id, it->id, (int)job_run_step(j->run, item),
			  s->entry.id, job_run_count(j->run, JOB_WAITING),
			  job_run_count(j->run, JOB_SENT), j->list.n,
			  j->spec->n_items, (unsigned long long)j->list.records,
			  (unsigned long long)j->owner_rev);
		return false;
	}
	arena_init(&a, 0);
	opts.url = job_url(&a, s, it->path);
	opts.headers = jobs_of(c)->wire->engine->run(&run, &a);
	*at = (struct job_at_server){
		.job = j->self,
		.item = item,
		.server = s->self,
		.sent_ms = core_now(c),
		.servers_age_ms = site_mod_servers_age(c),
		.resumed = run.resume_after > 0,
		.expected = run.expect_version,
		.tokens = job_item_memory(it),
	};
	if (at->expected)
		metric_add(M_ENGINE_EXPECTED, 1);
	histogram_add(H_SERVERS_AGE, at->servers_age_ms);
	e = opts.url && opts.headers ? core_fetch(c, &opts, &at->fetch)
				     : ERR_NOMEM;
	arena_free(&a);
	if (e != ERR_OK) {
		at->fetch = 0;
		return false;
	}
	sse_init(&at->sse, &sse);
	site_server_begin(s, core_now(c));
	site_server_reserve(s, at->tokens);
	metric_add(M_ITEM_SENT, 1);
	job_run_sent(j->run, item);
	note_takeover(c, j);
	return true;
}
