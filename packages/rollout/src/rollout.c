// Event entry points of the rollout state machine, and its action queue.
#include "rollout_defs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct rollout_action *rollout_add_action(struct rollout *r,
					  enum rollout_action_kind kind)
{
	struct rollout_action *a = calloc(1, sizeof(*a));

	if (!a)
		abort();
	a->kind = kind;
	if (r->tail)
		r->tail->next = a;
	else
		r->head = a;
	r->tail = a;
	return a;
}

struct rollout_action *rollout_next(struct rollout *r)
{
	struct rollout_action *a = r->head;

	if (!a)
		return NULL;
	r->head = a->next;
	if (!r->head)
		r->tail = NULL;
	a->next = NULL;
	return a;
}

void rollout_action_free(struct rollout_action *a)
{
	if (!a)
		return;
	free(a->buf);
	free(a->value);
	pull_reply_clear(&a->pull);
	free(a);
}

void rollout_send(struct rollout *r, const char *node, enum rollout_msg msg,
		  void *buf, size_t len)
{
	rollout_reply(r, node, 0, msg, buf, len);
}

void rollout_reply(struct rollout *r, const char *node, uint64_t run,
		   enum rollout_msg msg, void *buf, size_t len)
{
	struct rollout_action *a = rollout_add_action(r, ROLLOUT_SEND);

	snprintf(a->node, sizeof(a->node), "%s", node);
	a->to_run = run;
	a->msg = msg;
	a->buf = buf;
	a->len = len;
}

const struct rollout_member *rollout_member(const struct rollout *r,
					    const char *id)
{
	for (size_t i = 0; i < r->n_members; i++) {
		if (strcmp(r->members[i].id, id) == 0)
			return &r->members[i];
	}
	return NULL;
}

bool rollout_alive(const struct rollout *r, const char *id)
{
	const struct rollout_member *m = rollout_member(r, id);

	return m && m->alive;
}

static void rollout_start_run(void *ctx, const struct sched_start *start)
{
	struct rollout *r = ctx;
	const struct batch *spec = start->batch->spec;
	struct rollout_action *a = rollout_add_action(r, ROLLOUT_START_RUN);
	char slot[BATCH_SLOT_NAME_SIZE];
	char id[256];

	batch_slot_name(spec, start->slot, slot);
	snprintf(id, sizeof(id), "%s/%s/%s/%u", r->opts.inc, spec->id, slot,
		 start->run);
	a->run = start->run;
	a->cost = start->cost;
	a->prefix = batch_group_of(spec, start->slot)->prefix;
	memcpy(a->team, spec->team, sizeof(a->team));
	memcpy(a->route, spec->route, sizeof(a->route));
	snprintf(a->avoid, sizeof(a->avoid), "%s", start->avoid);
	a->value =
		batch_engine_request(spec, start->slot, id, start->resume_from);
}

static void rollout_cancel_run(void *ctx, htab_handle run)
{
	rollout_add_action(ctx, ROLLOUT_CANCEL_RUN)->run = run;
}

static const struct sched_ops rollout_sched_ops = {
	.start = rollout_start_run,
	.cancel = rollout_cancel_run,
	.finished = owner_take_sample,
};

struct rollout *rollout_new(const struct rollout_opts *opts)
{
	struct rollout *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->opts = *opts;
	r->opts.sched.ops = &rollout_sched_ops;
	r->opts.sched.ctx = r;
	r->last_stream_id = rng_next(&r->opts.rng);
	r->sched = sched_new(&r->opts.sched);
	r->requests = htab_new(ROLLOUT_MAX_REQUESTS, sizeof(struct request));
	r->kv_calls = htab_new(ROLLOUT_MAX_KV_CALLS, sizeof(struct kv_call));
	if (r->sched && r->requests && r->kv_calls)
		return r;
	rollout_free(r);
	return NULL;
}

static void rollout_free_requests(struct rollout *r)
{
	struct request *q;
	size_t iter = 0;

	while (r->requests && (q = htab_next(r->requests, &iter, NULL)))
		request_del(r, q);
	htab_free(r->requests);
	htab_free(r->kv_calls);
}

void rollout_free(struct rollout *r)
{
	struct rollout_action *a;

	if (!r)
		return;
	rollout_free_requests(r);
	sched_free(r->sched);
	r->sched = NULL;
	while (r->n_owners > 0)
		owner_drop(r->owners[0]);
	while (r->n_replicas > 0)
		copy_drop(r, r->replicas[0]);
	for (size_t i = 0; i < r->n_rcache; i++)
		free(r->rcache[i]);
	for (size_t i = 0; i < r->n_reassemblies; i++)
		free(r->reassemblies[i].buf);
	while ((a = rollout_next(r)))
		rollout_action_free(a);
	free(r->members);
	free(r);
}

static void rollout_advance(struct rollout *r)
{
	request_route_all(r);
	serve_send_committed(r);
	for (size_t i = 0; i < r->n_owners; i++) {
		owner_report_usage(r->owners[i]);
		copy_send_pending(r->owners[i]);
	}
}

void rollout_post(struct rollout *r, uint64_t caller, struct batch *batch,
		  int64_t now_ms)
{
	struct request *q;

	r->now_ms = now_ms;
	q = request_new(r, 0);
	if (!q) {
		struct rollout_action *a =
			rollout_add_action(r, ROLLOUT_REFUSED);

		a->caller = caller;
		a->err = ERR_FULL;
		a->retry_after_ms = ROLLOUT_RETRY_MS;
		batch_free(batch);
		return;
	}
	q->caller = caller;
	q->batch = batch;
	request_route(r, q);
	rollout_advance(r);
}

