// Loads a batch that this node takes over: its body, the owner key in this node's
// name, its records, its unfinished texts; then it runs.
#include "job/load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "store_keys.h"

enum {
	/// Between two looks whether this node owns a batch: a lost answer is
	/// rarely followed by another one.
	LOAD_AGAIN_MS = 200,
	/// A write whose answer was lost may be done seconds later; for so long
	/// its key is looked at.
	LOAD_LATE_MS = 8000,
	LOAD_LATE_AGAIN_MS = 1000, ///< between two such looks
};

/// A batch on its way to this node. Once its owner key may name this node, it
/// stays here until the batch runs or surely has another owner: nobody else
/// would take it.
struct job_load {
	struct job_load *next;
	char id[JOB_ID];
	bool again; ///< the owner key is to be read
	int64_t next_ms; ///< earliest read of it
	int64_t late_until_ms; ///< a write of it may still be done
	bool active; ///< of a takeover that others wait behind
	struct job_owner owner;
	uint64_t rev;
	struct job_spec *spec;
};

static void load_free(struct jobs *jobs, struct job_load *l)
{
	struct job_load **at = &jobs->loads;

	while (*at && *at != l)
		at = &(*at)->next;
	if (*at)
		*at = l->next;
	job_spec_free(l->spec);
	free(l);
}

void job_loads_free(struct jobs *jobs)
{
	while (jobs->loads)
		load_free(jobs, jobs->loads);
}

static void load_over(struct core *c, struct job_load *l, const char *why)
{
	if (why)
		log_event(EV_JOB_REFUSED, "batch=%s takeover=%s", l->id, why);
	load_free(jobs_of(c), l);
}

static void load_again(struct core *c, struct job_load *l)
{
	l->again = true;
	l->next_ms = core_now(c) + LOAD_AGAIN_MS;
}

/* Number of the last record, from its key. */
static void take_listed(struct job *j, const struct kv_result *res)
{
	for (size_t i = 0; i < res->n_items; i++) {
		const char *slash = strrchr(res->items[i].key, '/');

		if (job_list_add(&j->list, strtoull(slash + 1, NULL, 10),
				 res->items[i].value,
				 res->items[i].len) != ERR_OK)
			log_event(EV_JOB_BAD, "key=%s", res->items[i].key);
	}
	if (res->rev > j->list.rev)
		j->list.rev = res->rev;
}

/* @param texts  unfinished texts, NULL for none */
static void run_loaded(struct core *c, struct job_load *l, struct job *j,
		       const struct kv_item *texts)
{
	j->known = true;
	j->owner = l->owner;
	j->owner_rev = l->rev;
	log_event(EV_JOB_TAKEOVER, "batch=%s listed=%zu items=%zu", j->id,
		  j->list.n, l->spec->n_items);
	if (job_start(c, j, l->spec) == ERR_OK)
		l->spec = NULL;
	if (j->running && texts)
		job_texts_restore(c, j, texts);
	load_over(c, l, NULL);
	if (j->running)
		job_step(c, j);
}

static void on_texts(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_load *l = ctx;
	struct job *j = job_get(c, l->id);

	if (j && j->running) {
		load_over(c, l, "busy");
		return;
	}
	if (!j) {
		load_again(c, l);
		return;
	}
	if (res->err != ERR_OK && res->err != ERR_NOT_FOUND)
		log_event(EV_JOB_TEXTS, "batch=%s error=%s", l->id,
			  err_code(res->err));
	run_loaded(c, l, j, res->n_items ? &res->items[0] : NULL);
}

static void load_texts(struct core *c, struct job_load *l, struct job *j)
{
	char key[STORE_KEY];

	snprintf(key, sizeof(key), KEY_TEXTS "%s", l->id);
	if (kv_get(c, key, (struct kv_cb){on_texts, l}) != ERR_OK)
		run_loaded(c, l, j, NULL);
}

static void load_records(struct core *c, struct job_load *l, struct job *j);

static void on_records(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_load *l = ctx;
	struct job *j = job_get(c, l->id);

	if (j && j->running) {
		load_over(c, l, "busy");
		return;
	}
	if (!j || res->err != ERR_OK) {
		load_again(c, l);
		return;
	}
	take_listed(j, res);
	if (res->more)
		load_records(c, l, j);
	else
		load_texts(c, l, j);
}

