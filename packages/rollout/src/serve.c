// Serves requests at the owner. A reply is sent only after the copies have
// acknowledged what it depends on.
#include <stdio.h>
#include <string.h>

#include "rollout_defs.h"

static void serve_need(struct commit_need *need, const struct stream *s)
{
	*need = (struct commit_need){0};
	if (s)
		*need = (struct commit_need){s->id, s->last};
}

void serve_set_need(const struct owner *o, struct commit_need *need)
{
	serve_need(&need[0], o->backup);
	serve_need(&need[1], o->next);
}

static void serve_commit(struct owner *o, struct request *q)
{
	q->state = REQUEST_COMMIT;
	q->owner = o;
	serve_set_need(o, q->need);
}

static bool serve_stream_has(const struct stream *s,
			     const struct commit_need *need)
{
	return !s || s->id != need->stream || s->acked >= need->seq;
}

bool serve_copied(const struct owner *o, const struct commit_need *need)
{
	for (size_t i = 0; i < 2; i++) {
		if (!serve_stream_has(o->backup, &need[i]) ||
		    !serve_stream_has(o->next, &need[i]))
			return false;
	}
	return true;
}

static bool serve_committed(const struct request *q)
{
	return q->owner->r->opts.flaw == ROLLOUT_ANSWERS_EARLY ||
	       serve_copied(q->owner, q->need);
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
		e = owner_emit(o, &op);
		q->batch = NULL;
		op_clear(&op);
	}
	if (e != ERR_OK) {
		request_refuse(o->r, q, e, 0);
		return;
	}
	serve_commit(o, q);
}

/* Record a pull and build its reply. A pull whose route is not the batch's
 * finds no batch. A reply without samples is sent only when the wait ends. */
static void serve_pull(struct owner *o, struct request *q, bool again)
{
	struct op op;
	const struct home_batch *b = home_find(o->home, q->pull.batch);
	bool over = o->r->now_ms >= q->wait_end_ms || o->r->draining;
	enum err e = ERR_BATCH_UNKNOWN;

	memset(&op, 0, sizeof(op));
	q->max_staleness = b ? b->spec->max_staleness : 0;
	if (!b || strcmp(b->spec->route, q->pull.route) == 0)
		e = home_plan_pull(o->home, &q->pull, again, &op);
	if (e == ERR_OK)
		e = owner_emit(o, &op);
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
	    !q->reply.pull.done && !over) {
		pull_reply_clear(&q->reply.pull);
		q->state = REQUEST_HELD;
		q->owner = o;
		return;
	}
	o->r->stats.handed += q->reply.pull.n;
	serve_commit(o, q);
}

void serve_request(struct owner *o, struct request *q)
{
	if (q->batch)
		serve_post(o, q);
	else
		serve_pull(o, q, true);
}

void serve_wake(struct owner *o, const struct home_batch *b)
{
	struct request *q;
	size_t iter = 0;

	while (b->n_ready > 0 && (q = htab_next(o->r->requests, &iter, NULL))) {
		if (q->owner == o && q->state == REQUEST_HELD &&
		    strcmp(q->pull.batch, b->spec->id) == 0)
			serve_pull(o, q, false);
	}
}

/* The trainer's version may have increased while the copies were awaited.
 * Samples that became stale are left out; the next reply lists their slots
 * as expired. */
static void serve_drop_stale(struct request *q)
{
	struct pull_reply *reply = &q->reply.pull;
	const struct home *h = q->owner->home;
	size_t kept = 0;

	for (size_t i = 0; i < reply->n; i++) {
		if (h->keeps_stale ||
		    sample_fresh(&reply->items[i].sample, h->version,
				 q->max_staleness))
			reply->items[kept++] = reply->items[i];
		else
			sample_clear(&reply->items[i].sample);
	}
	reply->n = kept;
}

void serve_commits(struct rollout *r)
{
	struct request *q;
	size_t iter = 0;

	while ((q = htab_next(r->requests, &iter, NULL))) {
		if (q->state != REQUEST_COMMIT || !serve_committed(q))
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

void serve_held(struct rollout *r)
{
	struct request *q;
	size_t iter = 0;

	while ((q = htab_next(r->requests, &iter, NULL))) {
		if (q->state != REQUEST_HELD)
			continue;
		if (q->pull.session < q->owner->home->session)
			request_refuse(r, q, ERR_SESSION_OLD, 0);
		else if (r->now_ms >= q->wait_end_ms || r->draining)
			serve_pull(q->owner, q, false);
	}
}