void rollout_pull(struct rollout *r, uint64_t caller, struct pull *pull,
		  int64_t now_ms)
{
	struct request *q;

	r->now_ms = now_ms;
	q = request_new(r, pull->wait_ms);
	if (!q) {
		struct rollout_action *a =
			rollout_add_action(r, ROLLOUT_REFUSED);

		a->caller = caller;
		a->err = ERR_FULL;
		a->retry_after_ms = ROLLOUT_RETRY_MS;
		pull_clear(pull);
		return;
	}
	q->caller = caller;
	q->pull = *pull;
	memset(pull, 0, sizeof(*pull));
	request_route(r, q);
	rollout_advance(r);
}

void rollout_caller_closed(struct rollout *r, uint64_t caller)
{
	struct request *q;
	size_t iter = 0;

	while ((q = htab_next(r->requests, &iter, NULL))) {
		if (!*q->from && q->caller == caller)
			request_del(r, q);
	}
}

enum err rollout_recv(struct rollout *r, const char *from, uint64_t run,
		      enum rollout_msg type, const void *buf, size_t len,
		      int64_t now_ms)
{
	enum err e = ERR_PARSE;

	r->now_ms = now_ms;
	r->sender_run = run;
	switch (type) {
	case ROLLOUT_MSG_OP:
		e = copy_recv_op(r, from, buf, len);
		break;
	case ROLLOUT_MSG_ACK:
		e = copy_recv_ack(r, from, buf, len);
		break;
	case ROLLOUT_MSG_REQUEST:
		e = forward_recv_request(r, from, buf, len);
		break;
	case ROLLOUT_MSG_REPLY:
		e = forward_recv_reply(r, from, buf, len);
		break;
	case ROLLOUT_MSG_OWNER_QUERY:
		e = rcache_recv_owner_query(r, from, buf, len);
		break;
	case ROLLOUT_MSG_OWNER_REPLY:
		e = rcache_recv_owner_reply(r, buf, len);
		break;
	default:
		break;
	}
	rollout_advance(r);
	return e;
}

void rollout_kv_done(struct rollout *r, const struct rollout_kv *res,
		     int64_t now_ms)
{
	const struct kv_call *found = htab_get(r->kv_calls, res->call);
	struct kv_call call;

	if (!found)
		return;
	r->now_ms = now_ms;
	call = *found;
	htab_del(r->kv_calls, res->call);
	if (call.purpose == KV_READ_RCACHE)
		rcache_read_done(r, &call, res);
	else
		claim_kv_done(r, &call, res);
	rollout_advance(r);
}

void rollout_set_members(struct rollout *r,
			 const struct rollout_member *members, size_t n)
{
	struct rollout_member *copy = calloc(n + 1, sizeof(*copy));

	if (!copy)
		return;
	memcpy(copy, members, n * sizeof(*copy));
	free(r->members);
	r->members = copy;
	r->n_members = n;
}

enum err rollout_tokens(struct rollout *r, htab_handle run, uint64_t version,
			const uint32_t *tokens, size_t n, int64_t now_ms)
{
	return sched_tokens(r->sched, run, version, tokens, n, now_ms);
}

void rollout_ended(struct rollout *r, htab_handle run, enum sched_end end,
		   enum sample_finish finish, const char *server,
		   int64_t retry_after_ms, int64_t now_ms)
{
	r->now_ms = now_ms;
	sched_ended(r->sched, run, end, finish, server, retry_after_ms, now_ms);
	sched_tick(r->sched, now_ms);
	rollout_advance(r);
}

void rollout_tick(struct rollout *r, int64_t now_ms)
{
	r->now_ms = now_ms;
	for (size_t i = r->n_owners; i-- > 0;)
		claim_step(r->owners[i]);
	sched_tick(r->sched, now_ms);
	serve_expire_waiting(r);
	request_tick(r);
	copy_drop_outdated(r);
	forward_expire(r);
	rollout_advance(r);
}

void rollout_set_hedge_percent(struct rollout *r, int percent)
{
	sched_set_hedge_percent(r->sched, percent);
}

void rollout_drain(struct rollout *r)
{
	r->draining = true;
}

/* Whether the backup can take over after this node stops. */
static bool rollout_is_replicated(const struct owner *o)
{
	if (o->home->n_batches == 0)
		return true;
	return o->active && !o->proposing && o->backup && !o->backup->head &&
	       stream_is_synced(o->backup) &&
	       rollout_alive(o->r, o->backup->node);
}

bool rollout_may_stop(const struct rollout *r)
{
	for (size_t i = 0; i < r->n_owners; i++) {
		if (!rollout_is_replicated(r->owners[i]))
			return false;
	}
	return htab_count(r->requests) == 0;
}

enum rollout_role rollout_role(struct rollout *r, const char *team,
			       const char *trainer, uint64_t epoch)
{
	const struct owner *o = owner_find(r, team, trainer);

	if (o && o->rec.epoch == epoch)
		return o->active ? ROLLOUT_ROLE_OWNER : ROLLOUT_ROLE_CLAIMING;
	for (size_t i = 0; i < r->n_replicas; i++) {
		const struct replica *rep = r->replicas[i];

		if (strcmp(rep->team, team) == 0 &&
		    strcmp(rep->trainer, trainer) == 0 && rep->epoch == epoch &&
		    rep->complete && !rep->broken)
			return ROLLOUT_ROLE_BACKUP;
	}
	return ROLLOUT_ROLE_NONE;
}

void rollout_stats(const struct rollout *r, struct rollout_stats *out)
{
	*out = r->stats;
	out->sched = *sched_stats(r->sched);
	out->running = sched_running(r->sched);
	out->owned = r->n_owners;
	out->copies = r->n_replicas;
	out->open_batches = 0;
	for (size_t i = 0; i < r->n_owners; i++)
		out->open_batches += r->owners[i]->home->n_batches;
}
