// The leader goes on with the batches of nodes that were lost or that left.
//
// A round lists the owner keys: when nodes came or went, when a leader begins, and
// now and then. A batch whose owner is not alive in two rounds gets the leader as
// its owner, is loaded and run.
//
// A node that starts looks for what its own earlier process ran: that process is
// surely gone, so nothing has to lapse first.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "daemon/lead_mod.h"
#include "daemon/site_mod.h"
#include "job/job.h"
#include "store_keys.h"

enum {
	TAKE_ROUND_MS = 300, ///< between two rounds while something is lost
	TAKE_IDLE_MS = 5000, ///< between two rounds without a reason
	/// After the store was away, nodes that live need this long to renew
	/// their liveness keys.
	TAKE_SETTLE_MS = 1500,
	TAKE_BATCHES = 1024, ///< lost batches of a round
	TAKE_AT_ONCE = 8, ///< batches being loaded
	/// Between two looks whether this node owns a batch: a lost answer is
	/// rarely followed by another one.
	TAKE_AGAIN_MS = 200,
	/// A write whose answer was lost may be done seconds later; for so long
	/// its key is looked at.
	TAKE_LATE_MS = 8000,
	TAKE_LATE_AGAIN_MS = 1000, ///< between two such looks
};

/// A batch without a living owner.
struct lost {
	char id[JOB_ID];
	struct job_owner owner;
	uint64_t rev;
};

struct job_take {
	struct lost lost[TAKE_BATCHES];
	size_t n_lost;
	char suspects[TAKE_BATCHES][JOB_ID]; ///< lost in the round before
	size_t n_suspects;
	char from[256]; ///< last key of the list's page
	bool busy; ///< a round is in progress
	bool own; ///< the round looks for this node's earlier batches only
	int loading; ///< batches being taken over
	uint64_t nodes_gen; ///< of the last round
	uint64_t epoch; ///< of the leader in the last round
};

/// A batch on its way to this node. Once its owner key may name this node, it
/// stays here until the batch runs or surely has another owner: nobody else
/// would take it.
struct loading {
	struct loading *next;
	char id[JOB_ID];
	bool again; ///< the owner key is to be read
	int64_t next_ms; ///< earliest read of it
	int64_t late_until_ms; ///< a write of it may still be done
	bool counted; ///< among job_take.loading
	struct job_owner owner;
	uint64_t rev;
	struct job_spec *spec;
};

void job_take_free(struct jobs *jobs)
{
	free(jobs->take);
	jobs->take = NULL;
}

static void round_over(struct core *c)
{
	struct jobs *jobs = jobs_of(c);

	jobs->take->busy = false;
	jobs->reconcile_ms = core_now(c) + (jobs->take->n_lost ? TAKE_ROUND_MS
							       : TAKE_IDLE_MS);
}

static void loading_free(struct jobs *jobs, struct loading *l)
{
	struct loading **at = &jobs->loadings;

	while (*at && *at != l)
		at = &(*at)->next;
	if (*at)
		*at = l->next;
	job_spec_free(l->spec);
	free(l);
}

void job_loadings_free(struct jobs *jobs)
{
	while (jobs->loadings)
		loading_free(jobs, jobs->loadings);
}

/* It is not in the way of other takeovers any more. */
static void loading_uncount(struct core *c, struct loading *l)
{
	if (l->counted && jobs_of(c)->take)
		jobs_of(c)->take->loading--;
	l->counted = false;
}

static void loading_over(struct core *c, struct loading *l, const char *why)
{
	if (why)
		log_event(EV_JOB_REFUSED, "batch=%s takeover=%s", l->id, why);
	loading_uncount(c, l);
	loading_free(jobs_of(c), l);
}

