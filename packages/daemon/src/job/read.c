// Serves reads of a batch's results and of its items' bodies, at any node.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "job/job.h"
#include "store_keys.h"

enum {
	PAGE_MAX_BYTES = 900000, ///< of texts, below the callers' limit
	READ_RETRY_AFTER_MS = 500,
};

static struct job_reader *reader_of(const struct core *c, void *ctx)
{
	return htab_get(jobs_of(c)->readers, (htab_handle)(uintptr_t)ctx);
}

static void reader_free(struct core *c, struct job_reader *r)
{
	htab_del(jobs_of(c)->readers, r->self);
}

static void reader_refuse(struct core *c, struct job_reader *r, enum err e)
{
	struct job_caller to = r->caller;

	reader_free(c, r);
	job_caller_refuse(c, &to, e, err_run(e),
			  e == ERR_BATCH_UNKNOWN ? 0 : READ_RETRY_AFTER_MS);
}

static void reader_answer(struct core *c, struct job_reader *r,
			  const struct job *j)
{
	struct job_page page =
		job_list_page(&j->list, r->after, PAGE_MAX_BYTES);
	struct job_caller to = r->caller;
	char *text;

	page.total = j->owner.total;
	text = jobs_of(c)->wire->front->results(&page);
	reader_free(c, r);
	if (text)
		job_caller_answer(c, &to, 200, "application/json", text,
				  strlen(text));
	else
		job_caller_refuse(c, &to, ERR_NOMEM, RUN_NO,
				  READ_RETRY_AFTER_MS);
	free(text);
}

/* Whether the list has results that the reader has not seen, or is complete. */
static bool has_news(const struct job *j, const struct job_reader *r)
{
	return j->list.n > r->after || j->list.n >= j->owner.total;
}

void job_readers_wake(struct core *c, struct job *j)
{
	struct job_reader *r;
	size_t iter = 0;

	while ((r = htab_next(jobs_of(c)->readers, &iter, NULL))) {
		if (r->job == j->self && j->owner_known && has_news(j, r) &&
		    !r->busy)
			reader_answer(c, r, j);
	}
}

void job_readers_step(struct core *c)
{
	struct job_reader *r;
	size_t iter = 0;

	while ((r = htab_next(jobs_of(c)->readers, &iter, NULL))) {
		struct job *j = htab_get(jobs_of(c)->jobs, r->job);

		if (!j)
			reader_refuse(c, r, ERR_KV_DOWN);
		else if (!r->busy && core_now(c) >= r->deadline_ms)
			reader_answer(c, r, j);
	}
}

/* Adds records to the list. The store returns them in the order of their numbers,
 * which are the last parts of their keys. */
static enum err add_records(struct job *j, const struct kv_result *res)
{
	enum err e = ERR_OK;

	for (size_t i = 0; i < res->n_items && e == ERR_OK; i++) {
		const char *slash = strrchr(res->items[i].key, '/');

		e = job_list_add(&j->list, strtoull(slash + 1, NULL, 10),
				 res->items[i].value, res->items[i].len);
	}
	if (e != ERR_OK)
		log_event(EV_JOB_BAD, "batch=%s record=%llu error=%s", j->id,
			  (unsigned long long)j->list.records, err_code(e));
	if (e == ERR_OK && !res->more && res->rev > j->list.rev)
		j->list.rev = res->rev;
	return e;
}

static void read_records(struct core *c, struct job_reader *r, struct job *j);

static void on_records(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_reader *r = reader_of(c, ctx);
	struct job *j = r ? htab_get(jobs_of(c)->jobs, r->job) : NULL;
	enum err e = res->err;

	if (!r)
		return;
	r->busy = false;
	if (e == ERR_KV_HISTORY && j) {
		r->listed = false;
		j->list.rev = 0;
		read_records(c, r, j);
		return;
	}
	if (e == ERR_OK && j)
		e = add_records(j, res);
	if (e != ERR_OK || !j)
		reader_refuse(c, r, e == ERR_OK ? ERR_FULL : ERR_KV_DOWN);
	else if (res->more)
		read_records(c, r, j);
	else if (has_news(j, r) || core_now(c) >= r->deadline_ms)
		reader_answer(c, r, j);
	else
		read_records(c, r, j);
}

/* Watches for records written after those in the list; lists the records if the list
 * is empty or the reader does not wait. */
static void read_records(struct core *c, struct job_reader *r, struct job *j)
{
	const struct kv_cb cb = {on_records, (void *)(uintptr_t)r->self};
	int64_t wait_ms = r->deadline_ms - core_now(c);
	char prefix[STORE_KEY_SIZE];
	char from[STORE_KEY_SIZE];
	enum err e;

	snprintf(prefix, sizeof(prefix), KEY_RECORD "%s/", j->id);
	snprintf(from, sizeof(from), KEY_RECORD "%s/%08llu", j->id,
		 (unsigned long long)j->list.records - 1);
	if ((r->listed || j->list.rev) && wait_ms > 0)
		e = kv_watch(c, prefix, j->list.rev, wait_ms, cb);
	else
		e = kv_list_after(c, prefix, j->list.records ? from : NULL, cb);
	r->listed = true;
	r->busy = e == ERR_OK;
	if (!r->busy)
		reader_refuse(c, r, ERR_KV_DOWN);
}

