// Serves requests at the owner. A reply is sent only after the copies have
// acknowledged what it depends on.
#include <stdio.h>
#include <string.h>

#include "rollout_defs.h"

static void commit_point_set(struct commit_point *point, const struct stream *s)
{
	*point = (struct commit_point){0};
	if (s)
		*point = (struct commit_point){s->id, s->last_seq};
}

void serve_set_commit_points(const struct owner *o, struct commit_point *point)
{
	commit_point_set(&point[0], o->backup);
	commit_point_set(&point[1], o->next_backup);
}

static void serve_await_commit(struct owner *o, struct request *q)
{
	q->state = REQUEST_COMMITTING;
	q->owner = o;
	serve_set_commit_points(o, q->commit_points);
}

static bool serve_stream_reached(const struct stream *s,
				 const struct commit_point *point)
{
	return !s || s->id != point->stream || s->acked_seq >= point->seq;
}

bool serve_is_replicated(const struct owner *o,
			 const struct commit_point *point)
{
	for (size_t i = 0; i < 2; i++) {
		if (!serve_stream_reached(o->backup, &point[i]) ||
		    !serve_stream_reached(o->next_backup, &point[i]))
			return false;
	}
	return true;
}

static bool serve_committed(const struct request *q)
{
	return q->owner->r->opts.flaw == ROLLOUT_FLAW_EARLY_REPLY ||
	       serve_is_replicated(q->owner, q->commit_points);
}

static void serve_post(struct owner *o, struct request *q)
{
	struct op op = {.kind = OP_BATCH};
	bool known;
	enum err e = home_check(o->home, q->batch, &known);

	if (e != ERR_OK) {
		request_refuse(o->r, q, e, 0);
		return;
	}
	q->reply.slots = q->batch->n_slots;
	q->reply.known = known;
	if (!known) {
		memcpy(op.batch, q->batch->id, sizeof(op.batch));
		op.spec = q->batch;
		e = owner_apply(o, &op);
		q->batch = NULL;
		op_clear(&op);
	}
	if (e != ERR_OK) {
		request_refuse(o->r, q, e, 0);
		return;
	}
	serve_await_commit(o, q);
}

/* Record a pull and build its reply. A pull whose route is not the batch's
 * finds no batch. A reply without samples is sent only when the wait ends. */
static void serve_pull(struct owner *o, struct request *q, bool redeliver)
{
	struct op op;
	const struct home_batch *b = home_find(o->home, q->pull.batch);
	bool wait_over = o->r->now_ms >= q->wait_end_ms || o->r->draining;
	enum err e = ERR_BATCH_UNKNOWN;

	memset(&op, 0, sizeof(op));
	q->max_staleness = b ? b->spec->max_staleness : 0;
	if (!b || strcmp(b->spec->route, q->pull.route) == 0)
		e = home_plan_pull(o->home, &q->pull, redeliver, &op);
	if (e == ERR_OK)
		e = owner_apply(o, &op);
	if (e == ERR_OK)
		e = home_reply(o->home, &op, &q->reply.pull);
	op_clear(&op);
	slot_names_clear(&q->pull.acks);
	slot_names_clear(&q->pull.lost);
	if (e != ERR_OK) {
		request_refuse(o->r, q, e, 0);
		return;
	}
	if (q->reply.pull.n == 0 && q->reply.pull.expired.n == 0 &&
	    !q->reply.pull.done && !wait_over) {
		pull_reply_clear(&q->reply.pull);
		q->state = REQUEST_WAITING;
		q->owner = o;
		return;
	}
	o->r->stats.delivered += q->reply.pull.n;
	serve_await_commit(o, q);
}

void serve_request(struct owner *o, struct request *q)
{
	if (q->batch)
		serve_post(o, q);
	else
		serve_pull(o, q, true);
}

void serve_wake_pulls(struct owner *o, const struct home_batch *b)
{
	struct request *q;
	size_t iter = 0;

	while (b->n_ready > 0 && (q = htab_next(o->r->requests, &iter, NULL))) {
		if (q->owner == o && q->state == REQUEST_WAITING &&
		    strcmp(q->pull.batch, b->spec->id) == 0)
			serve_pull(o, q, false);
	}
}

/* The trainer's version may have increased while the copies were awaited:
 * stale samples are left out; the next reply lists them as expired. */
static void serve_drop_stale(struct request *q)
{
	struct pull_reply *reply = &q->reply.pull;
	const struct home *h = q->owner->home;
	size_t kept = 0;

	for (size_t i = 0; i < reply->n; i++) {
		if (h->flaw_keep_stale ||
		    sample_is_fresh(&reply->items[i].sample, h->version,
				    q->max_staleness))
			reply->items[kept++] = reply->items[i];
		else
			sample_clear(&reply->items[i].sample);
	}
	reply->n = kept;
}

void serve_send_committed(struct rollout *r)
{
	struct request *q;
	size_t iter = 0;

	while ((q = htab_next(r->requests, &iter, NULL))) {
		if (q->state != REQUEST_COMMITTING || !serve_committed(q))
			continue;
		if (q->reply.slots == 0 &&
		    q->pull.session < q->owner->home->session)
			request_refuse(r, q, ERR_SESSION_OLD, 0);
		else {
			serve_drop_stale(q);
			request_answer(r, q);
		}
	}
}

void serve_expire_waiting(struct rollout *r)
{
	struct request *q;
	size_t iter = 0;

	while ((q = htab_next(r->requests, &iter, NULL))) {
		if (q->state != REQUEST_WAITING)
			continue;
		if (q->pull.session < q->owner->home->session)
			request_refuse(r, q, ERR_SESSION_OLD, 0);
		else if (r->now_ms >= q->wait_end_ms || r->draining)
			serve_pull(q->owner, q, false);
	}
}
