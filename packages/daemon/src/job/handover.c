// Steps of a handover: cancel the batch's attempts, write ready results and texts, send
// the message to its next home. That home becomes the owner by compare-and-swap on the
// revision in the message; the watch on the owner key reports it here. If it fails to
// in time, the leader takes over once this node's liveness key is gone.
#include "job/handover.h"

#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "daemon/lead_mod.h"
#include "job/handover_msg.h"
#include "job/job.h"
#include "job/load.h"

enum {
	/// A next home reads the batch and writes the owner key within some ten
	/// milliseconds.
	HANDOVER_TIMEOUT_MS = 500,
	/// Engines emit an event each 49 ms and only then notice a cancelled request. A
	/// next home that sent earlier was rejected by engines still full and avoided
	/// them for up to 2.4 s.
	HANDOVER_FREEZE_MIN_MS = 100,
};

static struct job_handover_state *state_of(const struct core *c)
{
	return &jobs_of(c)->handover;
}

void job_handover_begin(struct core *c, int64_t deadline_ms)
{
	struct job_handover_state *state = state_of(c);

	if (!state->started || deadline_ms < state->deadline_ms)
		state->deadline_ms = deadline_ms;
	if (state->started)
		return;
	state->started = true;
	state->started_ms = core_now(c);
	lead_mod_retire(c);
}

static enum err send_handover(struct core *c, const struct job *j,
			      const struct site_node *to)
{
	const struct handover h = {
		.job = j->id,
		.rev = j->owner_rev,
		.run = j->owner.incarnation,
		.team = j->owner.team,
		.total = j->owner.total,
		.at_ms = (uint64_t)j->owner.submitted_ms,
		.age_ms = (uint64_t)(core_now(c) - j->frozen_ms),
	};
	msgpack_sbuffer buf;
	enum err e;

	msgpack_sbuffer_init(&buf);
	handover_pack(&buf, &h);
	e = core_peer_add(c, to->node, to->peer);
	if (e == ERR_OK)
		e = core_peer_send(c, to->node, PEER_JOB_HANDOVER, buf.data,
				   buf.size);
	msgpack_sbuffer_destroy(&buf);
	return e;
}

static void hand_over_batch(struct core *c, struct job *j)
{
	const struct site_node *to = job_home_of(c, j->owner.team, true);
	enum err e = to ? send_handover(c, j, to) : ERR_NOT_FOUND;

	j->handover_sent_ms = core_now(c);
	j->handover_failed = e != ERR_OK;
	log_event(EV_JOB_HANDOVER,
		  "batch=%s to=%s rev=%llu listed=%zu items=%zu frozen_ms=%lld "
		  "left_ms=%lld error=%s",
		  j->id, to ? to->node : "", (unsigned long long)j->owner_rev,
		  j->list.n, j->spec->n_items,
		  (long long)(core_now(c) - j->frozen_ms),
		  (long long)(state_of(c)->deadline_ms - core_now(c)),
		  err_code(e));
}

static void handover_batch_step(struct core *c, struct job *j)
{
	/* An ended batch needs no handover: it stops after its last record. */
	if (j->owner.ended || j->handover_failed)
		return;
	if (j->handover_sent_ms) {
		j->handover_failed = core_now(c) - j->handover_sent_ms >=
				     HANDOVER_TIMEOUT_MS;
		return;
	}
	/* No node can take over without the store; the items keep running here. */
	if (!j->frozen_ms && kv_up_since(c))
		job_freeze(c, j);
	if (!j->frozen_ms)
		return;
	if (job_texts_flush(c, j) && !j->store_busy && !j->record &&
	    core_now(c) - j->frozen_ms >= HANDOVER_FREEZE_MIN_MS)
		hand_over_batch(c, j);
}

/* Drops the liveness key, so that the leader takes the batches over. */
static void leave_to_leader(struct core *c, int n_batches)
{
	struct jobs *jobs = jobs_of(c);
	struct job *j;
	size_t iter = 0;

	while ((j = htab_next(jobs->jobs, &iter, NULL))) {
		if (j->running)
			job_stop(c, j, "draining");
	}
	lead_mod_revoke_live_key(c);
	jobs->handover.closed = true;
	log_event(EV_JOB_HANDOVER_ENDED, "left_to_leader=%d ms=%lld", n_batches,
		  (long long)(core_now(c) - jobs->handover.started_ms));
}

void job_handover_step(struct core *c)
{
	struct jobs *jobs = jobs_of(c);
	struct job_handover_state *state = &jobs->handover;
	bool overdue = core_now(c) >= state->deadline_ms;
	int failed = 0;
	int remaining = 0;
	struct job *j;
	size_t iter = 0;

	if (!state->started || state->closed)
		return;
	while ((j = htab_next(jobs->jobs, &iter, NULL))) {
		if (j->running)
			handover_batch_step(c, j);
		failed += j->running && j->handover_failed;
		remaining += j->running && !j->handover_failed;
	}
	remaining += (int)htab_count(jobs->submits) + (jobs->loads != NULL);
	state->remaining = remaining + failed;
	if (!overdue && remaining)
		return;
	/* A retired node without batches still serves requests: it keeps its liveness
	 * key until it is removed. */
	if (failed || jobs->draining || (overdue && state->remaining))
		leave_to_leader(c, remaining + failed);
}

bool job_handover_done(struct core *c)
{
	const struct job_handover_state *state = state_of(c);

	return state->closed || (state->started && !state->remaining);
}

bool job_handover_closed(const struct core *c)
{
	return state_of(c)->closed;
}

/* Whether this node can take over a batch that another node hands over. */
static bool can_accept(struct core *c, const struct handover *h)
{
	const struct job *j = job_find(c, h->job);

	return lead_mod_live_key_held(c) && kv_up_since(c) &&
	       !state_of(c)->started && !jobs_of(c)->draining &&
	       !(j && j->running) && !job_loading(jobs_of(c), h->job);
}

static void accept_handover(struct core *c, const char *from,
			    const struct handover *h)
{
	struct job_owner owner = {
		.total = h->total,
		.submitted_ms = (int64_t)h->at_ms,
	};
	const struct job_load_opts opts = {
		.owner = &owner,
		.rev = h->rev,
		.loss_known_ms = core_now(c) - (int64_t)h->age_ms,
	};
	bool accepted = can_accept(c, h);

	log_event(EV_JOB_HANDOVER,
		  "batch=%s from=%s rev=%llu age_ms=%llu take=%d", h->job, from,
		  (unsigned long long)h->rev, (unsigned long long)h->age_ms,
		  accepted);
	if (!accepted)
		return;
	snprintf(owner.team, sizeof(owner.team), "%s", h->team);
	job_load_begin(c, h->job, &opts);
}

static void on_handover(struct core *c, void *ctx, const char *from,
			const void *buf, size_t len)
{
	struct handover h = {0};
	struct arena a;

	arena_init(&a, 0);
	if (handover_read(buf, len, &a, &h) == ERR_OK &&
	    strlen(h.job) < JOB_ID_BYTES && strlen(h.team) < JOB_ID_BYTES)
		accept_handover(c, from, &h);
	else
		metric_add(M_PEER_MALFORMED, 1);
	arena_free(&a);
}

enum err job_handover_start(struct core *c)
{
	return core_peer_on(c, PEER_JOB_HANDOVER, on_handover, NULL);
}
