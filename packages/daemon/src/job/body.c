// Serves reads of items' bodies, at any node.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job/job.h"
#include "store_keys.h"

/// Read that waits for the store.
struct job_body_read {
	struct job_body_read *next;
	struct job_caller caller;
	char job[JOB_ID_BYTES];
	char item[JOB_ID_BYTES];
	char team[JOB_ID_BYTES];
};

static void answer(struct core *c, const struct job_caller *to,
		   const struct job_spec *spec, const char *item)
{
	for (size_t i = 0; i < spec->n_items; i++) {
		const struct job_item *it = &spec->items[i];

		if (strcmp(it->id, item) != 0)
			continue;
		job_caller_answer(c, to, 200, "application/octet-stream",
				  it->body, it->body_len);
		return;
	}
	job_caller_refuse(c, to, ERR_BATCH_UNKNOWN, RUN_NO, 0);
}

static void answer_read(struct core *c, const struct job_body_read *b,
			const struct job_spec *spec, enum err e)
{
	if (e == ERR_NOT_FOUND ||
	    (e == ERR_OK && strcmp(spec->team, b->team) != 0))
		job_caller_refuse(c, &b->caller, ERR_BATCH_UNKNOWN, RUN_NO, 0);
	else if (e != ERR_OK)
		job_caller_refuse(c, &b->caller, ERR_KV_DOWN, RUN_NO,
				  JOB_READ_RETRY_AFTER_MS);
	else
		answer(c, &b->caller, spec, b->item);
}

static void answer_reads(struct core *c, const char *job,
			 const struct job_spec *spec, enum err e)
{
	struct job_body_read **link = &jobs_of(c)->body_reads;

	while (*link) {
		struct job_body_read *b = *link;

		if (strcmp(b->job, job) != 0) {
			link = &b->next;
			continue;
		}
		*link = b->next;
		answer_read(c, b, spec, e);
		free(b);
	}
}

static void start_reads(struct core *c);

static void on_batch(struct core *c, void *ctx, const struct kv_result *res)
{
	struct jobs *jobs = jobs_of(c);
	int row = (int)(uintptr_t)ctx;
	struct job_spec *spec = NULL;
	char id[JOB_ID_BYTES];
	size_t bytes = 0;
	enum err e = res->err;

	strcpy(id, jobs->bodies.rows[row].id);
	if (e == ERR_OK) {
		bytes = res->items[0].len;
		e = job_batch_parse(jobs, id, res->items[0].value, bytes,
				    &spec);
	}
	answer_reads(c, id, spec, e);
	if (!body_cache_end(&jobs->bodies, row, spec, bytes, core_now(c)))
		job_spec_free(spec);
	start_reads(c);
}

/* @return false if the store can't be called: the batch's reads are refused */
static bool start_read(struct core *c, const char *job, int row)
{
	struct jobs *jobs = jobs_of(c);
	char key[STORE_KEY_SIZE];

	snprintf(key, sizeof(key), KEY_BATCH "%s", job);
	if (kv_get(c, key, (struct kv_cb){on_batch, (void *)(uintptr_t)row}) ==
	    ERR_OK)
		return true;
	body_cache_end(&jobs->bodies, row, NULL, 0, core_now(c));
	return false;
}

/* Starts what is not being read yet, as far as there are rows. */
static void start_reads(struct core *c)
{
	struct jobs *jobs = jobs_of(c);
	struct job_body_read *b = jobs->body_reads;

	while (b) {
		int row = body_cache_begin(&jobs->bodies, b->job, core_now(c));
		char job[JOB_ID_BYTES];

		strcpy(job, b->job);
		b = b->next;
		if (row < 0 || start_read(c, job, row))
			continue;
		answer_reads(c, job, NULL, ERR_FULL);
		b = jobs->body_reads;
	}
}

static void wait_for_store(struct core *c, const struct job_caller *to,
			   const struct home_request *request)
{
	struct jobs *jobs = jobs_of(c);
	struct job_body_read *b = calloc(1, sizeof(*b));

	if (!b) {
		job_caller_refuse(c, to, ERR_FULL, RUN_NO,
				  JOB_READ_RETRY_AFTER_MS);
		return;
	}
	b->caller = *to;
	snprintf(b->job, sizeof(b->job), "%s", request->job);
	snprintf(b->item, sizeof(b->item), "%s", request->item);
	snprintf(b->team, sizeof(b->team), "%s", request->team);
	b->next = jobs->body_reads;
	jobs->body_reads = b;
	start_reads(c);
}

void job_read_body(struct core *c, const struct job_caller *to,
		   const struct home_request *request)
{
	struct job *j = job_find(c, request->job);
	const struct job_spec *spec =
		j && j->running ? j->spec
				: body_cache_find(&jobs_of(c)->bodies,
						  request->job, core_now(c));

	if (spec && strcmp(spec->team, request->team) == 0)
		answer(c, to, spec, request->item);
	else if (spec)
		job_caller_refuse(c, to, ERR_BATCH_UNKNOWN, RUN_NO, 0);
	else
		wait_for_store(c, to, request);
}

void job_bodies_step(struct core *c)
{
	body_cache_expire(&jobs_of(c)->bodies, core_now(c));
}

void job_bodies_free(struct jobs *jobs)
{
	while (jobs->body_reads) {
		struct job_body_read *b = jobs->body_reads;

		jobs->body_reads = b->next;
		free(b);
	}
	body_cache_free(&jobs->bodies);
}
