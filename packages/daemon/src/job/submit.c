// Accepts a batch: writes its body to the store, then its owner key, then answers.
//
// A batch without an owner key is never run, so a submission that wrote only the body
// may be refused with "not run".
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/histogram.h"
#include "base/log.h"
#include "daemon/lead_mod.h"
#include "daemon/site_mod.h"
#include "job/load.h"
#include "store_keys.h"

enum {
	/// A submission that the store does not confirm in this time is answered
	/// with an unknown outcome; its trainer retries at another node.
	SUBMIT_TIMEOUT_MS = 3000,
	SUBMIT_ALIVE_POLL_MS =
		10, ///< between checks of this node's liveness key
	/// Submissions are held, not refused, for so long after the store was last
	/// reached: a short outage ends before the trainer would retry.
	SUBMIT_OUTAGE_HOLD_MS = 3600,
};

enum submit_step {
	SUBMIT_BODY, ///< write the batch
	SUBMIT_OWNER, ///< write the owner key
	SUBMIT_CHECK, ///< read the owner key
};

struct job_submit {
	htab_handle self;
	struct job_caller caller;
	enum submit_step step;
	bool busy; ///< a store call is in flight
	bool owner_maybe_written; ///< a write of the owner key may have taken effect
	bool owner_write_begun; ///< this node began to write the owner key
	int64_t next_ms;
	int64_t deadline_ms;
	struct job_owner owner;
	struct job_spec *spec;
	size_t memory; ///< bytes that it takes, with its copies
	char *batch_value; ///< value of the batch's key
	size_t batch_value_len;
};

static struct job_submit *submit_of(const struct core *c, void *ctx)
{
	struct job_submit **slot =
		htab_get(jobs_of(c)->submits, (htab_handle)(uintptr_t)ctx);

	return slot ? *slot : NULL;
}

static void submit_free(struct jobs *jobs, struct job_submit *s)
{
	htab_del(jobs->submits, s->self);
	job_spec_free(s->spec);
	free(s->batch_value);
	free(s);
}

void job_submits_free(struct jobs *jobs)
{
	struct job_submit **slot;
	size_t iter = 0;

	while ((slot = htab_next(jobs->submits, &iter, NULL)))
		submit_free(jobs, *slot);
	htab_free(jobs->submits);
}

size_t job_submits_memory(const struct core *c)
{
	struct job_submit **slot;
	size_t n = 0;
	size_t iter = 0;

	while ((slot = htab_next(jobs_of(c)->submits, &iter, NULL)))
		n += (*slot)->memory;
	return n;
}

/* The owner key may name this node, now or after a late write: the loader checks. */
static void hand_to_loader(struct core *c, struct job_submit *s)
{
	job_load_recheck_owner(c, s->spec);
	s->spec = NULL;
}

static void submit_refuse(struct core *c, struct job_submit *s, enum err e)
{
	bool maybe_taken =
		s->owner_maybe_written || (s->busy && s->step == SUBMIT_OWNER);
	enum run_state run = maybe_taken ? RUN_MAYBE : RUN_NO;

	if (maybe_taken)
		e = ERR_TIMEOUT;
	log_event(EV_JOB_REFUSED, "batch=%s error=%s run=%s", s->spec->id,
		  err_code(e), run_state_name(run));
	job_caller_refuse(c, &s->caller, e, run, kv_retry_after(c));
	if (maybe_taken && s->owner_write_begun)
		hand_to_loader(c, s);
	submit_free(jobs_of(c), s);
}

static void answer_accepted(struct core *c, const struct job_caller *to)
{
	job_caller_answer(c, to, 202, "application/json", "{}", 2);
}

static void submit_accept(struct core *c, struct job_submit *s)
{
	histogram_add(H_BATCH_TAKEN,
		      core_now(c) + SUBMIT_TIMEOUT_MS - s->deadline_ms);
	answer_accepted(c, &s->caller);
	submit_free(jobs_of(c), s);
}

/* Runs a batch whose owner key this submission created: it has no records yet. */
static struct job *start_created(struct core *c, struct job_submit *s,
				 uint64_t rev)
{
	struct job *j = job_find_or_create(c, s->spec->id);

	if (!j || jobs_of(c)->handover.closed)
		return NULL;
	j->owner_known = true;
	j->owner = s->owner;
	j->owner_rev = rev;
	log_event(EV_JOB_TAKEN,
		  "batch=%s team=%s model=%s step=%lld items=%zu "
		  "min_version=%llu",
		  s->spec->id, s->spec->team, s->spec->model,
		  (long long)s->spec->step, s->spec->n_items,
		  (unsigned long long)s->spec->min_version);
	if (job_start(c, j, s->spec) != ERR_OK)
		return NULL;
	s->spec = NULL;
	return j;
}

