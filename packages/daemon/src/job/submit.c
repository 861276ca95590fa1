// Takes a batch: its body into the store, then its owner key, then the answer.
//
// The owner key decides: a batch without one is never run. So a batch whose body
// was written and nothing else may be refused with "not run".
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
	/// A submission that the store does not settle in this time is answered
	/// with an unknown outcome; its trainer asks again elsewhere.
	SUBMIT_MAX_MS = 3000,
	SUBMIT_ALIVE_MS =
		10, ///< between two looks for this node's liveness key
	/// A submission is held while the store was there so lately: a short
	/// outage is over before its trainer would have come back.
	SUBMIT_HOLD_MS = 3600,
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
	bool busy; ///< a call is outstanding
	bool owner_unknown; ///< a write of the owner key may have taken effect
	bool owner_put; ///< this node began to write the owner key
	int64_t next_ms;
	int64_t until_ms;
	struct job_owner owner;
	struct job_spec *spec;
	char *text; ///< value of the batch's key
	size_t text_len;
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
	free(s->text);
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

/* The owner key may name this node, now or later: it has to run the batch then. */
static void leave_to_load(struct core *c, struct job_submit *s)
{
	job_load_settle(c, s->spec);
	s->spec = NULL;
}

static void submit_refuse(struct core *c, struct job_submit *s, enum err e)
{
	bool maybe = s->owner_unknown || (s->busy && s->step == SUBMIT_OWNER);
	enum run_state run = maybe ? RUN_MAYBE : RUN_NO;

	if (maybe)
		e = ERR_TIMEOUT;
	log_event(EV_JOB_REFUSED, "batch=%s error=%s run=%s", s->spec->id,
		  err_code(e), run_state_name(run));
	job_caller_refuse(c, &s->caller, e, run, kv_retry_after(c));
	if (maybe && s->owner_put)
		leave_to_load(c, s);
	submit_free(jobs_of(c), s);
}

static void accepted(struct core *c, const struct job_caller *to)
{
	job_caller_answer(c, to, 202, "application/json", "{}", 2);
}

/* The batch is taken, by this node if the key says so. */
static void submit_done(struct core *c, struct job_submit *s, uint64_t rev)
{
	struct jobs *jobs = jobs_of(c);
	bool mine = job_owner_me(c, &s->owner) && !s->owner.ended;
	struct job *j = mine ? job_get(c, s->spec->id) : NULL;

	if (j && !j->running) {
		j->known = true;
		j->owner = s->owner;
		j->owner_rev = rev;
		log_event(EV_JOB_TAKEN,
			  "batch=%s team=%s model=%s step=%lld items=%zu "
			  "min_version=%llu",
			  s->spec->id, s->spec->team, s->spec->model,
			  (long long)s->spec->step, s->spec->n_items,
			  (unsigned long long)s->spec->min_version);
		if (job_start(c, j, s->spec) == ERR_OK)
			s->spec = NULL;
	}
	histogram_add(H_BATCH_TAKEN, core_now(c) + SUBMIT_MAX_MS - s->until_ms);
	accepted(c, &s->caller);
	if (mine && !(j && j->running))
		leave_to_load(c, s);
	submit_free(jobs, s);
	if (j && j->running)
		job_step(c, j);
}

static void submit_wait(struct core *c, struct job_submit *s,
			enum submit_step step, int64_t wait_ms)
{
	s->step = step;
	s->next_ms = core_now(c) + wait_ms;
}

static void on_body(struct core *c, struct job_submit *s,
		    const struct kv_result *res)
{
	/* A batch that is there already came with an earlier attempt. */
	if (res->err == ERR_OK || res->err == ERR_KV_CONFLICT)
		submit_wait(c, s, SUBMIT_OWNER, 0);
	else if (res->err == ERR_TOO_LARGE || res->err == ERR_INVALID)
		submit_refuse(c, s, res->err);
	else
		submit_wait(c, s, SUBMIT_BODY, JOB_RETRY_MS);
}

static void on_owner(struct core *c, struct job_submit *s,
		     const struct kv_result *res)
{
	if (res->err == ERR_OK) {
		submit_done(c, s, res->rev);
		return;
	}
	if (res->err == ERR_KV_UNKNOWN)
		s->owner_unknown = true;
	submit_wait(c, s, res->err == ERR_KV_DOWN ? SUBMIT_OWNER : SUBMIT_CHECK,
		    res->err == ERR_KV_CONFLICT ? 0 : JOB_RETRY_MS);
}

