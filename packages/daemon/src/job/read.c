// Serves reads of a batch's results, at any node.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "job/job.h"
#include "store_keys.h"

enum {
	PAGE_MAX_BYTES = 900000, ///< of texts, below the callers' limit
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
			  e == ERR_BATCH_UNKNOWN ? 0 : JOB_READ_RETRY_AFTER_MS);
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
				  JOB_READ_RETRY_AFTER_MS);
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

/* Whether the list has every result with a position. No other node writes while this
 * node runs the batch, until it is handed over; a list of all items is final. */
static bool is_list_whole(const struct job *j)
{
	return (j->running && !j->handover_sent_ms) ||
	       j->list.n >= j->owner.total;
}

static void reader_answer_if_due(struct core *c, struct job_reader *r,
				 const struct job *j)
{
	if (has_news(j, r) || core_now(c) >= r->deadline_ms)
		reader_answer(c, r, j);
}

static void read_records(struct core *c, struct job_reader *r, struct job *j);

/* Reads records of which none may be known; a list that began earlier won't do. */
static void read_new_records(struct core *c, struct job_reader *r,
			     struct job *j)
{
	r->list_wanted = list_share_next(&j->list_share);
	read_records(c, r, j);
}

void job_readers_step(struct core *c)
{
	struct job_reader *r;
	size_t iter = 0;

	while ((r = htab_next(jobs_of(c)->readers, &iter, NULL))) {
		struct job *j = htab_get(jobs_of(c)->jobs, r->job);

		if (!j)
			reader_refuse(c, r, ERR_KV_DOWN);
		else if (r->busy)
			continue;
		else if (is_list_whole(j))
			reader_answer_if_due(c, r, j);
		else
			/* The batch stopped running here while the reader waited. */
			read_new_records(c, r, j);
	}
}

/* Goes on with a reader after a list of the records. */
static void reader_continue(struct core *c, struct job_reader *r, struct job *j,
			    enum err e)
{
	/* Without a revision there is nothing to watch from. */
	bool over = list_share_covers(&j->list_share, r->list_wanted) &&
		    (core_now(c) >= r->deadline_ms || !j->list.rev);

	if (is_list_whole(j)) {
		reader_answer_if_due(c, r, j);
		return;
	}
	switch (list_share_after_list(e == ERR_OK, has_news(j, r), over)) {
	case LIST_SHARE_ANSWER:
		reader_answer(c, r, j);
		break;
	case LIST_SHARE_REFUSE:
		reader_refuse(c, r, e);
		break;
	case LIST_SHARE_READ_ON:
		read_records(c, r, j);
		break;
	}
}

void job_readers_listed(struct core *c, struct job *j, enum err e)
{
	struct job_reader *r;
	size_t iter = 0;

	while ((r = htab_next(jobs_of(c)->readers, &iter, NULL))) {
		if (r->job != j->self || !r->waits_for_list)
			continue;
		r->waits_for_list = false;
		r->busy = false;
		reader_continue(c, r, j, e);
	}
}

static void on_watched(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_reader *r = reader_of(c, ctx);
	struct job *j = r ? htab_get(jobs_of(c)->jobs, r->job) : NULL;
	enum err e = res->err;

	if (!r)
		return;
	r->busy = false;
	if (e == ERR_KV_HISTORY && j) {
		job_list_answered(&j->list, e, false, 0);
		read_records(c, r, j);
		return;
	}
	if (e == ERR_OK && j)
		e = job_records_add(j, res);
	if (e != ERR_OK || !j)
		reader_refuse(c, r, e == ERR_OK ? ERR_FULL : ERR_KV_DOWN);
	else if (has_news(j, r) || core_now(c) >= r->deadline_ms)
		reader_answer(c, r, j);
	else
		read_records(c, r, j);
}

static void watch_records(struct core *c, struct job_reader *r, struct job *j,
			  int64_t wait_ms)
{
	char prefix[STORE_KEY_SIZE];

	snprintf(prefix, sizeof(prefix), KEY_RECORD "%s/", j->id);
	r->busy =
		kv_watch(c, prefix, j->list.rev, wait_ms,
			 (struct kv_cb){on_watched,
					(void *)(uintptr_t)r->self}) == ERR_OK;
	if (!r->busy)
		reader_refuse(c, r, ERR_KV_DOWN);
}

/* Watches for records written after those in the list, or lists them. */
static void read_records(struct core *c, struct job_reader *r, struct job *j)
{
	int64_t wait_ms = r->deadline_ms - core_now(c);

	if (list_share_should_watch(j->list.rev, wait_ms, has_news(j, r))) {
		watch_records(c, r, j, wait_ms);
		return;
	}
	r->busy = true;
	r->waits_for_list = true;
	job_records_list(c, j);
}

static void reader_serve(struct core *c, struct job_reader *r, struct job *j)
{
	if (strcmp(j->owner.team, r->team) != 0) {
		reader_refuse(c, r, ERR_BATCH_UNKNOWN);
		return;
	}
	if (is_list_whole(j))
		reader_answer_if_due(c, r, j);
	else
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
	bool room = job_find(c, request->job) ||
		    job_memory_has_room(c, jobs_of(c)->memory.value_max);
	struct job *j = room ? job_find_or_create(c, request->job) : NULL;
	struct core_req *req = core_req_get(c, to->req);
	htab_handle h;
	struct job_reader *r = j ? htab_add(jobs_of(c)->readers, &h) : NULL;

	if (!r) {
		job_caller_refuse(c, to, ERR_FULL, RUN_NO,
				  JOB_READ_RETRY_AFTER_MS);
		return;
	}
	*r = (struct job_reader){
		.self = h,
		.caller = *to,
		.job = j->self,
		.after = request->after,
		.deadline_ms = core_now(c) + request->wait_ms,
		.list_wanted = list_share_next(&j->list_share),
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
