// Ends a batch for its trainer: writes the end to the owner key, then answers.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "job/job.h"
#include "store_keys.h"

enum {
	END_TIMEOUT_MS = 3000, ///< the trainer is then asked to retry
	END_RETRY_AFTER_MS = 500,
};

struct job_end {
	htab_handle self;
	struct job_caller caller;
	char id[JOB_ID_BYTES];
	char team[JOB_ID_BYTES];
	bool busy; ///< a store call is in flight
	bool write_due; ///< the owner key was read and has to be written
	struct job_owner owner;
	uint64_t rev; ///< of the owner key
	int64_t next_ms;
	int64_t deadline_ms;
};

static struct job_end *end_of(const struct core *c, void *ctx)
{
	struct job_end **slot =
		htab_get(jobs_of(c)->ends, (htab_handle)(uintptr_t)ctx);

	return slot ? *slot : NULL;
}

static void end_free(struct jobs *jobs, struct job_end *e)
{
	htab_del(jobs->ends, e->self);
	free(e);
}

void job_ends_free(struct jobs *jobs)
{
	struct job_end **slot;
	size_t iter = 0;

	while ((slot = htab_next(jobs->ends, &iter, NULL)))
		end_free(jobs, *slot);
	htab_free(jobs->ends);
}

static void end_refuse(struct core *c, struct job_end *e, enum err err)
{
	job_caller_refuse(c, &e->caller, err, err_run(err),
			  err == ERR_BATCH_UNKNOWN ? 0 : END_RETRY_AFTER_MS);
	end_free(jobs_of(c), e);
}

/* The end is in the store: cancels the batch's attempts and answers. */
static void end_done(struct core *c, struct job_end *e, uint64_t rev)
{
	struct job *j = job_find(c, e->id);

	log_event(EV_JOB_ENDED, "batch=%s team=%s owner=%s rev=%llu", e->id,
		  e->team, e->owner.node, (unsigned long long)rev);
	if (j && rev > j->owner_rev) {
		j->owner_known = true;
		j->owner = e->owner;
		j->owner_rev = rev;
	}
	if (j && j->running)
		job_cancel_attempts(c, j);
	job_caller_answer(c, &e->caller, 200, "application/json", "{}", 2);
	end_free(jobs_of(c), e);
}

static void end_call(struct core *c, struct job_end *e);

static void on_read(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_end *e = end_of(c, ctx);

	if (!e)
		return;
	e->busy = false;
	e->next_ms = core_now(c) + JOB_RETRY_MS;
	if (res->err == ERR_NOT_FOUND) {
		end_refuse(c, e, ERR_BATCH_UNKNOWN);
		return;
	}
	if (res->err != ERR_OK)
		return;
	if (job_owner_parse(&res->items[0], &e->owner) != ERR_OK) {
		log_event(EV_JOB_BAD, "key=%s", res->items[0].key);
		end_refuse(c, e, ERR_KV_DOWN);
		return;
	}
	e->rev = res->items[0].rev;
	if (strcmp(e->owner.team, e->team) != 0) {
		end_refuse(c, e, ERR_BATCH_UNKNOWN);
	} else if (e->owner.ended) {
		end_done(c, e, e->rev);
	} else {
		e->write_due = true;
		e->next_ms = 0;
		end_call(c, e);
	}
}

static void on_written(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_end *e = end_of(c, ctx);

	if (!e)
		return;
	e->busy = false;
	e->write_due = false;
	if (res->err == ERR_OK) {
		end_done(c, e, res->rev);
		return;
	}
	e->next_ms =
		core_now(c) + (res->err == ERR_KV_CONFLICT ? 0 : JOB_RETRY_MS);
	end_call(c, e);
}

static void end_call(struct core *c, struct job_end *e)
{
	const struct kv_cb read = {on_read, (void *)(uintptr_t)e->self};
	const struct kv_cb written = {on_written, (void *)(uintptr_t)e->self};
	char key[STORE_KEY_SIZE];
	enum err err;

	if (e->busy || core_now(c) < e->next_ms)
		return;
	snprintf(key, sizeof(key), KEY_RUN "%s", e->id);
	e->owner.ended = e->write_due;
	err = e->write_due ? job_owner_put(c, e->id, &e->owner, e->rev, written)
			   : kv_get(c, key, read);
	e->busy = err == ERR_OK;
	if (!e->busy)
		e->next_ms = core_now(c) + JOB_RETRY_MS;
}

void job_ends_step(struct core *c)
{
	struct job_end **slot;
	size_t iter = 0;

	while ((slot = htab_next(jobs_of(c)->ends, &iter, NULL))) {
		if (core_now(c) >= (*slot)->deadline_ms)
			end_refuse(c, *slot, ERR_TIMEOUT);
		else
			end_call(c, *slot);
	}
}

/* Uses the owner key as this node knows it, which saves a read. If its revision is
 * outdated, the write fails and the key is read. */
static void end_from_known(struct job_end *e, const struct job *j)
{
	if (!j || !j->owner_known || !j->owner_rev ||
	    strcmp(j->owner.team, e->team) != 0)
		return;
	e->owner = j->owner;
	e->rev = j->owner_rev;
	e->write_due = !j->owner.ended;
}

void job_end_begin(struct core *c, const struct job_caller *to,
		   const struct home_request *request)
{
	struct job_end *e = calloc(1, sizeof(*e));
	htab_handle h;
	struct job_end **slot = e ? htab_add(jobs_of(c)->ends, &h) : NULL;

	if (!slot) {
		free(e);
		job_caller_refuse(c, to, ERR_FULL, RUN_NO, END_RETRY_AFTER_MS);
		return;
	}
	*slot = e;
	e->self = h;
	e->caller = *to;
	e->deadline_ms = core_now(c) + END_TIMEOUT_MS;
	snprintf(e->id, sizeof(e->id), "%s", request->job);
	snprintf(e->team, sizeof(e->team), "%s", request->team);
	end_from_known(e, job_find(c, request->job));
	end_call(c, e);
}

bool job_requests_idle(const struct core *c)
{
	const struct jobs *jobs = jobs_of(c);

	return htab_count(jobs->submits) == 0 && htab_count(jobs->ends) == 0;
}
