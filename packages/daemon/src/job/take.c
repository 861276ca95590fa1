// The leader goes on with the batches of nodes that were lost or that left.
//
// A round lists the owner keys: when nodes came or went, when a leader begins, and
// now and then. A batch whose owner is surely lost (job_takeover_now()) gets the
// leader as its owner, is loaded and run.
//
// A node that starts looks for what its own earlier process ran: that process is
// surely gone, so nothing has to lapse first.
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
	TAKE_ROUND_MS = 300, ///< between two rounds while something is lost
	TAKE_IDLE_MS = 5000, ///< between two rounds without a reason
	/// Rounds go on for so long after a loss that was seen, though a call of
	/// this node's failed meanwhile.
	TAKE_LOSS_MS = 10000,
	TAKE_BATCHES = 1024, ///< lost batches of a round
	TAKE_AT_ONCE = 8, ///< batches being loaded
};

/// A batch without a living owner.
struct lost {
	char id[JOB_ID];
	struct job_owner owner;
	uint64_t rev;
	int64_t known_ms; ///< since when the loss is known here
};

/// A batch that was lost in the round before.
struct suspect {
	char id[JOB_ID];
	int64_t known_ms;
};

struct job_take {
	struct lost lost[TAKE_BATCHES];
	size_t n_lost;
	struct suspect suspects[TAKE_BATCHES];
	size_t n_suspects;
	char from[256]; ///< last key of the list's page
	bool busy; ///< a round is in progress
	bool own; ///< the round looks for this node's earlier batches only
	bool settled; ///< the store had answered for long when the round began
	uint64_t nodes_gen; ///< of the last round
	uint64_t epoch; ///< of the leader in the last round
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

static const struct suspect *suspect_find(const struct job_take *t,
					  const char *id)
{
	for (size_t i = 0; i < t->n_suspects; i++) {
		if (strcmp(t->suspects[i].id, id) == 0)
			return &t->suspects[i];
	}
	return NULL;
}

/* Whether a lost batch may be taken now. */
static bool judge(struct core *c, const struct job_take *t, struct lost *l)
{
	const struct suspect *s = suspect_find(t, l->id);
	struct site_loss loss = {0};
	struct job_takeover in = {
		.own = t->own,
		.watched = site_mod_lost(c, l->owner.node, l->owner.run, &loss),
		.owner_rev = l->rev,
		.lost_rev = loss.rev,
		.store_ms = loss.store_ms,
		.suspected = s != NULL,
		.settled = t->settled,
	};
	bool now = job_takeover_now(&in);

	if (in.watched && l->rev <= loss.rev)
		l->known_ms = loss.at_ms;
	else if (s)
		l->known_ms = s->known_ms;
	log_event(EV_JOB_LOST,
		  "batch=%s owner=%s run=%s own=%d watched=%d owner_rev=%llu "
		  "lost_rev=%llu store_ms=%lld "
		  "suspected=%d settled=%d known_ms=%lld take=%d",
		  l->id, l->owner.node, l->owner.run, in.own, in.watched,
		  (unsigned long long)in.owner_rev,
		  (unsigned long long)in.lost_rev, (long long)in.store_ms,
		  in.suspected, in.settled,
		  (long long)(core_now(c) - l->known_ms), now);
	return now;
}

static void take_lost(struct core *c, struct job_take *t)
{
	const struct jobs *jobs = jobs_of(c);

	for (size_t i = 0; i < t->n_lost; i++) {
		struct lost *l = &t->lost[i];
		struct job_load_opts opts = {
			.owner = &l->owner,
			.rev = l->rev,
		};

		if (job_loads_active(jobs) >= TAKE_AT_ONCE ||
		    job_loading(jobs, l->id) || !judge(c, t, l))
			continue;
		opts.known_ms = l->known_ms;
		job_load_begin(c, l->id, &opts);
	}
	t->n_suspects = t->settled ? t->n_lost : 0;
	for (size_t i = 0; i < t->n_suspects; i++) {
		strcpy(t->suspects[i].id, t->lost[i].id);
		t->suspects[i].known_ms = t->lost[i].known_ms;
	}
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
	l->known_ms = core_now(c);
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

	return back && core_now(c) - back >= JOB_STORE_SETTLE_MS;
}

/* Whether a round may find batches that can be taken. */
static bool round_of_use(struct core *c)
{
	struct site_loss last;

	if (!site_mod_nodes_known(c))
		return false;
	return store_settled(c) || (site_mod_last_loss(c, &last) &&
				    core_now(c) - last.at_ms < TAKE_LOSS_MS);
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
	t->settled = store_settled(c);
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

	if (!jobs->leave.left)
		job_load_step(c);
	if ((jobs->take && jobs->take->busy) || jobs->draining ||
	    jobs->leave.on || !lead_mod_alive(c))
		return;
	if (core_now(c) < jobs->reconcile_ms && !round_urgent(c, jobs->take))
		return;
	if (!jobs->own_looked)
		round_begin(c, true);
	else if (lead_mod_held(c, NULL) && round_of_use(c))
		round_begin(c, false);
	else if (jobs->take && !job_loads_active(jobs))
		job_take_free(jobs);
}
