// Routes a request: serve it here, or forward it to the owner or its backup.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rollout_defs.h"

enum {
	ROUTE_MAX_FORWARDS = 6,
	ROUTE_RETRY_MS = 100,
	RCACHE_ABSENT_TTL_MS = 200, ///< then an absent record is read again
};

struct request *request_new(struct rollout *r, int64_t wait_ms)
{
	htab_handle h;
	struct request *q = htab_add(r->requests, &h);

	if (!q)
		return NULL;
	q->h = h;
	q->arrived_ms = r->now_ms;
	q->wait_end_ms = r->now_ms + wait_ms;
	q->deadline_ms = q->wait_end_ms + r->opts.request_timeout_ms;
	return q;
}

void request_del(struct rollout *r, struct request *q)
{
	batch_free(q->batch);
	pull_clear(&q->pull);
	msg_reply_clear(&q->reply);
	htab_del(r->requests, q->h);
}

void request_refuse(struct rollout *r, struct request *q, enum err e,
		    int64_t retry_after_ms)
{
	struct rollout_action *a;

	if (*q->from) {
		forward_reply(r, q, &(struct msg_reply){.err = e});
	} else {
		a = rollout_add_action(r, ROLLOUT_REFUSED);
		a->caller = q->caller;
		a->err = e;
		a->retry_after_ms = retry_after_ms;
	}
	request_del(r, q);
}

void request_answer(struct rollout *r, struct request *q)
{
	bool post = q->reply.slots > 0;
	struct rollout_action *a;

	if (*q->from) {
		forward_reply(r, q, &q->reply);
		request_del(r, q);
		return;
	}
	a = rollout_add_action(r, post ? ROLLOUT_ACCEPTED : ROLLOUT_PULL_REPLY);
	a->caller = q->caller;
	a->slots = q->reply.slots;
	a->known = q->reply.known;
	a->pull = q->reply.pull;
	memset(&q->reply.pull, 0, sizeof(q->reply.pull));
	request_del(r, q);
}

static const char *request_team(const struct request *q)
{
	return q->batch ? q->batch->team : q->pull.team;
}

static const char *request_trainer(const struct request *q)
{
	return q->batch ? q->batch->trainer : q->pull.trainer;
}

/* The trainer has no record: for a POST, this node claims ownership. */
static void request_claim_trainer(struct rollout *r, struct request *q,
				  struct rcache_entry *p)
{
	struct home *home;
	struct owner *o;

	if (r->now_ms - p->read_ms > RCACHE_ABSENT_TTL_MS) {
		rcache_invalidate(p);
		rcache_read(r, p);
		return;
	}
	if (!q->batch) {
		request_refuse(r, q, ERR_BATCH_UNKNOWN, 0);
		return;
	}
	home = home_new(p->team, p->trainer);
	o = home ? owner_new(r, home, NULL, 0) : NULL;
	if (!o) {
		home_free(home);
		request_refuse(r, q, ERR_FULL, ROLLOUT_RETRY_MS);
		return;
	}
	claim_step(o);
}

static bool request_owner_gone(const struct rollout *r, const struct request *q,
			       const struct rcache_entry *p)
{
	if (p->stateless_epoch == p->rec.epoch || q->take_over)
		return true;
	return strcmp(p->rec.owner, r->opts.node) == 0 ||
	       !rollout_alive(r, p->rec.owner);
}

/* This node is the backup: take over from the copy. */
static bool request_take_over(struct rollout *r, struct rcache_entry *p)
{
	struct replica *rep = copy_find(r, p->team, p->trainer, p->rec.owner);
	struct owner *o;

	if (!rep || !rep->complete || rep->broken || rep->epoch != p->rec.epoch)
		return false;
	if (p->rev == 0) {
		rcache_invalidate(p);
		rcache_read(r, p);
		return true;
	}
	o = owner_new(r, rep->home, &p->rec, p->rev);
	if (!o)
		return false;
	rep->home = NULL;
	copy_drop(r, rep);
	r->stats.takeovers++;
	claim_step(o);
	return true;
}

/* Not served here: tell the forwarding node, or retry after a pause. */
static void request_not_served(struct rollout *r, struct request *q,
			       struct rcache_entry *p)
{
	bool state_lost = strcmp(p->rec.owner, r->opts.node) == 0;

	if (*q->from && p->read_ms >= q->arrived_ms) {
		forward_reply(r, q,
			      &(struct msg_reply){.not_owner = true,
						  .state_lost = state_lost});
		request_del(r, q);
		return;
	}
	q->not_before_ms = r->now_ms + ROUTE_RETRY_MS;
	rcache_invalidate(p);
	rcache_read(r, p);
}

static void request_route_by_record(struct rollout *r, struct request *q,
				    struct rcache_entry *p)
{
	bool owner_gone = request_owner_gone(r, q, p);
	bool is_backup = strcmp(p->rec.backup, r->opts.node) == 0;

	if (owner_gone && is_backup && request_take_over(r, p))
		return;
	if (*q->from ||
	    (owner_gone && (is_backup || !rollout_alive(r, p->rec.backup)))) {
		request_not_served(r, q, p);
		return;
	}
	if (q->tries++ >= ROUTE_MAX_FORWARDS) {
		request_refuse(r, q, ERR_BATCH_UNSURE, ROLLOUT_RETRY_MS);
		return;
	}
	forward_request(r, q, owner_gone ? p->rec.backup : p->rec.owner,
			owner_gone);
}

void request_route(struct rollout *r, struct request *q)
{
	struct owner *o = owner_find(r, request_team(q), request_trainer(q));
	struct rcache_entry *p;

	if (q->state != REQUEST_ROUTING || r->now_ms < q->not_before_ms)
		return;
	if (o) {
		if (o->active)
			serve_request(o, q);
		return;
	}
	p = rcache_get(r, request_team(q), request_trainer(q));
	if (!p)
		request_refuse(r, q, ERR_FULL, ROLLOUT_RETRY_MS);
	else if (!p->valid)
		rcache_read(r, p);
	else if (!p->exists)
		request_claim_trainer(r, q, p);
	else
		request_route_by_record(r, q, p);
}

void request_route_all(struct rollout *r)
{
	struct request *q;
	size_t iter = 0;

	while ((q = htab_next(r->requests, &iter, NULL)))
		request_route(r, q);
}

static void request_check_target(struct rollout *r, struct request *q)
{
	if (rollout_alive(r, q->forwarded_to))
		return;
	q->state = REQUEST_ROUTING;
	q->take_over = false;
}

void request_tick(struct rollout *r)
{
	struct request *q;
	size_t iter = 0;

	while ((q = htab_next(r->requests, &iter, NULL))) {
		if (r->now_ms >= q->deadline_ms)
			request_refuse(r, q, ERR_BATCH_UNSURE,
				       ROLLOUT_RETRY_MS);
		else if (q->state == REQUEST_FORWARDED)
			request_check_target(r, q);
	}
}