static void reader_serve(struct core *c, struct job_reader *r, struct job *j)
{
	if (strcmp(j->owner.team, r->team) != 0) {
		reader_refuse(c, r, ERR_BATCH_UNKNOWN);
		return;
	}
	/* No other node writes while this node runs the batch, and results not seen in
	 * the store have no position. A list of all results is final. */
	if (j->running || j->list.n >= j->owner.total) {
		if (has_news(j, r) || core_now(c) >= r->deadline_ms)
			reader_answer(c, r, j);
		return;
	}
	read_records(c, r, j);
}

static void on_owner(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_reader *r = reader_of(c, ctx);
	struct job *j = r ? htab_get(jobs_of(c)->jobs, r->job) : NULL;
	struct job_owner owner;

	if (!r)
		return;
	r->busy = false;
	if (res->err == ERR_NOT_FOUND) {
		reader_refuse(c, r, ERR_BATCH_UNKNOWN);
	} else if (res->err != ERR_OK || !j) {
		reader_refuse(c, r, ERR_KV_DOWN);
	} else if (job_owner_parse(&res->items[0], &owner) != ERR_OK) {
		log_event(EV_JOB_BAD, "key=%s", res->items[0].key);
		reader_refuse(c, r, ERR_KV_DOWN);
	} else {
		if (!j->running && res->items[0].rev > j->owner_rev) {
			j->owner = owner;
			j->owner_rev = res->items[0].rev;
		}
		j->owner_known = true;
		reader_serve(c, r, j);
	}
}

static void read_owner(struct core *c, struct job_reader *r,
		       const struct job *j)
{
	char key[STORE_KEY_SIZE];
	const struct kv_cb cb = {on_owner, (void *)(uintptr_t)r->self};

	snprintf(key, sizeof(key), KEY_RUN "%s", j->id);
	r->busy = kv_get(c, key, cb) == ERR_OK;
	if (!r->busy)
		reader_refuse(c, r, ERR_KV_DOWN);
}

static void on_reader_abort(struct core *c, struct core_req *req, void *user)
{
	struct job_reader *r = reader_of(c, user);

	if (r)
		reader_free(c, r);
}

void job_read_results(struct core *c, const struct job_caller *to,
		      const struct home_request *request)
{
	struct job *j = job_find_or_create(c, request->job);
	struct core_req *req = core_req_get(c, to->req);
	htab_handle h;
	struct job_reader *r = j ? htab_add(jobs_of(c)->readers, &h) : NULL;

	if (!r) {
		job_caller_refuse(c, to, ERR_FULL, RUN_NO, READ_RETRY_AFTER_MS);
		return;
	}
	*r = (struct job_reader){
		.self = h,
		.caller = *to,
		.job = j->self,
		.after = request->after,
		.deadline_ms = core_now(c) + request->wait_ms,
	};
	snprintf(r->team, sizeof(r->team), "%s", request->team);
	if (req) {
		req->on_abort = on_reader_abort;
		req->user = (void *)(uintptr_t)h;
	}
	if (j->owner_known)
		reader_serve(c, r, j);
	else
		read_owner(c, r, j);
}

/* Answers with the body of one item. */
static void body_answer(struct core *c, const struct job_caller *to,
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

struct body_read {
	struct job_caller caller;
	char job[JOB_ID_BYTES];
	char item[JOB_ID_BYTES];
	char team[JOB_ID_BYTES];
};

static void on_batch(struct core *c, void *ctx, const struct kv_result *res)
{
	struct body_read *b = ctx;
	struct job_spec *spec = NULL;
	enum err e = res->err;

	if (e == ERR_OK)
		e = job_batch_parse(jobs_of(c), b->job, res->items[0].value,
				    res->items[0].len, &spec);
	if (e == ERR_NOT_FOUND ||
	    (e == ERR_OK && strcmp(spec->team, b->team) != 0))
		job_caller_refuse(c, &b->caller, ERR_BATCH_UNKNOWN, RUN_NO, 0);
	else if (e != ERR_OK)
		job_caller_refuse(c, &b->caller, ERR_KV_DOWN, RUN_NO,
				  READ_RETRY_AFTER_MS);
	else
		body_answer(c, &b->caller, spec, b->item);
	job_spec_free(spec);
	free(b);
}

void job_read_body(struct core *c, const struct job_caller *to,
		   const struct home_request *request)
{
	struct job *j = job_find(c, request->job);
	struct body_read *b;
	char key[STORE_KEY_SIZE];

	if (j && j->running && strcmp(j->spec->team, request->team) == 0) {
		body_answer(c, to, j->spec, request->item);
		return;
	}
	b = calloc(1, sizeof(*b));
	snprintf(key, sizeof(key), KEY_BATCH "%s", request->job);
	if (b) {
		b->caller = *to;
		snprintf(b->job, sizeof(b->job), "%s", request->job);
		snprintf(b->item, sizeof(b->item), "%s", request->item);
		snprintf(b->team, sizeof(b->team), "%s", request->team);
	}
	if (!b || kv_get(c, key, (struct kv_cb){on_batch, b}) != ERR_OK) {
		free(b);
		job_caller_refuse(c, to, ERR_FULL, RUN_NO, READ_RETRY_AFTER_MS);
	}
}
