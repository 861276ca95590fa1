// Callers repeat keyed calls at three nodes while everything fails.
#include <stdio.h>

#include "sim_priv.h"

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

void req_step(struct sim *s, struct request *r, enum claim_step step,
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
