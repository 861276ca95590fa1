// Callers repeat keyed calls at three nodes while everything fails.
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "attempt/attempt.h"
#include "claim/ask.h"
#include "claim/shard.h"
#include "sim_kv.h"

enum {
	NODES = 3,
	CALLS = 6,
	REPEATS = 4, ///< requests of one call, at most
	REQUESTS = CALLS * REPEATS,
	END_MS = 20000,
	DEADLINE_MS = 2000, ///< of a request
	KV_TIMEOUT_MS = 300,
	SHARD_WAIT_MS = 1000,
	TICK_MS = 20,
	DESK_FAULTS = 8, ///< of 12 draws, the rest run well
};

/// What meets an attempt at the desk.
enum desk_fault {
	DESK_REFUSE, ///< not sent
	DESK_RESET_BEFORE, ///< sent, no run
	DESK_RESET_AFTER, ///< run, no answer
	DESK_HANG, ///< run, silence
	DESK_SILENT, ///< sent into nothing, no run
	DESK_LATE_RUN, ///< runs after the deadline
	DESK_LATE_ANSWER, ///< answers after the deadline
	DESK_SLOW, ///< runs after a while, answers
	DESK_OK,
};

struct node {
	struct sim *sim;
	struct claim_shard *shard;
	struct attempt_budget budget;
	bool dead;
	int64_t cut_from; ///< from the store and the other nodes
	int64_t cut_to;
	uint64_t kv_wait; ///< call that is out, 0 for none
};

struct request {
	int call;
	int node;
	struct claim_ask ask;
	struct claim_request claim;
	struct attempt att;
	int64_t deadline_ms;
	bool begun;
	bool in_flight;
	uint64_t attempt_id; ///< answers of older attempts are ignored
	bool over; ///< answered or its node died
	bool told;
	enum run_state run;
	int runs;
};

struct kv_call {
	struct node *node;
	struct sim_kv_call call;
	uint64_t id;
	bool lose_reply;
};

struct sim {
	enum sim_variant v;
	struct sim_clock clock;
	struct sim_kv kv[NODES]; ///< one is used, but without shared claims
	struct node nodes[NODES];
	struct request reqs[REQUESTS];
	int runs[CALLS];
	uint64_t next_id;
	struct sim_totals *out;
};

struct message {
	struct node *node;
	struct request *req;
	enum claim_verdict verdict;
	struct claim_record note;
	int booking; ///< of an answer
	uint64_t attempt_id;
	enum desk_fault fault;
};

static void req_step(struct sim *s, struct request *r, enum claim_step step,
		     enum claim_verdict v, int booking);

static uint64_t draw(struct sim *s, uint64_t n)
{
	return rng_below(&s->clock.rng, n);
}

static struct claim_time now(const struct sim *s)
{
	return (struct claim_time){s->clock.now, 1000000 + s->clock.now};
}

static bool node_cut(const struct node *n)
{
	int64_t t = n->sim->clock.now;

	return n->dead || (t >= n->cut_from && t < n->cut_to);
}

static struct sim_kv *node_kv(struct node *n)
{
	bool shared = n->sim->v != SIM_NO_SHARED_CLAIMS;

	return &n->sim->kv[shared ? 0 : n - n->sim->nodes];
}

// --- store ------------------------------------------------------------------

static void kv_call_free(struct kv_call *k)
{
	free(k->call.value);
	free(k);
}

static void kv_deliver(void *ctx, const struct claim_kv *res)
{
	struct kv_call *k = ctx;
	struct node *n = k->node;
	struct claim_kv got = *res;

	if (k->call.op == SIM_DEL || n->dead || n->kv_wait != k->id)
		return;
	if (k->lose_reply || node_cut(n))
		return;
	n->kv_wait = 0;
	claim_shard_kv(n->shard, now(n->sim), &got);
}

static void kv_arrive(void *ctx, uint64_t arg)
{
	struct kv_call *k = ctx;
	struct sim_kv *kv = node_kv(k->node);
	int64_t t = kv->clock->now;

	if (t < kv->down_from || t >= kv->down_to)
		sim_kv_exec(kv, &k->call, kv_deliver, k);
	kv_call_free(k);
}

