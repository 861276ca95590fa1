// Saves unfinished texts in the store for a next owner of the batch.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "job/job.h"
#include "job/job_texts.h"
#include "store_keys.h"

enum {
	/// A lost node costs the events of this time at most. A step takes some 7 s, so
	/// a batch costs four more store calls.
	TEXTS_INTERVAL_MS = 1500,
	TEXTS_MAX_BYTES =
		512 << 10, ///< of all texts; a value may have 1 MB in base64
};

static void key_of(const struct job *j, char key[STORE_KEY_SIZE])
{
	snprintf(key, STORE_KEY_SIZE, KEY_TEXTS "%s", j->id);
}

static struct job *job_of(const struct core *c, void *ctx)
{
	return htab_get(jobs_of(c)->jobs, (htab_handle)(uintptr_t)ctx);
}

static void *ctx_of(const struct job *j)
{
	return (void *)(uintptr_t)j->self;
}

static void on_read(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job *j = job_of(c, ctx);

	if (!j)
		return;
	j->texts_busy = false;
	if (res->err != ERR_OK && res->err != ERR_NOT_FOUND)
		return;
	j->texts_rev_stale = false;
	if (j->frozen_ms)
		j->texts_next_ms = 0;
	j->texts_rev = res->n_items ? res->items[0].rev : 0;
}

static void on_written(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job *j = job_of(c, ctx);

	if (!j)
		return;
	j->texts_busy = false;
	if (res->err == ERR_OK) {
		j->texts_rev = res->rev;
		j->texts_flushed = j->texts_flushing;
		return;
	}
	if (j->texts_flushing)
		j->texts_next_ms = core_now(c) + JOB_RETRY_MS;
	j->texts_flushing = false;
	log_event(EV_JOB_TEXTS_UNWRITTEN, "batch=%s error=%s", j->id,
		  err_code(res->err));
	j->texts_rev_stale = true;
}

/* @return ERR_NOT_FOUND if there is no text to write */
static enum err texts_write(struct core *c, struct job *j, const char *key)
{
	char *text = job_texts_encode(j->run, j->spec, TEXTS_MAX_BYTES);
	const struct kv_put_opts put = {
		.key = key,
		.value = text,
		.len = text ? strlen(text) : 0,
		.prev_rev = j->texts_rev,
	};
	enum err e = ERR_NOT_FOUND;

	if (text)
		e = kv_put(c, &put, (struct kv_cb){on_written, ctx_of(j)});
	free(text);
	return e;
}

static enum err texts_call(struct core *c, struct job *j)
{
	char key[STORE_KEY_SIZE];
	enum err e;

	key_of(j, key);
	e = j->texts_rev_stale
		    ? kv_get(c, key, (struct kv_cb){on_read, ctx_of(j)})
		    : texts_write(c, j, key);
	j->texts_busy = e == ERR_OK;
	return e;
}

void job_texts_step(struct core *c, struct job *j)
{
	if (!j->running || j->owner.ended || j->frozen_ms || j->texts_busy ||
	    core_now(c) < j->texts_next_ms)
		return;
	j->texts_next_ms = core_now(c) + TEXTS_INTERVAL_MS;
	texts_call(c, j);
}

bool job_texts_flush(struct core *c, struct job *j)
{
	if (j->texts_flushed || j->texts_busy)
		return j->texts_flushed;
	/* Write at once, unless an earlier write has just failed. */
	if (j->texts_next_ms - core_now(c) > JOB_RETRY_MS)
		j->texts_next_ms = 0;
	if (core_now(c) < j->texts_next_ms)
		return false;
	j->texts_next_ms = core_now(c) + JOB_RETRY_MS;
	j->texts_flushing = !j->texts_rev_stale;
	if (texts_call(c, j) == ERR_NOT_FOUND)
		j->texts_flushed = true;
	return j->texts_flushed;
}

void job_texts_restore(struct core *c, struct job *j,
		       const struct kv_item *item)
{
	int n = 0;
	enum err e = job_texts_decode(j->run, item->value, item->len, &n);

	j->texts_rev = item->rev;
	log_event(EV_JOB_RESUMED, "batch=%s texts=%d items=%zu error=%s", j->id,
		  n, j->spec->n_items, err_code(e));
}

static void on_deleted(struct core *c, void *ctx, const struct kv_result *res)
{
	/* A key that stays is never read, as its batch is complete or ended. */
	if (res->err != ERR_OK)
		log_event(EV_JOB_TEXTS_UNWRITTEN, "error=%s",
			  err_code(res->err));
}

void job_texts_delete(struct core *c, struct job *j)
{
	char key[STORE_KEY_SIZE];

	key_of(j, key);
	if (j->texts_rev && kv_del(c, key, j->texts_rev,
				   (struct kv_cb){on_deleted, NULL}) != ERR_OK)
		log_event(EV_JOB_TEXTS_UNWRITTEN, "batch=%s error=not-sent",
			  j->id);
	j->texts_rev = 0;
}