static void submit_created(struct core *c, struct job_submit *s, uint64_t rev)
{
	struct job *j = start_created(c, s, rev);

	if (!j) {
		job_load_owned(c, s->spec, &s->owner, rev);
		s->spec = NULL;
	}
	submit_accept(c, s);
	if (j)
		job_step(c, j);
}

/* The owner key exists. If it names this node, the batch may have records, and a takeover
 * may be reading them: only a load may start it. */
static void submit_exists(struct core *c, struct job_submit *s, uint64_t rev)
{
	const struct job *j = job_find(c, s->spec->id);

	if (job_owner_is_self(c, &s->owner) && !s->owner.ended &&
	    !s->owner.complete && !(j && j->running)) {
		job_load_owned(c, s->spec, &s->owner, rev);
		s->spec = NULL;
	}
	submit_accept(c, s);
}

static void submit_schedule(struct core *c, struct job_submit *s,
			    enum submit_step step, int64_t wait_ms)
{
	s->step = step;
	s->next_ms = core_now(c) + wait_ms;
}

static void on_body(struct core *c, struct job_submit *s,
		    const struct kv_result *res)
{
	/* On a conflict an earlier submission wrote the same batch. */
	if (res->err == ERR_OK || res->err == ERR_KV_CONFLICT) {
		free(s->batch_value);
		s->batch_value = NULL;
		s->memory = s->spec->arena.used;
		submit_schedule(c, s, SUBMIT_OWNER, 0);
	} else if (res->err == ERR_TOO_LARGE || res->err == ERR_INVALID) {
		submit_refuse(c, s, res->err);
	} else {
		submit_schedule(c, s, SUBMIT_BODY, JOB_RETRY_MS);
	}
}

static void on_owner(struct core *c, struct job_submit *s,
		     const struct kv_result *res)
{
	if (res->err == ERR_OK) {
		submit_created(c, s, res->rev);
		return;
	}
	if (res->err == ERR_KV_UNKNOWN)
		s->owner_maybe_written = true;
	submit_schedule(c, s,
			res->err == ERR_KV_DOWN ? SUBMIT_OWNER : SUBMIT_CHECK,
			res->err == ERR_KV_CONFLICT ? 0 : JOB_RETRY_MS);
}

static void on_check(struct core *c, struct job_submit *s,
		     const struct kv_result *res)
{
	struct job_owner owner;

	if (res->err == ERR_NOT_FOUND) {
		submit_schedule(c, s, SUBMIT_OWNER, 0);
	} else if (res->err != ERR_OK) {
		submit_schedule(c, s, SUBMIT_CHECK, JOB_RETRY_MS);
	} else if (job_owner_parse(&res->items[0], &owner) == ERR_OK) {
		s->owner = owner;
		submit_exists(c, s, res->items[0].rev);
	} else {
		log_event(EV_JOB_BAD, "key=%s", res->items[0].key);
		submit_refuse(c, s, ERR_INTERNAL);
	}
}

static void submit_call(struct core *c, struct job_submit *s);

static void on_answer(struct core *c, void *ctx, const struct kv_result *res)
{
	static void (*const handlers[])(struct core * c, struct job_submit * s,
					const struct kv_result *res) = {
		[SUBMIT_BODY] = on_body,
		[SUBMIT_OWNER] = on_owner,
		[SUBMIT_CHECK] = on_check,
	};
	struct job_submit *s = submit_of(c, ctx);

	if (!s)
		return;
	s->busy = false;
	handlers[s->step](c, s, res);
	s = submit_of(c, ctx);
	if (s)
		submit_call(c, s);
}

static enum err submit_put_body(struct core *c, const struct job_submit *s,
				struct kv_cb cb)
{
	char key[STORE_KEY_SIZE];
	const struct kv_put_opts put = {
		.key = key,
		.value = s->batch_value,
		.len = s->batch_value_len,
	};

	snprintf(key, sizeof(key), KEY_BATCH "%s", s->spec->id);
	return kv_put(c, &put, cb);
}

static enum err submit_step(struct core *c, struct job_submit *s)
{
	const struct kv_cb cb = {on_answer, (void *)(uintptr_t)s->self};
	char key[STORE_KEY_SIZE];

	switch (s->step) {
	case SUBMIT_BODY:
		return submit_put_body(c, s, cb);
	case SUBMIT_OWNER:
		s->owner_write_begun = true;
		return job_owner_put(c, s->spec->id, &s->owner, 0, cb);
	case SUBMIT_CHECK:
		snprintf(key, sizeof(key), KEY_RUN "%s", s->spec->id);
		return kv_get(c, key, cb);
	}
	return ERR_INTERNAL;
}

