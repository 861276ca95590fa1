// Lists a batch's records from the store: one list at a time for all that wait for it,
// readers and the load of a batch that this node takes over.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "job/load.h"
#include "store_keys.h"

/* The store returns records in the order of their numbers, which are the last parts of
 * their keys. */
enum err job_records_add(struct job *j, const struct kv_result *res)
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
	job_list_answered(&j->list, e, res->more, res->rev);
	return e;
}

/* Readers last: a load that starts the batch has the list that they are answered from. */
static void list_ended(struct core *c, struct job *j, enum err e)
{
	list_share_end(&j->list_share);
	job_load_listed(c, j, e);
	job_readers_listed(c, j, e);
}

static void list_page(struct core *c, struct job *j);

static void on_listed(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job *j = htab_get(jobs_of(c)->jobs, (htab_handle)(uintptr_t)ctx);
	enum err e = res->err == ERR_OK ? ERR_OK : ERR_KV_DOWN;

	if (!j)
		return;
	if (e == ERR_OK && job_records_add(j, res) != ERR_OK)
		e = ERR_FULL;
	if (e == ERR_OK && res->more)
		list_page(c, j);
	else
		list_ended(c, j, e);
}

static void list_page(struct core *c, struct job *j)
{
	char prefix[STORE_KEY_SIZE];
	char from[STORE_KEY_SIZE];

	snprintf(prefix, sizeof(prefix), KEY_RECORD "%s/", j->id);
	snprintf(from, sizeof(from), KEY_RECORD "%s/%08llu", j->id,
		 (unsigned long long)j->list.records - 1);
	if (kv_list_after(c, prefix, j->list.records ? from : NULL,
			  (struct kv_cb){on_listed,
					 (void *)(uintptr_t)j->self}) != ERR_OK)
		list_ended(c, j, ERR_KV_DOWN);
}

void job_records_list(struct core *c, struct job *j)
{
	if (list_share_begin(&j->list_share))
		list_page(c, j);
}
