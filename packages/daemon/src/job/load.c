// Loads a batch that this node takes over: reads body, records and unfinished texts
// concurrently, writes the owner key once the body is parsed, then starts the batch.
//
// A batch has one load at a time: whoever needs it here joins the one under way. The
// previous owner may write after the reads: a later record conflicts by its number,
// newer texts by their revision.
#include "job/load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "store_keys.h"

enum {
	/// Delay of the next read after a lost answer; rarely two are lost in a row.
	LOAD_RETRY_MS = 200,
	/// How long the owner key is polled: a write whose answer was lost may take
	/// effect seconds later.
	LOAD_LATE_WRITE_MS = 8000,
	LOAD_LATE_POLL_MS = 1000, ///< added between such polls
	/// An owner key read longer ago is read again before the batch starts: an end
	/// must cancel items within seconds.
	LOAD_OWNER_AGE_MAX_MS = 500,
};

/// A batch being loaded. Once its owner key may name this node, the load is kept until
/// the batch runs or certainly has another owner, as no other node would take it over.
struct job_load {
	struct job_load *next;
	char id[JOB_ID_BYTES];
	int calls; ///< in flight
	bool done; ///< freed after the last call
	bool owner_read_due;
	bool owner_reading; ///< a read of the owner key is in flight
	int64_t owner_read_ms;
	int64_t late_write_until_ms; ///< a write may take effect until then
	bool active; ///< counts toward the limit of takeovers
	bool owned; ///< the owner key names this node
	int64_t owner_ms; ///< with owned: the key named it then
	bool reads_started; ///< of records and texts
	bool listed; ///< all records were in the batch's list when it was read
	bool waits_for_list; ///< of the batch's records
	uint64_t list_wanted; ///< first list that began with owned set
	bool list_due; ///< at list_read_ms
	int64_t list_read_ms;
	htab_handle job; ///< batch whose list has the records
	bool texts_known; ///< read, or the read failed
	char *texts; ///< their value, NULL for none
	size_t texts_len; ///< bytes
	uint64_t texts_rev;
	int64_t loss_known_ms;
	struct job_owner owner;
	uint64_t rev;
	struct job_spec *spec;
};

static void load_free(struct jobs *jobs, struct job_load *l)
{
	struct job_load **link = &jobs->loads;

	while (*link && *link != l)
		link = &(*link)->next;
	if (*link)
		*link = l->next;
	job_spec_free(l->spec);
	free(l->texts);
	free(l);
}

void job_loads_free(struct jobs *jobs)
{
	while (jobs->loads)
		load_free(jobs, jobs->loads);
}

static void load_finish(struct core *c, struct job_load *l, const char *why)
{
	if (why)
		log_event(EV_JOB_REFUSED, "batch=%s takeover=%s", l->id, why);
	l->done = true;
	if (!l->calls)
		load_free(jobs_of(c), l);
}

static struct job_load *load_find(const struct jobs *jobs, const char *id)
{
	struct job_load *l = jobs->loads;

	while (l && (l->done || strcmp(l->id, id) != 0))
		l = l->next;
	return l;
}

/* @return NULL when out of memory */
static struct job_load *load_add(struct core *c, const char *id)
{
	struct jobs *jobs = jobs_of(c);
	struct job_load *l = calloc(1, sizeof(*l));

	if (!l) {
		log_event(EV_JOB_BAD, "batch=%s error=no-memory", id);
		return NULL;
	}
	snprintf(l->id, sizeof(l->id), "%s", id);
	l->loss_known_ms = core_now(c);
	l->next = jobs->loads;
	jobs->loads = l;
	return l;
}

/* Counts the end of a store call.
 *
 * @return false if the load is finished; it may have been freed */
static bool load_call_ended(struct core *c, struct job_load *l)
{
	l->calls--;
	if (l->done && !l->calls)
		load_free(jobs_of(c), l);
	else
		return !l->done;
	return false;
}

/* Counts the start of a store call that returned `e`. */
static bool load_call_begun(struct job_load *l, enum err e)
{
	l->calls += e == ERR_OK;
	return e == ERR_OK;
}

static void schedule_owner_read(struct core *c, struct job_load *l)
{
	l->owner_read_due = true;
	l->owner_read_ms = core_now(c) + LOAD_RETRY_MS;
}

static void run_loaded(struct core *c, struct job_load *l, struct job *j)
{
	const struct kv_item texts = {
		.value = l->texts,
		.len = l->texts_len,
		.rev = l->texts_rev,
	};

	j->owner_known = true;
	j->owner = l->owner;
	j->owner_rev = l->rev;
	log_event(EV_JOB_TAKEOVER,
		  "batch=%s listed=%zu items=%zu known_ms=%lld", j->id,
		  j->list.n, l->spec->n_items,
		  (long long)(core_now(c) - l->loss_known_ms));
	if (job_start(c, j, l->spec) == ERR_OK)
		l->spec = NULL;
	if (j->running)
		j->owner_lost_ms = l->loss_known_ms;
	if (j->running && l->texts)
		job_texts_restore(c, j, &texts);
	load_finish(c, l, NULL);
	if (j->running)
		job_step(c, j);
}

