// Table of batches, and the module's callbacks in the event loop.
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "core/settings.h"
#include "daemon/lead_mod.h"
#include "daemon/mods.h"
#include "daemon/room_mod.h"
#include "daemon/site_mod.h"
#include "job/handover.h"
#include "job/job.h"
#include "job/load.h"
#include "job/reward.h"
#include "job/attempt.h"

enum {
	READERS = 8192, ///< pending reads of results
	SUBMITS = 256, ///< submissions in progress
	ENDS = 512, ///< ends of batches in progress
	/// Longest handover after SIGTERM: writing the texts and the next home's answer
	/// take some ten milliseconds, if they succeed.
	DRAIN_HANDOVER_MS = 1500,
};

struct jobs *jobs_of(const struct core *c)
{
	return core_mod_state(c, MOD_JOB);
}

struct job *job_find(const struct core *c, const char *id)
{
	struct jobs *jobs = jobs_of(c);
	struct job *j;
	size_t iter = 0;

	while ((j = htab_next(jobs->jobs, &iter, NULL))) {
		if (strcmp(j->id, id) == 0)
			return j;
	}
	return NULL;
}

struct job *job_find_or_create(struct core *c, const char *id)
{
	struct jobs *jobs = jobs_of(c);
	struct job *j = job_find(c, id);
	htab_handle h;

	if (!j)
		j = htab_add(jobs->jobs, &h);
	else
		h = j->self;
	if (!j)
		return NULL;
	if (!j->id[0]) {
		j->self = h;
		strncpy(j->id, id, sizeof(j->id) - 1);
		job_list_init(&j->list);
	}
	j->last_used_ms = core_now(c);
	return j;
}

void job_remove(struct core *c, struct job *j)
{
	if (j->running)
		job_stop(c, j, "dropped");
	job_list_free(&j->list);
	htab_del(jobs_of(c)->jobs, j->self);
}

bool job_is_idle(const struct job *j)
{
	return !j->running && !j->store_busy && !j->watching &&
	       !j->list_share.in_flight;
}

static void remove_idle(struct core *c, struct jobs *jobs)
{
	struct job *j;
	size_t iter = 0;

	while ((j = htab_next(jobs->jobs, &iter, NULL))) {
		if (job_is_idle(j) &&
		    core_now(c) - j->last_used_ms > JOB_IDLE_TTL_MS)
			job_remove(c, j);
	}
}

void job_step(struct core *c, struct job *j)
{
	job_write_step(c, j);
	job_reward_step(c, j);
	job_send_step(c, j);
	if (j->running && !j->start_reported) {
		j->start_reported = true;
		room_mod_step_begun(c);
	}
	job_check_attempts(c, j);
	job_watch_step(c, j);
	job_texts_step(c, j);
}

/* Operators retire this VM: it is removed later without another signal. */
static void retire_step(struct core *c)
{
	int64_t deadline_ms;

	if (site_mod_retiring(c, &deadline_ms))
		job_handover_begin(c, deadline_ms);
	job_handover_step(c);
}

bool job_mod_drained(struct core *c)
{
	return job_handover_done(c);
}

static void jobs_tick(struct core *c, void *state, int64_t now_ms)
{
	struct jobs *jobs = state;
	struct job *j;
	size_t iter = 0;

	while ((j = htab_next(jobs->jobs, &iter, NULL))) {
		if (!j->running)
			continue;
		lead_mod_want_live_key(c);
		job_step(c, j);
	}
	if (jobs->loads)
		lead_mod_want_live_key(c);
	job_submits_step(c);
	job_ends_step(c);
	job_readers_step(c);
	job_bodies_step(c);
	job_takeover_step(c);
	job_home_step(c);
	retire_step(c);
	remove_idle(c, jobs);
}