static void submit_call(struct core *c, struct job_submit *s)
{
	enum err e;

	lead_mod_want_live_key(c);
	if (s->busy || core_now(c) < s->next_ms)
		return;
	/* An owner must hold a liveness key, or its loss would go unnoticed. */
	if (s->step == SUBMIT_OWNER && !lead_mod_live_key_held(c)) {
		s->next_ms = core_now(c) + SUBMIT_ALIVE_POLL_MS;
		return;
	}
	e = submit_step(c, s);
	s->busy = e == ERR_OK;
	if (s->busy)
		return;
	if (e == ERR_TOO_LARGE || e == ERR_INVALID)
		submit_refuse(c, s, e);
	else
		s->next_ms = core_now(c) + JOB_RETRY_MS;
}

void job_submits_step(struct core *c)
{
	struct jobs *jobs = jobs_of(c);
	struct job_submit **slot;
	size_t iter = 0;

	while ((slot = htab_next(jobs->submits, &iter, NULL))) {
		if (core_now(c) >= (*slot)->deadline_ms)
			submit_refuse(c, *slot, ERR_KV_DOWN);
		else
			submit_call(c, *slot);
	}
}

/* Refuses a submission of which this node has written nothing. Another node may have
 * accepted it: then no status may say that it does not run. */
static void refuse_begin(struct core *c, const struct job_caller *to,
			 enum err e, bool maybe_taken)
{
	if (maybe_taken)
		e = ERR_TIMEOUT;
	job_caller_refuse(c, to, e, maybe_taken ? RUN_MAYBE : RUN_NO,
			  kv_retry_after(c));
}

static void submit_start(struct core *c, const struct job_caller *to,
			 const struct home_request *request,
			 struct job_spec *spec, bool maybe_taken)
{
	struct jobs *jobs = jobs_of(c);
	struct job_submit *s = calloc(1, sizeof(*s));
	struct job_submit **slot;
	htab_handle h;

	slot = s ? htab_add(jobs->submits, &h) : NULL;
	if (!slot) {
		free(s);
		job_spec_free(spec);
		refuse_begin(c, to, ERR_FULL, maybe_taken);
		return;
	}
	*slot = s;
	s->self = h;
	s->caller = *to;
	s->spec = spec;
	s->memory = job_memory_of_submission(request->body, request->len);
	s->owner_maybe_written = maybe_taken;
	s->deadline_ms = core_now(c) + SUBMIT_TIMEOUT_MS;
	s->owner.total = spec->n_items;
	s->owner.submitted_ms = spec->at_ms;
	snprintf(s->owner.node, sizeof(s->owner.node), "%s", core_node(c));
	snprintf(s->owner.incarnation, sizeof(s->owner.incarnation), "%s",
		 core_incarnation(c));
	snprintf(s->owner.team, sizeof(s->owner.team), "%s", spec->team);
	s->batch_value = job_batch_encode(spec, request->body, request->len,
					  &s->batch_value_len);
	if (s->batch_value)
		submit_call(c, s);
	else
		submit_refuse(c, s, ERR_NOMEM);
}

/* Refuses a submission before this node writes anything of it to the store. */
static bool refuse_early(struct core *c, const struct job_caller *to,
			 bool maybe_taken)
{
	bool draining = jobs_of(c)->draining || jobs_of(c)->handover.closed;
	enum err e = draining ? ERR_HTTP_DRAINING : ERR_KV_DOWN;

	if (!draining && (lead_mod_live_key_held(c) ||
			  site_mod_conf_age_ms(c) < SUBMIT_OUTAGE_HOLD_MS))
		return false;
	refuse_begin(c, to, e, maybe_taken);
	return true;
}

void job_submit_begin(struct core *c, const struct job_caller *to,
		      const struct home_request *request, bool maybe_taken)
{
	struct job *j = job_find(c, request->job);
	struct job_spec *spec = NULL;
	enum err e;

	if (j && j->running) {
		answer_accepted(c, to);
		return;
	}
	if (refuse_early(c, to, maybe_taken))
		return;
	e = job_memory_admit_body(c, request->job, request->body, request->len);
	if (e == ERR_OK)
		e = jobs_of(c)->wire->front->batch(request->body, request->len,
						   &spec);
	if (e == ERR_FULL || e == ERR_NOMEM) {
		refuse_begin(c, to, e, maybe_taken);
		return;
	}
	if (e != ERR_OK) {
		job_caller_refuse(c, to, e, RUN_NO, 0);
		return;
	}
	snprintf(spec->id, sizeof(spec->id), "%s", request->job);
	snprintf(spec->host, sizeof(spec->host), "%s", request->host);
	snprintf(spec->path, sizeof(spec->path), "%s", request->path);
	snprintf(spec->team, sizeof(spec->team), "%s", request->team);
	spec->at_ms = clock_wall_ms();
	submit_start(c, to, request, spec, maybe_taken);
}