static void schedule_list(struct core *c, struct job_load *l)
{
	l->listed = false;
	l->list_due = true;
	l->list_read_ms = core_now(c) + LOAD_RETRY_MS;
}

/* Ends a load that can't write the owner key, unless the key may name this node
 * nevertheless: then no other node would run the batch. */
static void load_failed(struct core *c, struct job_load *l, const char *why)
{
	if (l->spec && core_now(c) < l->late_write_until_ms)
		schedule_owner_read(c, l);
	else
		load_finish(c, l, why);
}

/* The owner key named this node when a call of a given start was answered. */
static void set_owned(struct core *c, struct job_load *l, uint64_t rev,
		      int64_t since_ms)
{
	const struct job *j = job_find(c, l->id);

	if (!l->owned && j)
		l->list_wanted = list_share_next(&j->list_share);
	l->owned = true;
	l->owner_ms = since_ms;
	l->rev = rev;
}

/* Whether an owner makes this node run the batch. */
static bool runs_here(const struct core *c, const struct job_owner *o)
{
	return job_owner_is_self(c, o) && !o->ended && !o->complete;
}

/* Reads and ends beside the load may know a newer owner key. */
static bool load_still_owned(struct core *c, struct job_load *l,
			     const struct job *j)
{
	if (!j->owner_known || j->owner_rev <= l->rev)
		return true;
	l->owner = j->owner;
	l->rev = j->owner_rev;
	return runs_here(c, &l->owner);
}

/* Whether the batch's list has each record that was written before this node owned it. */
static bool list_is_whole(const struct job_load *l, const struct job *j)
{
	return l->listed && j->self == l->job &&
	       (list_share_covers(&j->list_share, l->list_wanted) ||
		j->list.rev >= l->rev);
}

static void load_records(struct core *c, struct job_load *l);
static void load_read_owner(struct core *c, struct job_load *l);

/* Runs the batch if the owner key is written and all data is loaded. */
static void load_run_if_ready(struct core *c, struct job_load *l)
{
	struct job *j;

	if (!l->owned || !l->spec || !l->listed || !l->texts_known ||
	    l->owner_reading)
		return;
	j = job_find_or_create(c, l->id);
	if (j && j->running)
		load_finish(c, l, "busy");
	else if (jobs_of(c)->handover.closed)
		load_finish(c, l, "draining");
	else if (!j || j->store_busy)
		/* A write of an earlier run here may add a record. */
		schedule_list(c, l);
	else if (!load_still_owned(c, l, j))
		load_finish(c, l, "other-owner");
	else if (!list_is_whole(l, j))
		load_records(c, l);
	else if (core_now(c) - l->owner_ms > LOAD_OWNER_AGE_MAX_MS)
		load_read_owner(c, l);
	else
		run_loaded(c, l, j);
}

static void on_texts(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_load *l = ctx;

	if (!load_call_ended(c, l))
		return;
	l->texts_known = true;
	if (res->err != ERR_OK && res->err != ERR_NOT_FOUND)
		log_event(EV_JOB_TEXTS_UNWRITTEN, "batch=%s error=%s", l->id,
			  err_code(res->err));
	if (res->err == ERR_OK && res->n_items) {
		const struct kv_item *item = &res->items[0];

		l->texts = malloc(item->len + 1);
		if (l->texts)
			memcpy(l->texts, item->value, item->len);
		l->texts_len = item->len;
		l->texts_rev = item->rev;
	}
	load_run_if_ready(c, l);
}

static void load_texts(struct core *c, struct job_load *l)
{
	char key[STORE_KEY_SIZE];

	snprintf(key, sizeof(key), KEY_TEXTS "%s", l->id);
	l->texts_known = !load_call_begun(
		l, kv_get(c, key, (struct kv_cb){on_texts, l}));
}

static void load_records(struct core *c, struct job_load *l)
{
	struct job *j = job_find_or_create(c, l->id);

	l->listed = false;
	l->list_due = false;
	if (!j) {
		schedule_list(c, l);
		return;
	}
	if (j->self != l->job)
		l->list_wanted = list_share_next(&j->list_share);
	l->job = j->self;
	l->waits_for_list = true;
	job_records_list(c, j);
}

void job_load_listed(struct core *c, const struct job *j, enum err e)
{
	struct job_load *l = load_find(jobs_of(c), j->id);

	if (!l || !l->waits_for_list)
		return;
	l->waits_for_list = false;
	if (e != ERR_OK) {
		schedule_list(c, l);
		return;
	}
	l->listed = true;
	load_run_if_ready(c, l);
}

/* Starts reading records and texts, once. */
static void start_reads(struct core *c, struct job_load *l)
{
	if (l->reads_started)
		return;
	l->reads_started = true;
	load_records(c, l);
	load_texts(c, l);
}