static void load_records(struct core *c, struct job_load *l, struct job *j)
{
	char prefix[STORE_KEY];
	char from[STORE_KEY];

	snprintf(prefix, sizeof(prefix), KEY_RECORD "%s/", l->id);
	snprintf(from, sizeof(from), KEY_RECORD "%s/%08llu", l->id,
		 (unsigned long long)j->list.records - 1);
	if (kv_list_from(c, prefix, j->list.records ? from : NULL,
			 (struct kv_cb){on_records, l}) != ERR_OK)
		load_again(c, l);
}

/* What the owner key says after all. */
static void on_settled(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_load *l = ctx;
	struct job *j = job_get(c, l->id);
	struct job_owner owner;

	bool mine = res->err == ERR_OK &&
		    job_owner_parse(&res->items[0], &owner) == ERR_OK &&
		    job_owner_me(c, &owner) && !owner.ended && !owner.over;

	if ((res->err != ERR_OK && res->err != ERR_NOT_FOUND) || !j) {
		load_again(c, l);
	} else if (mine) {
		l->owner = owner;
		l->rev = res->items[0].rev;
		load_records(c, l, j);
	} else if (core_now(c) < l->late_until_ms) {
		l->active = false;
		load_again(c, l);
		l->next_ms += LOAD_LATE_AGAIN_MS;
	} else {
		load_over(c, l, "other-owner");
	}
}

static void settle(struct core *c, struct job_load *l)
{
	char key[STORE_KEY];

	snprintf(key, sizeof(key), KEY_RUN "%s", l->id);
	l->again = kv_get(c, key, (struct kv_cb){on_settled, l}) != ERR_OK;
	if (l->again)
		load_again(c, l);
}

void job_load_step(struct core *c)
{
	struct job_load *l, *next;

	for (l = jobs_of(c)->loads; l; l = next) {
		next = l->next;
		if (l->again && core_now(c) >= l->next_ms)
			settle(c, l);
	}
}

static void on_owned(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_load *l = ctx;
	struct job *j = job_get(c, l->id);

	if (res->err == ERR_KV_CONFLICT) {
		load_over(c, l, err_code(res->err));
	} else if (res->err != ERR_OK || !j) {
		l->late_until_ms = core_now(c) + LOAD_LATE_MS;
		load_again(c, l);
	} else {
		l->rev = res->rev;
		load_records(c, l, j);
	}
}

static void on_batch(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_load *l = ctx;
	enum err e = res->err;

	if (e == ERR_OK)
		e = job_batch_parse(jobs_of(c), l->id, res->items[0].value,
				    res->items[0].len, &l->spec);
	if (e == ERR_OK)
		e = job_owner_put(c, l->id, &l->owner, l->rev,
				  (struct kv_cb){on_owned, l});
	if (e != ERR_OK)
		load_over(c, l, err_code(e));
}

void job_load_settle(struct core *c, struct job_spec *spec)
{
	struct jobs *jobs = jobs_of(c);
	struct job_load *l = calloc(1, sizeof(*l));

	if (!l) {
		log_event(EV_JOB_BAD, "batch=%s error=no-memory", spec->id);
		job_spec_free(spec);
		return;
	}
	snprintf(l->id, sizeof(l->id), "%s", spec->id);
	l->spec = spec;
	l->late_until_ms = core_now(c) + LOAD_LATE_MS;
	l->next = jobs->loads;
	jobs->loads = l;
	load_again(c, l);
}

bool job_loading(const struct jobs *jobs, const char *id)
{
	const struct job_load *l = jobs->loads;

	while (l && strcmp(l->id, id) != 0)
		l = l->next;
	return l != NULL;
}

int job_loads_active(const struct jobs *jobs)
{
	int n = 0;

	for (const struct job_load *l = jobs->loads; l; l = l->next)
		n += l->active;
	return n;
}

void job_load_begin(struct core *c, const char *id,
		    const struct job_owner *owner, uint64_t rev)
{
	struct jobs *jobs = jobs_of(c);
	struct job_load *l = calloc(1, sizeof(*l));
	char key[STORE_KEY];

	if (!l) {
		log_event(EV_JOB_BAD, "batch=%s error=no-memory", id);
		return;
	}
	snprintf(l->id, sizeof(l->id), "%s", id);
	l->owner = *owner;
	l->rev = rev;
	snprintf(l->owner.node, sizeof(l->owner.node), "%s", core_node(c));
	snprintf(l->owner.run, sizeof(l->owner.run), "%s", core_incarnation(c));
	l->active = true;
	l->next = jobs->loads;
	jobs->loads = l;
	snprintf(key, sizeof(key), KEY_BATCH "%s", l->id);
	if (kv_get(c, key, (struct kv_cb){on_batch, l}) != ERR_OK)
		load_over(c, l, "full");
}
