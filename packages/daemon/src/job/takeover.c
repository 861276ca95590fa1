// The leader takes over batches of nodes that were lost or that left.
//
// A round lists the owner keys: after a membership change or election, and periodically.
// The leader becomes the owner of each batch whose owner is certainly lost
// (job_takeover_allowed()) and runs it.
//
// A starting node scans for batches of its own earlier process: that one is certainly
// gone, so no lease has to expire first.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "daemon/lead_mod.h"
#include "daemon/site_mod.h"
#include "job/load.h"
#include "job/takeover.h"
#include "store_keys.h"

enum {
	TAKEOVER_RETRY_MS = 300, ///< between rounds with lost batches
	TAKEOVER_IDLE_MS = 5000, ///< between rounds otherwise
	/// Rounds continue for so long after a loss, even if this node's store calls
	/// failed since.
	TAKEOVER_RECENT_LOSS_MS = 10000,
	TAKEOVER_LOST_MIN = 64, ///< initial rows of a table of lost batches
	TAKEOVER_LOADS_MAX = 8, ///< batches loaded at once
};

/// A batch without a living owner.
struct lost_batch {
	char id[JOB_ID_BYTES];
	struct job_owner owner;
	uint64_t rev;
	int64_t loss_known_ms; ///< when this node detected the loss
};

/// A batch that was lost in the previous round.
struct suspect {
	char id[JOB_ID_BYTES];
	int64_t loss_known_ms;
};

struct job_takeover_scan {
	struct lost_batch *lost; ///< in the order of their keys
	size_t n_lost;
	size_t lost_cap; ///< rows
	struct suspect *suspects;
	size_t n_suspects;
	char last_loaded[JOB_ID_BYTES]; ///< the next round goes on after it
	char last_key[256]; ///< last key of the listed page
	bool busy; ///< a round is in progress
	bool own_only; ///< only batches of this node's earlier process
	bool settled; ///< store_settled() when the round began
	uint64_t nodes_gen; ///< of the last round
	uint64_t epoch; ///< of the leader in the last round
};

void job_takeover_free(struct jobs *jobs)
{
	struct job_takeover_scan *t = jobs->takeover_scan;

	if (!t)
		return;
	free(t->lost);
	free(t->suspects);
	free(t);
	jobs->takeover_scan = NULL;
}

static void round_finish(struct core *c)
{
	struct jobs *jobs = jobs_of(c);

	jobs->takeover_scan->busy = false;
	jobs->takeover_next_ms =
		core_now(c) + (jobs->takeover_scan->n_lost ? TAKEOVER_RETRY_MS
							   : TAKEOVER_IDLE_MS);
}

static const struct suspect *suspect_find(const struct job_takeover_scan *t,
					  const char *id)
{
	for (size_t i = 0; i < t->n_suspects; i++) {
		if (strcmp(t->suspects[i].id, id) == 0)
			return &t->suspects[i];
	}
	return NULL;
}

/* Whether a lost batch may be taken over in this round. */
static bool may_take_over(struct core *c, const struct job_takeover_scan *t,
			  struct lost_batch *l)
{
	const struct suspect *s = suspect_find(t, l->id);
	struct site_node_loss loss = {0};
	struct job_takeover in = {
		.own = t->own_only,
		.watched = site_mod_node_loss(c, l->owner.node,
					      l->owner.incarnation, &loss),
		.owner_rev = l->rev,
		.lost_rev = loss.rev,
		.store_ms = loss.store_ms,
		.suspected = s != NULL,
		.settled = t->settled,
	};
	bool now = job_takeover_allowed(&in);

	if (in.watched && l->rev <= loss.rev)
		l->loss_known_ms = loss.at_ms;
	else if (s)
		l->loss_known_ms = s->loss_known_ms;
	log_event(EV_JOB_LOST,
		  "batch=%s owner=%s run=%s own=%d watched=%d owner_rev=%llu "
		  "lost_rev=%llu store_ms=%lld "
		  "suspected=%d settled=%d known_ms=%lld take=%d",
		  l->id, l->owner.node, l->owner.incarnation, in.own,
		  in.watched, (unsigned long long)in.owner_rev,
		  (unsigned long long)in.lost_rev, (long long)in.store_ms,
		  in.suspected, in.settled,
		  (long long)(core_now(c) - l->loss_known_ms), now);
	return now;
}

static void load_lost(struct core *c, struct job_takeover_scan *t,
		      struct lost_batch *l)
{
	const struct jobs *jobs = jobs_of(c);
	struct job_load_opts opts = {
		.owner = &l->owner,
		.rev = l->rev,
	};

	if (job_loads_active(jobs) >= TAKEOVER_LOADS_MAX ||
	    job_loading(jobs, l->id) || !may_take_over(c, t, l))
		return;
	opts.loss_known_ms = l->loss_known_ms;
	strcpy(t->last_loaded, l->id);
	job_load_begin(c, l->id, &opts);
}

/* Remember the batches lost in this round. */
static void suspect_all(struct job_takeover_scan *t)
{
	struct suspect *p = realloc(t->suspects, (t->n_lost + 1) * sizeof(*p));

	t->n_suspects = t->settled && p ? t->n_lost : 0;
	if (!p)
		return;
	t->suspects = p;
	for (size_t i = 0; i < t->n_suspects; i++) {
		strcpy(t->suspects[i].id, t->lost[i].id);
		t->suspects[i].loss_known_ms = t->lost[i].loss_known_ms;
	}
}

/* Index of the first batch after the one that was loaded last, the count if there is none. */
static size_t next_to_load(const struct job_takeover_scan *t)
{
	size_t i = 0;

	while (t->lost && i < t->n_lost &&
	       strcmp(t->lost[i].id, t->last_loaded) <= 0)
		i++;
	return i;
}