/* Resolves an unknown outcome of an owner key's write, or confirms the key. */
static void on_owner_read(struct core *c, void *ctx,
			  const struct kv_result *res)
{
	struct job_load *l = ctx;
	struct job_owner owner;

	if (!load_call_ended(c, l))
		return;
	l->owner_reading = false;
	if (res->err != ERR_OK && res->err != ERR_NOT_FOUND) {
		schedule_owner_read(c, l);
	} else if (res->err == ERR_OK &&
		   job_owner_parse(&res->items[0], &owner) == ERR_OK &&
		   runs_here(c, &owner)) {
		l->owner = owner;
		set_owned(c, l, res->items[0].rev, l->owner_read_ms);
		start_reads(c, l);
		load_run_if_ready(c, l);
	} else if (!l->owned && core_now(c) < l->late_write_until_ms) {
		l->active = false;
		schedule_owner_read(c, l);
		l->owner_read_ms += LOAD_LATE_POLL_MS;
	} else {
		load_finish(c, l, "other-owner");
	}
}

static void load_read_owner(struct core *c, struct job_load *l)
{
	char key[STORE_KEY_SIZE];

	snprintf(key, sizeof(key), KEY_RUN "%s", l->id);
	l->owner_read_due = false;
	l->owner_read_ms = core_now(c);
	l->owner_reading = load_call_begun(
		l, kv_get(c, key, (struct kv_cb){on_owner_read, l}));
	if (!l->owner_reading)
		schedule_owner_read(c, l);
}

void job_load_step(struct core *c)
{
	struct job_load *l, *next;

	for (l = jobs_of(c)->loads; l; l = next) {
		next = l->next;
		if (l->done)
			continue;
		if (l->owner_read_due && core_now(c) >= l->owner_read_ms)
			load_read_owner(c, l);
		if (l->list_due && core_now(c) >= l->list_read_ms)
			load_records(c, l);
	}
}

static void on_owner_written(struct core *c, void *ctx,
			     const struct kv_result *res)
{
	struct job_load *l = ctx;

	if (!load_call_ended(c, l))
		return;
	if (res->err == ERR_KV_CONFLICT) {
		load_failed(c, l, err_code(res->err));
	} else if (res->err != ERR_OK) {
		l->late_write_until_ms = core_now(c) + LOAD_LATE_WRITE_MS;
		schedule_owner_read(c, l);
	} else {
		set_owned(c, l, res->rev, core_now(c));
		load_run_if_ready(c, l);
	}
}

static void on_batch(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_load *l = ctx;
	enum err e = res->err;

	if (!load_call_ended(c, l))
		return;
	if (e == ERR_OK && !l->spec)
		e = job_batch_parse(jobs_of(c), l->id, res->items[0].value,
				    res->items[0].len, &l->spec);
	if (e == ERR_OK)
		e = job_owner_put(c, l->id, &l->owner, l->rev,
				  (struct kv_cb){on_owner_written, l});
	if (!load_call_begun(l, e))
		load_failed(c, l, err_code(e));
}

/* Joins the load of a submitted batch that is under way, or adds one. The owner key may
 * name this node, whatever the one under way finds by its own write. */
static struct job_load *load_join(struct core *c, struct job_spec *spec)
{
	struct job_load *l = load_find(jobs_of(c), spec->id);

	if (!l)
		l = load_add(c, spec->id);
	if (l)
		l->late_write_until_ms = core_now(c) + LOAD_LATE_WRITE_MS;
	if (l && !l->spec)
		l->spec = spec;
	else
		job_spec_free(spec);
	return l;
}

void job_load_recheck_owner(struct core *c, struct job_spec *spec)
{
	bool joins = job_loading(jobs_of(c), spec->id);
	struct job_load *l = load_join(c, spec);

	if (l && !joins)
		schedule_owner_read(c, l);
}

void job_load_owned(struct core *c, struct job_spec *spec,
		    const struct job_owner *owner, uint64_t rev)
{
	bool joins = job_loading(jobs_of(c), spec->id);
	struct job_load *l = load_join(c, spec);

	if (!l || joins)
		return;
	l->owner = *owner;
	set_owned(c, l, rev, core_now(c));
	start_reads(c, l);
}

bool job_loading(const struct jobs *jobs, const char *id)
{
	return load_find(jobs, id) != NULL;
}

int job_loads_active(const struct jobs *jobs)
{
	int n = 0;

	for (const struct job_load *l = jobs->loads; l; l = l->next)
		n += l->active && !l->done;
	return n;
}

void job_load_begin(struct core *c, const char *id,
		    const struct job_load_opts *opts)
{
	struct job_load *l;
	char key[STORE_KEY_SIZE];

	if (job_loading(jobs_of(c), id))
		return;
	l = load_add(c, id);
	if (!l)
		return;
	l->owner = *opts->owner;
	l->rev = opts->rev;
	l->loss_known_ms = opts->loss_known_ms;
	snprintf(l->owner.node, sizeof(l->owner.node), "%s", core_node(c));
	snprintf(l->owner.incarnation, sizeof(l->owner.incarnation), "%s",
		 core_incarnation(c));
	l->active = true;
	snprintf(key, sizeof(key), KEY_BATCH "%s", l->id);
	if (load_call_begun(l, kv_get(c, key, (struct kv_cb){on_batch, l})))
		start_reads(c, l);
	else
		load_finish(c, l, "full");
}