static void kv_time_out(void *ctx, uint64_t id)
{
	struct node *n = ctx;
	bool ok = n->sim->v == SIM_UNKNOWN_IS_OK;
	struct claim_kv res = {.err = ok ? ERR_OK : ERR_KV_UNKNOWN};

	if (n->dead || n->kv_wait != id)
		return;
	n->kv_wait = 0;
	claim_shard_kv(n->shard, now(n->sim), &res);
}

static void kv_send(void *ctx, enum sim_kv_op op, const char *key,
		    const char *value, size_t len, uint64_t prev_rev)
{
	struct node *n = ctx;
	struct sim *s = n->sim;
	struct kv_call *k = calloc(1, sizeof(*k));
	int64_t delay = 1 + (int64_t)draw(s, 8);

	if (draw(s, 8) == 0)
		delay += (int64_t)draw(s, 3000);
	*k = (struct kv_call){.node = n, .id = ++s->next_id};
	k->call = (struct sim_kv_call){
		.op = op, .len = len, .prev_rev = prev_rev};
	snprintf(k->call.key, sizeof(k->call.key), "%s", key);
	k->call.value = malloc(len + 1);
	if (len > 0)
		memcpy(k->call.value, value, len);
	k->lose_reply = draw(s, 8) == 0;
	if (op != SIM_DEL) {
		n->kv_wait = k->id;
		sim_at(&s->clock, KV_TIMEOUT_MS, kv_time_out, n, k->id);
	}
	if (node_cut(n))
		kv_call_free(k);
	else
		sim_at(&s->clock, delay, kv_arrive, k, 0);
}

static void op_list(void *ctx, const char *prefix)
{
	kv_send(ctx, SIM_LIST, prefix, NULL, 0, 0);
}

static void op_get(void *ctx, const char *key)
{
	kv_send(ctx, SIM_GET, key, NULL, 0, 0);
}

static void op_put(void *ctx, const char *key, const char *value, size_t len,
		   uint64_t prev_rev)
{
	kv_send(ctx, SIM_PUT, key, value, len, prev_rev);
}

static void op_del(void *ctx, const char *key, uint64_t rev)
{
	kv_send(ctx, SIM_DEL, key, NULL, 0, rev);
}

// --- messages between nodes -------------------------------------------------

static void msg_send(struct node *from, struct node *to, sim_fn fn,
		     const struct message *m)
{
	struct sim *s = from->sim;
	struct message *copy = malloc(sizeof(*copy));

	*copy = *m;
	copy->node = to;
	if (from != to &&
	    (node_cut(from) || node_cut(to) || draw(s, 12) == 0)) {
		free(copy);
		return;
	}
	sim_at(&s->clock, from == to ? 0 : 1 + (int64_t)draw(s, 4), fn, copy,
	       0);
}

static void on_verdict(void *ctx, uint64_t arg)
{
	struct message *m = ctx;
	struct request *r = m->req;
	struct sim *s = m->node->sim;
	bool self = arg != 0;

	if (!m->node->dead && r->node == (int)(m->node - s->nodes) && !r->over)
		req_step(s, r, claim_ask_verdict(&r->ask, m->verdict, self),
			 m->verdict, m->booking);
	free(m);
}

static void on_verdict_self(void *ctx, uint64_t arg)
{
	on_verdict(ctx, 1);
}

static void op_verdict(void *ctx, uint64_t ticket, enum claim_verdict v,
		       const struct claim_answer *a)
{
	struct node *n = ctx;
	struct request *r = &n->sim->reqs[ticket];
	struct node *owner = &n->sim->nodes[r->node];
	struct message m = {.req = r, .verdict = v, .booking = -1};

	if (a && a->body)
		m.booking = (int)strtol(a->body, NULL, 10);
	msg_send(n, owner, n == owner ? on_verdict_self : on_verdict, &m);
}