/* Load pattern: more batches are lost than are loaded at once, and some can't be loaded. Each
 * round goes on where the last one ended, so that these don't keep the others waiting. */
static void take_over_lost(struct core *c, struct job_takeover_scan *t)
{
	size_t first = next_to_load(t);

	for (size_t i = 0; i < t->n_lost; i++)
		load_lost(c, t, &t->lost[(first + i) % t->n_lost]);
	suspect_all(t);
}

/* Whether this node takes over batches of that owner. */
static bool is_candidate(struct core *c, const struct job_takeover_scan *t,
			 const struct job_owner *o)
{
	if (t->own_only)
		return strcmp(o->node, core_node(c)) == 0 &&
		       !job_owner_is_self(c, o);
	/* This node's own is from a takeover whose answer was lost: repeat it. */
	return !site_mod_run_alive(c, o->node, o->incarnation) ||
	       job_owner_is_self(c, o);
}

/* @return NULL when out of memory */
static struct lost_batch *lost_add(struct job_takeover_scan *t)
{
	size_t cap = t->lost_cap ? 2 * t->lost_cap : TAKEOVER_LOST_MIN;
	struct lost_batch *p;

	if (t->n_lost == t->lost_cap) {
		p = realloc(t->lost, cap * sizeof(*p));
		if (!p)
			return NULL;
		t->lost = p;
		t->lost_cap = cap;
	}
	return &t->lost[t->n_lost++];
}

static void check_owner_key(struct core *c, struct job_takeover_scan *t,
			    const struct kv_item *item)
{
	const char *id = item->key + sizeof(KEY_RUN) - 1;
	struct job_owner owner;
	struct job *j = job_find(c, id);
	struct lost_batch *l;

	if (job_owner_parse(item, &owner) != ERR_OK) {
		log_event(EV_JOB_BAD, "key=%s", item->key);
		return;
	}
	if (owner.ended || owner.complete || (j && j->running) ||
	    !is_candidate(c, t, &owner))
		return;
	l = lost_add(t);
	if (!l) {
		log_event(EV_JOB_REFUSED, "batch=%s takeover=next-round", id);
		return;
	}
	snprintf(l->id, sizeof(l->id), "%s", id);
	l->owner = owner;
	l->rev = item->rev;
	l->loss_known_ms = core_now(c);
}

static void on_owners(struct core *c, void *ctx, const struct kv_result *res)
{
	struct job_takeover_scan *t = jobs_of(c)->takeover_scan;

	if (res->err != ERR_OK) {
		t->busy = false;
		jobs_of(c)->takeover_next_ms = core_now(c) + TAKEOVER_RETRY_MS;
		return;
	}
	for (size_t i = 0; i < res->n_items; i++)
		check_owner_key(c, t, &res->items[i]);
	if (res->more && res->n_items) {
		snprintf(t->last_key, sizeof(t->last_key), "%s",
			 res->items[res->n_items - 1].key);
		if (kv_list_after(c, KEY_RUN, t->last_key,
				  (struct kv_cb){on_owners, NULL}) == ERR_OK)
			return;
	} else if (t->own_only || lead_mod_is_leader(c, NULL)) {
		take_over_lost(c, t);
		jobs_of(c)->own_scan_done = true;
	}
	round_finish(c);
}

static bool store_settled(struct core *c)
{
	int64_t back = kv_up_since(c);

	return back && core_now(c) - back >= JOB_STORE_SETTLE_MS;
}

/* Whether a round could find batches that may be taken over. */
static bool round_is_useful(struct core *c)
{
	struct site_node_loss last;

	if (!site_mod_nodes_listed(c))
		return false;
	return store_settled(c) ||
	       (site_mod_last_node_loss(c, &last) &&
		core_now(c) - last.at_ms < TAKEOVER_RECENT_LOSS_MS);
}

static void round_begin(struct core *c, bool own_only)
{
	struct jobs *jobs = jobs_of(c);
	struct job_takeover_scan *t;

	if (!jobs->takeover_scan)
		jobs->takeover_scan = calloc(1, sizeof(*jobs->takeover_scan));
	t = jobs->takeover_scan;
	if (!t)
		return;
	t->own_only = own_only;
	t->settled = store_settled(c);
	t->n_lost = 0;
	t->last_key[0] = '\0';
	t->nodes_gen = site_mod_nodes_gen(c);
	lead_mod_is_leader(c, &t->epoch);
	t->busy =
		kv_list(c, KEY_RUN, (struct kv_cb){on_owners, NULL}) == ERR_OK;
	if (!t->busy)
		jobs->takeover_next_ms = core_now(c) + TAKEOVER_RETRY_MS;
}

/* Whether membership or the leader changed since the last round. */
static bool round_urgent(struct core *c, const struct job_takeover_scan *t)
{
	uint64_t epoch = 0;

	lead_mod_is_leader(c, &epoch);
	return !t || t->nodes_gen != site_mod_nodes_gen(c) || t->epoch != epoch;
}

void job_takeover_step(struct core *c)
{
	struct jobs *jobs = jobs_of(c);

	if (!jobs->handover.closed)
		job_load_step(c);
	if ((jobs->takeover_scan && jobs->takeover_scan->busy) ||
	    jobs->draining || jobs->handover.started ||
	    !lead_mod_live_key_held(c))
		return;
	if (core_now(c) < jobs->takeover_next_ms &&
	    !round_urgent(c, jobs->takeover_scan))
		return;
	if (!jobs->own_scan_done)
		round_begin(c, true);
	else if (lead_mod_is_leader(c, NULL) && round_is_useful(c))
		round_begin(c, false);
	else if (jobs->takeover_scan && !job_loads_active(jobs))
		job_takeover_free(jobs);
}