/* Other nodes continue this node's batches. */
static void jobs_drain(struct core *c, void *state)
{
	struct jobs *jobs = state;

	jobs->draining = true;
	job_handover_begin(c, core_now(c) + DRAIN_HANDOVER_MS);
	job_handover_step(c);
}

static bool jobs_idle(struct core *c, void *state)
{
	struct jobs *jobs = state;
	struct job *j;
	size_t iter = 0;

	while ((j = htab_next(jobs->jobs, &iter, NULL))) {
		if (j->store_busy)
			return false;
	}
	return job_handover_closed(c) && job_requests_idle(c);
}

static void jobs_stop(struct core *c, void *state)
{
	struct jobs *jobs = state;
	struct job *j;
	size_t iter = 0;

	while ((j = htab_next(jobs->jobs, &iter, NULL)))
		job_remove(c, j);
	job_bodies_free(jobs);
	job_submits_free(jobs);
	job_ends_free(jobs);
	job_takeover_free(jobs);
	job_loads_free(jobs);
	job_home_free(c);
	htab_free(jobs->jobs);
	htab_free(jobs->readers);
	job_recent_free(&jobs->seen);
	free(jobs->flush_buf);
	free(jobs);
}

static bool can_be_home(const struct core *c)
{
	return settings_int(core_settings(c), S_LEAD_CANDIDATE) == 1;
}

static enum err jobs_start(struct core *c, void **state)
{
	struct jobs *jobs = calloc(1, sizeof(*jobs));

	if (!jobs)
		return ERR_NOMEM;
	jobs->wire = core_wire(c);
	/* Other nodes rarely ran a batch; the leader takes it over. */
	jobs->own_scan_done = !can_be_home(c);
	jobs->jobs = htab_new(JOB_BATCHES_MAX, sizeof(struct job));
	jobs->readers = htab_new(READERS, sizeof(struct job_reader));
	jobs->submits = htab_new(SUBMITS, sizeof(void *));
	jobs->ends = htab_new(ENDS, sizeof(void *));
	*state = jobs;
	job_memory_init(c);
	if (!jobs->jobs || !jobs->readers || !jobs->submits || !jobs->ends)
		return ERR_NOMEM;
	return job_handover_start(c) == ERR_OK ? job_home_start(c) : ERR_NOMEM;
}

void job_serve_local(struct core *c, const struct job_caller *to,
		     const struct home_request *request, bool maybe_taken)
{
	switch (request->kind) {
	case HOME_SUBMIT:
		job_submit_begin(c, to, request, maybe_taken);
		break;
	case HOME_RESULTS:
		job_read_results(c, to, request);
		break;
	case HOME_BODY:
		job_read_body(c, to, request);
		break;
	case HOME_END:
		job_end_begin(c, to, request);
		break;
	}
}

/* The owner key and the batch's key hold them. */
static enum err check_names(const struct home_request *request)
{
	if (!job_batch_id_valid(request->job))
		return ERR_BATCH_ID;
	return strlen(request->host) < JOB_ID_BYTES &&
			       strlen(request->path) < JOB_ID_BYTES &&
			       strlen(request->team) < JOB_ID_BYTES
		       ? ERR_OK
		       : ERR_BATCH_TARGET;
}

/* Refuses what no node can accept before a home gets a copy of it. */
static enum err check_submission(struct core *c,
				 const struct home_request *request)
{
	enum err e = check_names(request);

	return e == ERR_OK ? job_memory_check_size(&jobs_of(c)->memory,
						   request->len)
			   : e;
}

void job_mod_submit(struct core *c, struct core_req *req, const char *id,
		    const char *host, const char *team)
{
	const struct home_request request = {
		.kind = HOME_SUBMIT,
		.job = id,
		.team = arena_strdup(&req->arena, team),
		.host = host,
		.path = req->path,
		.body = req->body,
		.len = req->body_len,
	};
	enum err e = check_submission(c, &request);

	if (e != ERR_OK)
		core_reply_err(c, req->h, e, RUN_NO, 0, NULL);
	else if (!job_home_forward(c, req, &request))
		job_serve_local(c, &(struct job_caller){.req = req->h},
				&request, false);
}

