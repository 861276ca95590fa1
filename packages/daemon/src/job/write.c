// Writes results to the store. A record is created under the next number: of two nodes
// that both believe they own a batch, only one succeeds, the other one gets a conflict.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "core/settings.h"
#include "job/job.h"
#include "store_keys.h"

enum {
	/// 1/8 of a record is left for what encloses the texts.
	RECORD_HEADROOM_DIVISOR = 8,
};

static struct job *job_of(const struct core *c, void *ctx)
{
	return htab_get(jobs_of(c)->jobs, (htab_handle)(uintptr_t)ctx);
}

static void *ctx_of(const struct job *j)
{
	return (void *)(uintptr_t)j->self;
}

static void record_key(const struct job *j, char *key, size_t len)
{
	snprintf(key, len, KEY_RECORD "%s/%08llu", j->id,
		 (unsigned long long)j->record_no);
}

/* Adds a record to the list under the number of its call. Reads may have extended the
 * list meanwhile: its next number would shift the positions of all later results. */
static void record_written(struct core *c, struct job *j, const char *value,
			   size_t len, uint64_t rev)
{
	size_t before = j->list.n;
	enum err e = job_list_add(&j->list, j->record_no, value, len);

	job_list_answered(&j->list, e, false, rev);
	log_event(e == ERR_OK ? EV_JOB_LISTED : EV_JOB_BAD,
		  "batch=%s from=%zu to=%zu total=%llu record=%llu error=%s",
		  j->id, before, j->list.n, (unsigned long long)j->owner.total,
		  (unsigned long long)j->list.records, err_code(e));
	if (j->running) {
		job_run_apply_list(j->run, &j->list);
		job_cancel_listed(c, j);
	}
	job_readers_wake(c, j);
}

static void record_clear(struct job *j)
{
	free(j->record);
	j->record = NULL;
	if (j->running)
		job_run_write_failed(j->run);
}

/* The record in the store: this node's after a lost answer, or another node's. */
static void on_read(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job *j = job_of(c, ctx);

	if (!j)
		return;
	j->store_busy = false;
	j->write_next_ms = core_now(c) + JOB_RETRY_MS;
	if (res->err == ERR_NOT_FOUND) {
		j->record_check = false;
		j->write_next_ms = 0;
		return;
	}
	if (res->err != ERR_OK)
		return;
	j->record_check = false;
	j->write_next_ms = 0;
	record_written(c, j, res->items[0].value, res->items[0].len,
		       res->items[0].rev);
	record_clear(j);
	if (!job_record_written_by(res->items[0].value, res->items[0].len,
				   core_incarnation(c)))
		j->watch_next_ms = 0;
}

static void on_written(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job *j = job_of(c, ctx);

	if (!j)
		return;
	j->store_busy = false;
	if (res->err == ERR_OK && j->record) {
		record_written(c, j, j->record, strlen(j->record), res->rev);
		record_clear(j);
	} else if (res->err != ERR_OK) {
		j->record_check = res->err == ERR_KV_CONFLICT ||
				  res->err == ERR_KV_UNKNOWN;
		j->write_next_ms =
			core_now(c) +
			(res->err == ERR_KV_CONFLICT ? 0 : JOB_RETRY_MS);
	}
	if (j->running)
		job_step(c, j);
}

/* Makes a record that fits a value: the store rejects a longer one each time, and the
 * batch would never complete. What escaping adds shows only in the encoded record. */
static bool record_make(struct core *c, struct job *j)
{
	struct jobs *jobs = jobs_of(c);
	size_t value_max =
		(size_t)settings_int(core_settings(c), S_PLATFORM_VALUE_MAX);
	size_t max_bytes = value_max - value_max / RECORD_HEADROOM_DIVISOR;
	bool all = j->owner.ended || j->frozen_ms || jobs->draining;
	size_t n;

	while ((n = job_run_flush(j->run, core_now(c), all, max_bytes,
				  jobs->flush_buf))) {
		j->record = job_record_encode(core_incarnation(c),
					      jobs->flush_buf, n);
		if (j->record && (n == 1 || strlen(j->record) <= value_max))
			return true;
		job_run_write_failed(j->run);
		if (!j->record)
			return false;
		free(j->record);
		j->record = NULL;
		max_bytes /= 2;
	}
	return false;
}

static void record_send(struct core *c, struct job *j)
{
	char key[STORE_KEY_SIZE];
	const struct kv_put_opts put = {
		.key = key,
		.value = j->record,
		.len = strlen(j->record),
	};

	j->record_no = j->list.records;
	record_key(j, key, sizeof(key));
	if (j->record_check)
		j->store_busy =
			kv_get(c, key, (struct kv_cb){on_read, ctx_of(j)}) ==
			ERR_OK;
	else
		j->store_busy =
			kv_put(c, &put,
			       (struct kv_cb){on_written, ctx_of(j)}) == ERR_OK;
	if (!j->store_busy)
		j->write_next_ms = core_now(c) + JOB_RETRY_MS;
}

static void on_closed(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job *j = job_of(c, ctx);

	if (!j)
		return;
	j->store_busy = false;
	/* On a conflict the trainer ended the batch, or it has a new owner: the watch
	 * reports it. The batch is complete even without this key. */
	if (j->running && (res->err == ERR_OK || res->err == ERR_KV_CONFLICT)) {
		job_texts_delete(c, j);
		job_stop(c, j, "over");
	} else {
		j->write_next_ms = core_now(c) + JOB_RETRY_MS;
	}
}

static void close_batch(struct core *c, struct job *j)
{
	struct job_owner owner = j->owner;

	owner.complete = true;
	j->store_busy =
		job_owner_put(c, j->id, &owner, j->owner_rev,
			      (struct kv_cb){on_closed, ctx_of(j)}) == ERR_OK;
	if (!j->store_busy)
		j->write_next_ms = core_now(c) + JOB_RETRY_MS;
}

void job_write_step(struct core *c, struct job *j)
{
	if (!j->running || j->store_busy || core_now(c) < j->write_next_ms)
		return;
	if (j->record || record_make(c, j))
		record_send(c, j);
	else if (job_run_all_listed(j->run))
		close_batch(c, j);
	else if (j->owner.ended) {
		job_texts_delete(c, j);
		job_stop(c, j, "ended");
	}
}