static void loading_again(struct core *c, struct loading *l)
{
	l->again = true;
	l->next_ms = core_now(c) + TAKE_AGAIN_MS;
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
static void run_loaded(struct core *c, struct loading *l, struct job *j,
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
	loading_over(c, l, NULL);
	if (j->running)
		job_step(c, j);
}

static void on_texts(struct core *c, void *ctx, const struct kv_result *res)
{
	struct loading *l = ctx;
	struct job *j = job_get(c, l->id);

	if (j && j->running) {
		loading_over(c, l, "busy");
		return;
	}
	if (!j) {
		loading_again(c, l);
		return;
	}
	if (res->err != ERR_OK && res->err != ERR_NOT_FOUND)
		log_event(EV_JOB_TEXTS, "batch=%s error=%s", l->id,
			  err_code(res->err));
	run_loaded(c, l, j, res->n_items ? &res->items[0] : NULL);
}

static void load_texts(struct core *c, struct loading *l, struct job *j)
{
	char key[STORE_KEY];

	snprintf(key, sizeof(key), KEY_TEXTS "%s", l->id);
	if (kv_get(c, key, (struct kv_cb){on_texts, l}) != ERR_OK)
		run_loaded(c, l, j, NULL);
}

static void load_records(struct core *c, struct loading *l, struct job *j);

static void on_records(struct core *c, void *ctx, const struct kv_result *res)
{
	struct loading *l = ctx;
	struct job *j = job_get(c, l->id);

	if (j && j->running) {
		loading_over(c, l, "busy");
		return;
	}
	if (!j || res->err != ERR_OK) {
		loading_again(c, l);
		return;
	}
	take_listed(j, res);
	if (res->more)
		load_records(c, l, j);
	else
		load_texts(c, l, j);
}

static void load_records(struct core *c, struct loading *l, struct job *j)
{
	char prefix[STORE_KEY];
	char from[STORE_KEY];

	snprintf(prefix, sizeof(prefix), KEY_RECORD "%s/", l->id);
	snprintf(from, sizeof(from), KEY_RECORD "%s/%08llu", l->id,
		 (unsigned long long)j->list.records - 1);
	if (kv_list_from(c, prefix, j->list.records ? from : NULL,
			 (struct kv_cb){on_records, l}) != ERR_OK)
		loading_again(c, l);
}

/* What the owner key says after all. */
static void on_settled(struct core *c, void *ctx, const struct kv_result *res)
{
	struct loading *l = ctx;
	struct job *j = job_get(c, l->id);
	struct job_owner owner;

	bool mine = res->err == ERR_OK &&
		    job_owner_parse(&res->items[0], &owner) == ERR_OK &&
		    job_owner_me(c, &owner) && !owner.ended && !owner.over;

	if ((res->err != ERR_OK && res->err != ERR_NOT_FOUND) || !j) {
		loading_again(c, l);
	} else if (mine) {
		l->owner = owner;
		l->rev = res->items[0].rev;
		load_records(c, l, j);
	} else if (core_now(c) < l->late_until_ms) {
		loading_uncount(c, l);
		loading_again(c, l);
		l->next_ms += TAKE_LATE_AGAIN_MS;
	} else {
		loading_over(c, l, "other-owner");
	}
}

static void settle(struct core *c, struct loading *l)
{
	char key[STORE_KEY];

	snprintf(key, sizeof(key), KEY_RUN "%s", l->id);
	l->again = kv_get(c, key, (struct kv_cb){on_settled, l}) != ERR_OK;
	if (l->again)
		loading_again(c, l);
}

static void loadings_step(struct core *c)
{
	struct loading *l, *next;

	for (l = jobs_of(c)->loadings; l; l = next) {
		next = l->next;
		if (l->again && core_now(c) >= l->next_ms)
			settle(c, l);
	}
}

static void on_owned(struct core *c, void *ctx, const struct kv_result *res)
{
	struct loading *l = ctx;
	struct job *j = job_get(c, l->id);

	if (res->err == ERR_KV_CONFLICT) {
		loading_over(c, l, err_code(res->err));
	} else if (res->err != ERR_OK || !j) {
		l->late_until_ms = core_now(c) + TAKE_LATE_MS;
		loading_again(c, l);
	} else {
		l->rev = res->rev;
		load_records(c, l, j);
	}
}

static void on_batch(struct core *c, void *ctx, const struct kv_result *res)
{
	struct loading *l = ctx;
	enum err e = res->err;

	if (e == ERR_OK)
		e = job_batch_parse(jobs_of(c), l->id, res->items[0].value,
				    res->items[0].len, &l->spec);
	if (e == ERR_OK)
		e = job_owner_put(c, l->id, &l->owner, l->rev,
				  (struct kv_cb){on_owned, l});
	if (e != ERR_OK)
		loading_over(c, l, err_code(e));
}

void job_take_settle(struct core *c, struct job_spec *spec)
{
	struct jobs *jobs = jobs_of(c);
	struct loading *l = calloc(1, sizeof(*l));

	if (!l) {
		log_event(EV_JOB_BAD, "batch=%s error=no-memory", spec->id);
		job_spec_free(spec);
		return;
	}
	snprintf(l->id, sizeof(l->id), "%s", spec->id);
	l->spec = spec;
	l->late_until_ms = core_now(c) + TAKE_LATE_MS;
	l->next = jobs->loadings;
	jobs->loadings = l;
	loading_again(c, l);
}

static bool is_loading(const struct jobs *jobs, const char *id)
{
	const struct loading *l = jobs->loadings;

	while (l && strcmp(l->id, id) != 0)
		l = l->next;
	return l != NULL;
}

static void take_one(struct core *c, const struct lost *lost)
{
	struct job_take *t = jobs_of(c)->take;
	struct loading *l = calloc(1, sizeof(*l));
	char key[STORE_KEY];

	if (!l)
		return;
	strcpy(l->id, lost->id);
	l->owner = lost->owner;
	l->rev = lost->rev;
	snprintf(l->owner.node, sizeof(l->owner.node), "%s", core_node(c));
	snprintf(l->owner.run, sizeof(l->owner.run), "%s", core_incarnation(c));
	l->counted = true;
	t->loading++;
	l->next = jobs_of(c)->loadings;
	jobs_of(c)->loadings = l;
	snprintf(key, sizeof(key), KEY_BATCH "%s", l->id);
	if (kv_get(c, key, (struct kv_cb){on_batch, l}) != ERR_OK)
		loading_over(c, l, "full");
}

static bool suspected(const struct job_take *t, const char *id)
{
	for (size_t i = 0; i < t->n_suspects; i++) {
		if (strcmp(t->suspects[i], id) == 0)
			return true;
	}
	return false;
}

static void take_lost(struct core *c, struct job_take *t)
{
	for (size_t i = 0; i < t->n_lost; i++) {
		bool sure = t->own || suspected(t, t->lost[i].id);

		if (t->loading < TAKE_AT_ONCE && sure &&
		    !is_loading(jobs_of(c), t->lost[i].id))
			take_one(c, &t->lost[i]);
	}
	t->n_suspects = t->n_lost;
	for (size_t i = 0; i < t->n_lost; i++)
		strcpy(t->suspects[i], t->lost[i].id);
}

/* Whether a batch of that owner is this node's to take over. */
static bool lost_to(struct core *c, const struct job_take *t,
		    const struct job_owner *o)
{
	if (t->own)
		return strcmp(o->node, core_node(c)) == 0 &&
		       !job_owner_me(c, o);
	/* This node's own, from a takeover whose answer was lost: again. */
	return !site_mod_alive(c, o->node, o->run) || job_owner_me(c, o);
}

static void look_at(struct core *c, struct job_take *t,
		    const struct kv_item *item)
{
	const char *id = item->key + sizeof(KEY_RUN) - 1;
	struct job_owner owner;
	struct job *j = job_find(c, id);
	struct lost *l;

	if (job_owner_parse(item, &owner) != ERR_OK) {
		log_event(EV_JOB_BAD, "key=%s", item->key);
		return;
	}
	if (owner.ended || owner.over || (j && j->running) ||
	    !lost_to(c, t, &owner))
		return;
	if (t->n_lost == TAKE_BATCHES) {
		log_event(EV_JOB_REFUSED, "batch=%s takeover=next-round", id);
		return;
	}
	l = &t->lost[t->n_lost++];
	snprintf(l->id, sizeof(l->id), "%s", id);
	l->owner = owner;
	l->rev = item->rev;
}

static void on_owners(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_take *t = jobs_of(c)->take;

	if (res->err != ERR_OK) {
		t->busy = false;
		jobs_of(c)->reconcile_ms = core_now(c) + TAKE_ROUND_MS;
		return;
	}
	for (size_t i = 0; i < res->n_items; i++)
		look_at(c, t, &res->items[i]);
	if (res->more && res->n_items) {
		snprintf(t->from, sizeof(t->from), "%s",
			 res->items[res->n_items - 1].key);
		if (kv_list_from(c, KEY_RUN, t->from,
				 (struct kv_cb){on_owners, NULL}) == ERR_OK)
			return;
	} else if (t->own || lead_mod_held(c, NULL)) {
		take_lost(c, t);
		jobs_of(c)->own_looked = true;
	}
	round_over(c);
}

static bool store_settled(struct core *c)
{
	int64_t back = kv_back_since(c);

	return back && core_now(c) - back >= TAKE_SETTLE_MS;
}

static void round_begin(struct core *c, bool own)
{
	struct jobs *jobs = jobs_of(c);
	struct job_take *t;

	if (!jobs->take)
		jobs->take = calloc(1, sizeof(*jobs->take));
	t = jobs->take;
	if (!t)
		return;
	t->own = own;
	t->n_lost = 0;
	t->from[0] = '\0';
	t->nodes_gen = site_mod_nodes_gen(c);
	lead_mod_held(c, &t->epoch);
	t->busy =
		kv_list(c, KEY_RUN, (struct kv_cb){on_owners, NULL}) == ERR_OK;
	if (!t->busy)
		jobs->reconcile_ms = core_now(c) + TAKE_ROUND_MS;
}

/* Whether there is a reason not to wait for the next round. */
static bool round_urgent(struct core *c, const struct job_take *t)
{
	uint64_t epoch = 0;

	lead_mod_held(c, &epoch);
	return !t || t->nodes_gen != site_mod_nodes_gen(c) || t->epoch != epoch;
}

void job_take_step(struct core *c)
{
	struct jobs *jobs = jobs_of(c);

	if (!jobs->draining)
		loadings_step(c);
	if ((jobs->take && jobs->take->busy) || jobs->draining ||
	    !lead_mod_alive(c))
		return;
	if (core_now(c) < jobs->reconcile_ms && !round_urgent(c, jobs->take))
		return;
	if (!jobs->own_looked)
		round_begin(c, true);
	else if (lead_mod_held(c, NULL) && store_settled(c) &&
		 site_mod_nodes_known(c))
		round_begin(c, false);
	else if (jobs->take && jobs->take->loading == 0)
		job_take_free(jobs);
}
