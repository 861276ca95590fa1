// Attempt of an item at a server: sends it, receives its events, classifies how it
// ended.
#include <stdio.h>
#include <string.h>

#include "base/histogram.h"
#include "base/log.h"
#include "base/metric.h"
#include "daemon/site_mod.h"
#include "job/attempt.h"
#include "order/notice.h"

enum {
	/// Longest silence of a connection, mostly before the first event: an engine queues a few requests, and one
	/// of its slots becomes free about every 100 ms.
	ATTEMPT_IDLE_TIMEOUT_MS = 1500,
	ATTEMPT_CONNECT_TIMEOUT_MS = 500, ///< to an engine
};

void job_release_slot(struct core *c, htab_handle server, bool ok)
{
	struct site_server *s = site_servers_get(site_mod_servers(c), server);

	if (s)
		site_server_end(s, core_now(c), ok);
}

void job_release_attempt(struct core *c, struct job_attempt *attempt, bool ok)
{
	struct site_server *s =
		site_servers_get(site_mod_servers(c), attempt->server);

	if (s) {
		site_server_record_run(s, attempt->events,
				       attempt->last_event_ms -
					       attempt->first_event_ms);
		site_server_reserve(s, -attempt->reserved_tokens);
	}
	job_release_slot(c, attempt->server, ok);
	sse_free(&attempt->sse);
	attempt->fetch = 0;
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

static struct job_attempt *attempt_of(struct core *c, void *ctx,
				      struct job **job)
{
	int item;

	*job = job_of_ctx(c, ctx, &item);
	return *job ? &(*job)->attempts[item] : NULL;
}

struct event_ctx {
	struct core *c;
	struct job *j;
	struct job_attempt *attempt;
	struct site_server *server; ///< NULL if its entry is gone
	int64_t now_ms;
};

static void record_event_time(struct job_attempt *attempt,
			      struct site_server *s, int64_t now)
{
	if (s && attempt->last_event_ms)
		site_server_record_event(
			s, now, (double)(now - attempt->last_event_ms));
	if (!attempt->first_event_ms) {
		attempt->first_event_ms = now;
		histogram_add(H_ITEM_FIRST, now - attempt->sent_ms);
	}
	attempt->last_event_ms = now;
}

/* Streams that continue during a load show its end before the server's entry does. */
static void note_version(struct core *c, const struct job *j,
			 const struct site_server *s, uint64_t version,
			 bool load_ended_now)
{
	if (s)
		order_notice_version(c, s, j->spec->model, version,
				     load_ended_now);
}

/* A server begins no request while it loads. */
static void note_head_version(struct core *c, const struct job *j,
			      const struct job_attempt *attempt)
{
	struct site_server *s =
		site_servers_get(site_mod_servers(c), attempt->server);

	if (!s)
		return;
	note_version(c, j, s, attempt->version, false);
	if (attempt->sent_ms >= s->load.expected_from_ms)
		site_server_record_old_version(s, j->spec->model,
					       attempt->version);
}

static bool on_event(void *ctx, const struct sse_event *ev)
{
	struct event_ctx *e = ctx;
	enum err err;

	record_event_time(e->attempt, e->server, e->now_ms);
	e->attempt->events++;
	if (ev->extra) {
		e->attempt->version = ev->extra;
		note_version(e->c, e->j, e->server, ev->extra,
			     e->attempt->events > 1);
	}
	err = job_run_add_event(e->j->run, e->attempt->item, ev->id,
				e->attempt->version, ev->data, ev->len);
	if (err == ERR_OK)
		return true;
	log_event(EV_JOB_ITEM,
		  "batch=%s item=%s last_event=%llu version=%llu error=%s",
		  e->j->id, e->j->spec->items[e->attempt->item].id,
		  (unsigned long long)ev->id,
		  (unsigned long long)e->attempt->version, err_code(err));
	e->attempt->invalid = true;
	return false;
}

static void handle_head(struct core *c, struct job *j,
			struct job_attempt *attempt, int status,
			const struct upstream_head *head)
{
	const char *id = j->spec->items[attempt->item].id;
	struct engine_response h;

	attempt->got_head = true;
	jobs_of(c)->wire->engine->head(status, head, &h);
	attempt->not_run = h.not_run || h.other_server;
	attempt->other_server = h.other_server;
	attempt->refused = status != 200;
	/* Discard a response that belongs to another request, and one that is no stream
	 * of this item: its text must not become part of the item's. */
	attempt->invalid |= h.id ? strcmp(h.id, id) != 0 : status == 200;
	attempt->invalid |= status == 200 && !h.streams;
	attempt->version = h.version;
	if (status == 200 && !attempt->invalid && h.version)
		note_head_version(c, j, attempt);
}

static void on_head(struct core *c, void *ctx, int status,
		    const struct upstream_head *head)
{
	struct job *j;
	struct job_attempt *attempt = attempt_of(c, ctx, &j);

	if (attempt)
		handle_head(c, j, attempt, status, head);
}

void job_abort_attempt(struct core *c, struct job *j,
		       struct job_attempt *attempt)
{
	core_fetch_cancel(c, attempt->fetch);
	job_release_attempt(c, attempt, false);
	job_run_attempt_ended(j->run, attempt->item, core_now(c),
			      JOB_ATTEMPT_INTERRUPTED);
}

static void on_data(struct core *c, void *ctx, const char *data, size_t len)
{
	struct job *j;
	struct job_attempt *attempt = attempt_of(c, ctx, &j);
	struct event_ctx e = {c, j, attempt, NULL, core_now(c)};

	if (!attempt || attempt->refused)
		return;
	e.server = site_servers_get(site_mod_servers(c), attempt->server);
	attempt->sse.opts.ctx = &e;
	if (!attempt->invalid && sse_feed(&attempt->sse, data, len) != ERR_OK)
		attempt->invalid = true;
	if (attempt->invalid)
		job_abort_attempt(c, j, attempt);
}

static enum job_attempt_outcome outcome_of(const struct job_attempt *attempt,
					   const struct core_fetch_result *res,
					   const struct job_text *text)
{
	if (attempt->not_run || (res->err != ERR_OK && !res->sent))
		return JOB_ATTEMPT_NOT_RUN;
	if (res->status == 422)
		return JOB_ATTEMPT_IMPOSSIBLE;
	if (core_fetch_answered(res) && res->status == 500)
		return JOB_ATTEMPT_FAILED;
	if (!core_fetch_answered(res) || res->status != 200 ||
	    !sse_at_event_end(&attempt->sse) || !text->last_event)
		return JOB_ATTEMPT_INTERRUPTED;
	if (res->err == ERR_UP_UNFRAMED)
		return JOB_ATTEMPT_UNFRAMED;
	return attempt->events ? JOB_ATTEMPT_COMPLETE : JOB_ATTEMPT_EMPTY;
}

static void log_end(struct core *c, const struct job *j,
		    const struct job_attempt *attempt,
		    const struct core_fetch_result *res,
		    enum job_attempt_outcome outcome)
{
	static const char *const names[] = {
		[JOB_ATTEMPT_COMPLETE] = "whole",
		[JOB_ATTEMPT_INTERRUPTED] = "broken",
		[JOB_ATTEMPT_UNFRAMED] = "unframed",
		[JOB_ATTEMPT_EMPTY] = "empty",
		[JOB_ATTEMPT_FAILED] = "failed",
		[JOB_ATTEMPT_IMPOSSIBLE] = "impossible",
		[JOB_ATTEMPT_NOT_RUN] = "not-run",
	};
	const struct site_server *s =
		site_servers_get(site_mod_servers(c), attempt->server);

	log_event(EV_JOB_ITEM,
		  "batch=%s item=%s server=%s outcome=%s http=%d error=%s "
		  "events=%llu version=%llu expected=%llu servers_age_ms=%lld "
		  "first_ms=%lld ms=%lld",
		  j->id, j->spec->items[attempt->item].id,
		  s ? s->entry.id : "gone", names[outcome], res->status,
		  err_code(res->err),
		  (unsigned long long)job_run_text(j->run, attempt->item)
			  ->last_event,
		  (unsigned long long)attempt->version,
		  (unsigned long long)attempt->expected_version,
		  (long long)attempt->servers_age_ms,
		  attempt->first_event_ms
			  ? (long long)(attempt->first_event_ms -
					attempt->sent_ms)
			  : -1LL,
		  (long long)(core_now(c) - attempt->sent_ms));
}

/* Whether an engine rejected the request because it is full, is loading weights, or
 * lacks the version that its weights order announced. */
static bool is_rejection(struct core *c, const struct job_attempt *attempt,
			 enum job_attempt_outcome outcome)
{
	const struct site_server *s =
		site_servers_get(site_mod_servers(c), attempt->server);

	return outcome == JOB_ATTEMPT_NOT_RUN && attempt->not_run &&
	       (!attempt->other_server || attempt->expected_version) && s &&
	       site_mod_loads_weights(c, s->entry.service);
}

static void note_rejection(struct core *c, struct job_attempt *attempt)
{
	struct site_server *s =
		site_servers_get(site_mod_servers(c), attempt->server);

	metric_add(M_ENGINE_REJECTED, 1);
	if (attempt->other_server)
		metric_add(M_ENGINE_UNEXPECTED, 1);
	site_server_reserve(s, -attempt->reserved_tokens);
	site_server_record_rejection(
		s, core_now(c),
		attempt->other_server ? attempt->expected_version : 0);
	sse_free(&attempt->sse);
	attempt->fetch = 0;
}

static void on_done(struct core *c, void *ctx,
		    const struct core_fetch_result *res)
{
	struct job *j;
	struct job_attempt *attempt = attempt_of(c, ctx, &j);
	enum job_attempt_outcome outcome;
	bool server_ok;

	if (!attempt)
		return;
	if (!attempt->got_head && res->status)
		handle_head(c, j, attempt, res->status, res->head);
	outcome = attempt->invalid
			  ? JOB_ATTEMPT_INTERRUPTED
			  : outcome_of(attempt, res,
				       job_run_text(j->run, attempt->item));
	log_end(c, j, attempt, res, outcome);
	if (outcome == JOB_ATTEMPT_NOT_RUN)
		metric_add(M_ITEM_NOT_RUN, 1);
	histogram_add(H_ITEM, core_now(c) - attempt->sent_ms);
	if (outcome == JOB_ATTEMPT_COMPLETE && !attempt->resumed)
		job_pace_add(&jobs_of(c)->pace,
			     job_item_expected_tokens(
				     &j->spec->items[attempt->item]),
			     core_now(c) - attempt->sent_ms);
	server_ok = outcome == JOB_ATTEMPT_COMPLETE ||
		    outcome == JOB_ATTEMPT_IMPOSSIBLE;
	if (is_rejection(c, attempt, outcome))
		note_rejection(c, attempt);
	else
		job_release_attempt(c, attempt, server_ok);
	job_run_attempt_ended(j->run, attempt->item, core_now(c), outcome);
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

/* A takeover ends when the first item is sent. */
static void record_takeover(struct core *c, struct job *j)
{
	if (!j->owner_lost_ms)
		return;
	histogram_add(H_JOB_TAKEOVER, core_now(c) - j->owner_lost_ms);
	log_event(EV_JOB_GENERATION_RESUMED, "batch=%s ms=%lld", j->id,
		  (long long)(core_now(c) - j->owner_lost_ms));
	j->owner_lost_ms = 0;
}

bool job_send_item(struct core *c, struct job *j, int item,
		   struct site_server *s)
{
	const struct job_item *it = &j->spec->items[item];
	struct job_attempt *attempt = &j->attempts[item];
	const struct engine_run run = {
		.spec = j->spec,
		.item = it,
		.server = s->entry.id,
		.resume_after = job_run_text(j->run, item)->last_event,
		.expect_version = site_server_expected_version(
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
		.connect_timeout_ms = ATTEMPT_CONNECT_TIMEOUT_MS,
		.idle_timeout_ms = ATTEMPT_IDLE_TIMEOUT_MS,
		.send_until_ms = site_mod_send_until(c),
		.want_head = true,
		.id_field = jobs_of(c)->wire->front->id_field,
		.tag = s->self,
		.on_head = on_head,
		.on_data = on_data,
		.on_done = on_done,
		.ctx = job_item_ctx(j, item),
	};
	struct arena a;
	enum err e;

	if (job_run_phase(j->run, item) != JOB_WAITING) {
		log_event(EV_JOB_ITEM_NOT_WAITING,
			  "batch=%s item=%s step=%d server=%s waiting=%zu "
			  "at=%zu listed=%zu items=%zu records=%llu "
			  "owner_rev=%llu",
			  j->id, it->id, (int)job_run_phase(j->run, item),
			  s->entry.id, job_run_count(j->run, JOB_WAITING),
			  job_run_count(j->run, JOB_SENT), j->list.n,
			  j->spec->n_items, (unsigned long long)j->list.records,
			  (unsigned long long)j->owner_rev);
		return false;
	}
	arena_init(&a, 0);
	opts.url = job_url(&a, s, it->path);
	opts.headers = jobs_of(c)->wire->engine->run(&run, &a);
	*attempt = (struct job_attempt){
		.job = j->self,
		.item = item,
		.server = s->self,
		.sent_ms = core_now(c),
		.servers_age_ms = site_mod_servers_age_ms(c),
		.resumed = run.resume_after > 0,
		.expected_version = run.expect_version,
		.reserved_tokens = job_item_memory_tokens(it),
	};
	if (attempt->expected_version)
		metric_add(M_ENGINE_EXPECTED, 1);
	histogram_add(H_SERVERS_AGE, attempt->servers_age_ms);
	e = opts.url && opts.headers ? core_fetch(c, &opts, &attempt->fetch)
				     : ERR_NOMEM;
	arena_free(&a);
	if (e != ERR_OK) {
		attempt->fetch = 0;
		return false;
	}
	sse_init(&attempt->sse, &sse);
	site_server_begin(s, core_now(c));
	site_server_probe_load(s, core_now(c), j->spec->model);
	site_server_reserve(s, attempt->reserved_tokens);
	metric_add(M_ITEM_SENT, 1);
	job_run_item_sent(j->run, item);
	record_takeover(c, j);
	return true;
}