static void on_check(struct core *c, struct job_submit *s,
		     const struct kv_result *res)
{
	struct job_owner owner;

	if (res->err == ERR_NOT_FOUND) {
		submit_wait(c, s, SUBMIT_OWNER, 0);
	} else if (res->err != ERR_OK) {
		submit_wait(c, s, SUBMIT_CHECK, JOB_RETRY_MS);
	} else if (job_owner_parse(&res->items[0], &owner) == ERR_OK) {
		s->owner = owner;
		submit_done(c, s, res->items[0].rev);
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
	char key[STORE_KEY];
	const struct kv_put_opts put = {
		.key = key,
		.value = s->text,
		.len = s->text_len,
	};

	snprintf(key, sizeof(key), KEY_BATCH "%s", s->spec->id);
	return kv_put(c, &put, cb);
}

static enum err submit_step(struct core *c, struct job_submit *s)
{
	const struct kv_cb cb = {on_answer, (void *)(uintptr_t)s->self};
	char key[STORE_KEY];

	switch (s->step) {
	case SUBMIT_BODY:
		return submit_put_body(c, s, cb);
	case SUBMIT_OWNER:
		s->owner_put = true;
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

	lead_mod_want_alive(c);
	if (s->busy || core_now(c) < s->next_ms)
		return;
	/* Whoever owns a batch can be missed. */
	if (s->step == SUBMIT_OWNER && !lead_mod_alive(c)) {
		s->next_ms = core_now(c) + SUBMIT_ALIVE_MS;
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
		if (core_now(c) >= (*slot)->until_ms)
			submit_refuse(c, *slot, ERR_KV_DOWN);
		else
			submit_call(c, *slot);
	}
}

static void submit_go(struct core *c, const struct job_caller *to,
		      const struct home_ask *ask, struct job_spec *spec,
		      bool maybe)
{
	struct jobs *jobs = jobs_of(c);
	struct job_submit *s = calloc(1, sizeof(*s));
	struct job_submit **slot;
	htab_handle h;

	slot = s ? htab_add(jobs->submits, &h) : NULL;
	if (!slot) {
		free(s);
		job_spec_free(spec);
		job_caller_refuse(c, to, ERR_FULL, maybe ? RUN_MAYBE : RUN_NO,
				  kv_retry_after(c));
		return;
	}
	*slot = s;
	s->self = h;
	s->caller = *to;
	s->spec = spec;
	s->owner_unknown = maybe;
	s->until_ms = core_now(c) + SUBMIT_MAX_MS;
	s->owner.total = spec->n_items;
	s->owner.at_ms = spec->at_ms;
	snprintf(s->owner.node, sizeof(s->owner.node), "%s", core_node(c));
	snprintf(s->owner.run, sizeof(s->owner.run), "%s", core_incarnation(c));
	snprintf(s->owner.team, sizeof(s->owner.team), "%s", spec->team);
	s->text = job_batch_text(spec, ask->body, ask->len, &s->text_len);
	if (s->text)
		submit_call(c, s);
	else
		submit_refuse(c, s, ERR_NOMEM);
}

/* Refuse before anything of the batch is in the store through this node. */
static bool refuse_early(struct core *c, const struct job_caller *to,
			 bool maybe)
{
	bool draining = jobs_of(c)->draining || jobs_of(c)->leave.left;
	enum err e = draining ? ERR_HTTP_DRAINING : ERR_KV_DOWN;

	if (!draining &&
	    (lead_mod_alive(c) || site_mod_age(c) < SUBMIT_HOLD_MS))
		return false;
	if (maybe)
		e = ERR_TIMEOUT;
	job_caller_refuse(c, to, e, maybe ? RUN_MAYBE : RUN_NO,
			  kv_retry_after(c));
	return true;
}

void job_submit_begin(struct core *c, const struct job_caller *to,
		      const struct home_ask *ask, bool maybe)
{
	struct job *j = job_find(c, ask->job);
	struct job_spec *spec = NULL;
	enum err e;

	if (j && j->running) {
		accepted(c, to);
		return;
	}
	if (refuse_early(c, to, maybe))
		return;
	e = jobs_of(c)->wire->front->batch(ask->body, ask->len, &spec);
	if (e != ERR_OK) {
		job_caller_refuse(c, to, e, RUN_NO, 0);
		return;
	}
	snprintf(spec->id, sizeof(spec->id), "%s", ask->job);
	snprintf(spec->host, sizeof(spec->host), "%s", ask->host);
	snprintf(spec->path, sizeof(spec->path), "%s", ask->path);
	snprintf(spec->team, sizeof(spec->team), "%s", ask->team);
	spec->at_ms = clock_wall_ms();
	submit_go(c, to, ask, spec, maybe);
}