static enum home_request_kind kind_of(enum front_kind kind)
{
	switch (kind) {
	case FRONT_RESULTS:
		return HOME_RESULTS;
	case FRONT_ITEM_BODY:
		return HOME_BODY;
	default:
		return HOME_END;
	}
}

void job_mod_call(struct core *c, struct core_req *req,
		  const struct front_call *call, int64_t wait_ms,
		  const char *team)
{
	const struct home_request request = {
		.kind = kind_of(call->kind),
		.job = arena_strdup(&req->arena, call->job),
		.item = arena_strdup(&req->arena, call->item),
		.team = arena_strdup(&req->arena, team),
		.after = call->after,
		.wait_ms = call->kind != FRONT_RESULTS ? 0
			   : wait_ms < JOB_READ_WAIT_MAX_MS
				   ? wait_ms
				   : JOB_READ_WAIT_MAX_MS,
	};

	if (!request.job || !request.item || !request.team)
		core_reply_err(c, req->h, ERR_NOMEM, RUN_NO, JOB_RETRY_MS,
			       NULL);
	else if (strlen(team) >= JOB_ID_BYTES)
		/* No batch of it was taken. */
		core_reply_err(c, req->h, ERR_BATCH_UNKNOWN, RUN_NO, 0, NULL);
	else if (!job_home_forward(c, req, &request))
		job_serve_local(c, &(struct job_caller){.req = req->h},
				&request, false);
}

const char *job_mod_next_running(struct core *c, size_t *iter,
				 int64_t *expected_tokens)
{
	struct job *j;

	while ((j = htab_next(jobs_of(c)->jobs, iter, NULL))) {
		if (!j->running || j->owner.ended)
			continue;
		*expected_tokens = j->expected_tokens;
		return j->spec->model;
	}
	return NULL;
}

bool job_mod_next_open(struct core *c, size_t *iter, struct job_open_batch *out)
{
	struct job *j;

	while ((j = htab_next(jobs_of(c)->jobs, iter, NULL))) {
		const struct site_route *r =
			j->running && !j->owner.ended ? job_route(c, j) : NULL;

		if (!r || !r->n_targets)
			continue;
		*out = (struct job_open_batch){
			.service = r->targets[0].service,
			.model = j->spec->model,
			.step = j->spec->step,
			.waiting = (int)job_run_count(j->run, JOB_WAITING),
			.running = (int)job_run_count(j->run, JOB_SENT),
			.events_left = job_run_remaining_events(j->run),
			.min_version = j->spec->min_version,
			.due_ms = r->results_due_ms ? j->due_ms : INT64_MAX,
		};
		if (out->waiting || out->running)
			return true;
	}
	return false;
}

int job_mod_in_flight(struct core *c, const char *service)
{
	struct jobs *jobs = jobs_of(c);
	struct job *j;
	size_t iter = 0;
	size_t n = 0;

	while ((j = htab_next(jobs->jobs, &iter, NULL))) {
		const struct site_route *r =
			j->running && !j->owner.ended ? job_route(c, j) : NULL;

		if (r && r->n_targets &&
		    strcmp(r->targets[0].service, service) == 0)
			n += job_run_count(j->run, JOB_SENT);
		if (j->running)
			n += (size_t)job_reward_in_flight(c, j, service);
	}
	return (int)n;
}

static bool jobs_ready(struct core *c, void *state)
{
	/* Other nodes need a key only once they run a batch. */
	return !can_be_home(c) || lead_mod_live_key_held(c);
}

const struct core_mod_ops job_mod_ops = {
	.name = "job",
	.start = jobs_start,
	.tick = jobs_tick,
	.drain = jobs_drain,
	.idle = jobs_idle,
	.ready = jobs_ready,
	.stop = jobs_stop,
};