static const struct claim_ops node_ops = {
	.list = op_list,
	.get = op_get,
	.put = op_put,
	.del = op_del,
	.verdict = op_verdict,
};

static void on_ask(void *ctx, uint64_t arg)
{
	struct message *m = ctx;
	struct sim *s = m->node->sim;

	if (!m->node->dead)
		claim_shard_ask(m->node->shard, now(s), &m->req->claim,
				(uint64_t)(m->req - s->reqs));
	free(m);
}

static void on_note(void *ctx, uint64_t arg)
{
	struct message *m = ctx;

	if (!m->node->dead)
		claim_shard_note(m->node->shard, now(m->node->sim), &m->note);
	free(m);
}

// --- requests ---------------------------------------------------------------

static void req_note(struct sim *s, struct request *r, enum claim_op op,
		     int booking)
{
	char body[16];
	struct node *self = &s->nodes[r->node];
	struct message m = {.note = {.op = op, .req = r->claim}};

	snprintf(body, sizeof(body), "%d", booking);
	m.note.answer = (struct claim_answer){
		.status = 200,
		.ctype = "text/plain",
		.body = op == CLAIM_OP_DONE ? body : NULL,
		.len = strlen(body),
	};
	/* Straight in: the body is on the stack. */
	if (op == CLAIM_OP_DONE)
		claim_shard_note(self->shard, now(s), &m.note);
	else
		msg_send(self, self, on_note, &m);
}

static void req_answer(struct sim *s, struct request *r, enum run_state run,
		       int booking)
{
	r->over = true;
	r->told = true;
	r->run = run;
	if (run == RUN_DONE && booking != r->call)
		s->out->wrong_answers++;
	s->out->answered += run == RUN_DONE;
	s->out->maybe += run == RUN_MAYBE;
	s->out->refused += run == RUN_NO;
}

static void desk_run(struct sim *s, struct request *r)
{
	r->runs++;
	s->runs[r->call]++;
	s->out->runs++;
}

static void req_attempt(struct sim *s, struct request *r);

static void req_end(struct sim *s, struct request *r,
		    const struct attempt_outcome *out)
{
	struct node *n = &s->nodes[r->node];
	struct attempt_step st =
		attempt_end(&r->att, &n->budget, s->clock.now, out);
	enum run_state run = st.run;

	r->in_flight = false;
	if (st.again) {
		req_attempt(s, r);
		return;
	}
	if (run == RUN_DONE)
		req_note(s, r, CLAIM_OP_DONE, r->call);
	else if (run == RUN_NO || s->v == SIM_FREE_ON_MAYBE)
		req_note(s, r, CLAIM_OP_FREE, 0);
	if (s->v == SIM_ALWAYS_NOT_RUN && run == RUN_MAYBE)
		run = RUN_NO;
	req_answer(s, r, run, r->call);
}

static void desk_reply(void *ctx, uint64_t arg)
{
	struct message *m = ctx;
	struct request *r = m->req;
	struct sim *s = m->node->sim;
	bool refused = m->fault == DESK_REFUSE;
	bool whole = m->fault >= DESK_LATE_ANSWER;
	struct attempt_outcome out = {
		.err = whole ? ERR_OK : ERR_CLOSED,
		.sent = !refused,
		.status = whole ? 200 : 0,
	};

	/* An answer to an attempt that was given up on is dropped. */
	if (!m->node->dead && !r->over && r->attempt_id == m->attempt_id)
		req_end(s, r, &out);
	free(m);
}

static void desk_late_run(void *ctx, uint64_t arg)
{
	struct message *m = ctx;

	desk_run(m->node->sim, m->req);
	free(m);
}

static void desk_schedule(struct sim *s, struct request *r, sim_fn fn,
			  enum desk_fault f, int64_t delay)
{
	struct message *m = calloc(1, sizeof(*m));

	*m = (struct message){
		.node = &s->nodes[r->node],
		.req = r,
		.attempt_id = r->attempt_id,
		.fault = f,
	};
	sim_at(&s->clock, delay, fn, m, 0);
}

