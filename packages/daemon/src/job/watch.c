// Watches the owner key of a batch that this node runs: the trainer may end the batch at
// another node, or another node may take it over.
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "job/job.h"
#include "store_keys.h"

enum {
	/// Timeout of a watch call. A dead connection is detected one platform timeout
	/// later, within the time in which an end must take effect.
	WATCH_TIMEOUT_MS = 1500,
};

/* Applies a newer owner key: stops or cancels the batch if needed. */
static void update_owner(struct core *c, struct job *j,
			 const struct kv_item *item)
{
	struct job_owner owner;

	if (item->rev <= j->owner_rev)
		return;
	if (job_owner_parse(item, &owner) != ERR_OK) {
		log_event(EV_JOB_BAD, "key=%s", item->key);
		return;
	}
	j->owner = owner;
	j->owner_rev = item->rev;
	if (!j->running)
		return;
	if (!job_owner_is_self(c, &owner))
		job_stop(c, j, "taken-over");
	else if (owner.ended)
		job_cancel_attempts(c, j);
}

static void on_watch(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job *j = htab_get(jobs_of(c)->jobs, (htab_handle)(uintptr_t)ctx);

	if (!j)
		return;
	j->watching = false;
	if (res->err != ERR_OK)
		j->watch_next_ms = core_now(c) + JOB_RETRY_MS;
	for (size_t i = 0; i < res->n_items; i++) {
		/* A prefix watch also returns ids that start with this id. */
		if (strcmp(res->items[i].key + sizeof(KEY_RUN) - 1, j->id) == 0)
			update_owner(c, j, &res->items[i]);
	}
	if (j->running)
		job_step(c, j);
}

static void on_read(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job *j = htab_get(jobs_of(c)->jobs, (htab_handle)(uintptr_t)ctx);

	if (!j)
		return;
	j->watching = false;
	if (res->err == ERR_OK)
		update_owner(c, j, &res->items[0]);
	else
		j->watch_next_ms = core_now(c) + JOB_RETRY_MS;
	if (j->running)
		job_step(c, j);
}

void job_watch_step(struct core *c, struct job *j)
{
	char key[STORE_KEY_SIZE];
	const struct kv_cb watched = {on_watch, (void *)(uintptr_t)j->self};
	const struct kv_cb read = {on_read, (void *)(uintptr_t)j->self};
	enum err e;

	if (!j->running || j->watching || core_now(c) < j->watch_next_ms)
		return;
	snprintf(key, sizeof(key), KEY_RUN "%s", j->id);
	/* After a failure the watched revision may be compacted: read the key. */
	if (j->watch_next_ms)
		e = kv_get(c, key, read);
	else
		e = kv_watch(c, key, j->owner_rev, WATCH_TIMEOUT_MS, watched);
	j->watch_next_ms = 0;
	j->watching = e == ERR_OK;
	if (!j->watching)
		j->watch_next_ms = core_now(c) + JOB_RETRY_MS;
}