static void req_attempt(struct sim *s, struct request *r)
{
	enum desk_fault f = (enum desk_fault)draw(s, DESK_FAULTS + 4);
	bool runs;

	f = f > DESK_OK ? DESK_OK : f;
	runs = f != DESK_REFUSE && f != DESK_RESET_BEFORE && f != DESK_SILENT;
	attempt_begin(&r->att);
	r->in_flight = true;
	r->attempt_id = ++s->next_id;
	if (f == DESK_LATE_RUN || f == DESK_SLOW)
		desk_schedule(s, r, desk_late_run, f,
			      f == DESK_SLOW ? 100 : DEADLINE_MS + 500);
	else if (runs)
		desk_run(s, r);
	if (f == DESK_HANG || f == DESK_SILENT || f == DESK_LATE_RUN)
		return;
	desk_schedule(s, r, desk_reply, f,
		      f == DESK_LATE_ANSWER ? DEADLINE_MS + 100
					    : 2 + (int64_t)draw(s, 400));
}

static void req_verdict(struct sim *s, struct request *r, enum claim_verdict v,
			int booking)
{
	s->out->replayed += v == CLAIM_DONE;
	s->out->told_running += v == CLAIM_RUNNING;
	if (v == CLAIM_DONE) {
		req_answer(s, r, RUN_DONE, booking);
	} else if (v == CLAIM_UNAVAILABLE) {
		req_note(s, r, CLAIM_OP_FREE, 0);
		req_answer(s, r, RUN_NO, 0);
	} else {
		req_answer(s, r, RUN_MAYBE, 0);
	}
}

static void req_step(struct sim *s, struct request *r, enum claim_step step,
		     enum claim_verdict v, int booking)
{
	struct node *self = &s->nodes[r->node];
	struct message m = {.req = r};

	if (step == CLAIM_STEP_ASK_WRITER)
		msg_send(self, &s->nodes[0], on_ask, &m);
	else if (step == CLAIM_STEP_ASK_SELF)
		msg_send(self, self, on_ask, &m);
	else if (step == CLAIM_STEP_RUN)
		req_attempt(s, r);
	else if (step == CLAIM_STEP_ANSWER)
		req_verdict(s, r, v, booking);
}

static void req_begin(void *ctx, uint64_t i)
{
	struct sim *s = ctx;
	struct request *r = &s->reqs[i];
	struct node *n = &s->nodes[r->node];
	struct attempt_opts o = {.idempotent = s->v == SIM_RESEND};
	bool self = r->node == 0;

	r->begun = true;
	s->out->requests++;
	if (n->dead) {
		r->over = true;
		return;
	}
	r->deadline_ms = o.deadline_ms = s->clock.now + DEADLINE_MS;
	r->claim = (struct claim_request){
		.key = {7, (uint64_t)r->call + 1},
		.id = {9, i + 1},
		.body = (uint64_t)r->call,
		.until_ms = now(s).wall_ms + DEADLINE_MS,
		.expires_ms = now(s).wall_ms + 3600 * 1000,
	};
	attempt_init(&r->att, &o);
	req_step(s, r,
		 claim_ask_begin(&r->ask, self, s->clock.now, r->deadline_ms),
		 CLAIM_GRANTED, 0);
}

static void req_tick(struct sim *s, struct request *r)
{
	enum claim_step step;

	if (!r->begun || r->over || s->nodes[r->node].dead)
		return;
	step = claim_ask_tick(&r->ask, s->clock.now);
	if (step != CLAIM_STEP_WAIT) {
		req_step(s, r, step, CLAIM_UNAVAILABLE, 0);
	} else if (r->in_flight && s->clock.now >= r->deadline_ms) {
		struct attempt_step st =
			attempt_give_up(&r->att, true, ERR_TIMEOUT);

		if (s->v == SIM_FREE_ON_MAYBE)
			req_note(s, r, CLAIM_OP_FREE, 0);
		r->in_flight = false;
		req_answer(s, r, s->v == SIM_ALWAYS_NOT_RUN ? RUN_NO : st.run,
			   0);
	}
}

static void sim_tick(void *ctx, uint64_t arg)
{
	struct sim *s = ctx;

	for (int i = 0; i < REQUESTS; i++)
		req_tick(s, &s->reqs[i]);
	for (int i = 0; i < NODES; i++) {
		if (!s->nodes[i].dead)
			claim_shard_tick(s->nodes[i].shard, now(s));
	}
	sim_at(&s->clock, TICK_MS, sim_tick, s, 0);
}

static void node_die(void *ctx, uint64_t arg)
{
	struct node *n = ctx;

	n->dead = true;
}

static void node_setup(struct sim *s, int i)
{
	struct claim_shard_opts o = {
		.prefix = "claim/0/",
		.ops = &node_ops,
		.ctx = &s->nodes[i],
		.commit_ms = 20,
		.wait_ms = SHARD_WAIT_MS,
		.segment_max = 600,
	};
	struct node *n = &s->nodes[i];

	n->sim = s;
	n->shard = claim_shard_new(&o);
	attempt_budget_init(&n->budget, 10);
	if (draw(s, 3) == 0)
		sim_at(&s->clock, 200 + (int64_t)draw(s, 4000), node_die, n, 0);
	n->cut_from = (int64_t)draw(s, 6000);
	n->cut_to =
		n->cut_from + (int64_t)(draw(s, 3) == 0 ? draw(s, 2000) : 0);
	s->kv[i].clock = &s->clock;
	s->kv[i].blind = s->v == SIM_BLIND_PUT;
	s->kv[i].down_from = (int64_t)draw(s, 6000);
	s->kv[i].down_to = s->kv[i].down_from +
			   (int64_t)(draw(s, 3) == 0 ? draw(s, 1500) : 0);
}

static void sim_setup(struct sim *s)
{
	for (int i = 0; i < NODES; i++)
		node_setup(s, i);
	for (int i = 0; i < REQUESTS; i++) {
		struct request *r = &s->reqs[i];
		int64_t at =
			(int64_t)(draw(s, 2) ? draw(s, 300) : draw(s, 8000));

		r->call = i % CALLS;
		r->node = (int)draw(s, NODES);
		sim_at(&s->clock, at, req_begin, s, (uint64_t)i);
	}
	sim_at(&s->clock, TICK_MS, sim_tick, s, 0);
}

static void sim_check(struct sim *s)
{
	for (int i = 0; i < CALLS; i++)
		s->out->double_runs += s->runs[i] > 1;
	for (int i = 0; i < REQUESTS; i++) {
		const struct request *r = &s->reqs[i];

		s->out->false_refusals +=
			r->told && r->run == RUN_NO && r->runs > 0;
	}
	for (int i = 0; i < NODES; i++) {
		const struct claim_stats *st =
			claim_shard_stats(s->nodes[i].shard);

		s->out->conflicts += st->conflicts;
		s->out->unknown += st->unknown;
	}
}

static void sim_free(struct sim *s)
{
	for (size_t i = 0; i < s->clock.n; i++) {
		const struct sim_event *e = &s->clock.events[i];

		if (e->fn == kv_arrive)
			kv_call_free(e->ctx);
		else if (e->fn == on_ask || e->fn == on_note ||
			 e->fn == on_verdict || e->fn == on_verdict_self ||
			 e->fn == desk_reply || e->fn == desk_late_run)
			free(e->ctx);
	}
	for (int i = 0; i < NODES; i++) {
		claim_shard_free(s->nodes[i].shard);
		sim_kv_free(&s->kv[i]);
	}
	free(s);
}

void sim_run(enum sim_variant v, uint64_t seed, struct sim_totals *out)
{
	struct sim *s = calloc(1, sizeof(*s));

	s->v = v;
	s->out = out;
	s->clock.rng.state = seed;
	sim_setup(s);
	while (sim_next(&s->clock, END_MS)) {
	}
	sim_check(s);
	sim_free(s);
}
