// Callers repeat keyed calls at three nodes while nodes, network, store and
// backend server fail.
#include <stdio.h>

#include "sim_priv.h"

static void req_add_outcome(struct sim *s, struct request *r, enum claim_op op,
			    int answer_call)
{
	char body[16];
	struct node *self = &s->nodes[r->node];
	struct message m = {.outcome = {.op = op, .req = r->claim}};

	snprintf(body, sizeof(body), "%d", answer_call);
	m.outcome.answer = (struct claim_answer){
		.status = 200,
		.ctype = "text/plain",
		.body = op == CLAIM_OP_DONE ? body : NULL,
		.len = strlen(body),
	};
	/* Called directly: the body is on the stack. */
	if (op == CLAIM_OP_DONE)
		claim_shard_add_outcome(self->shard, sim_claim_time(s),
					&m.outcome);
	else
		msg_send(self, self, on_outcome, &m);
}

static void req_reply(struct sim *s, struct request *r, enum run_state run,
		      int answer_call)
{
	r->finished = true;
	r->replied = true;
	r->run = run;
	if (run == RUN_DONE && answer_call != r->call)
		s->totals->wrong_answers++;
	s->totals->answered += run == RUN_DONE;
	s->totals->maybe += run == RUN_MAYBE;
	s->totals->refused += run == RUN_NO;
}

static void backend_run(struct sim *s, struct request *r)
{
	r->runs++;
	s->runs[r->call]++;
	s->totals->runs++;
}

static void req_start_attempt(struct sim *s, struct request *r);

static void req_attempt_ended(struct sim *s, struct request *r,
			      const struct attempt_outcome *out)
{
	struct node *n = &s->nodes[r->node];
	struct attempt_step st =
		attempt_end(&r->att, &n->budget, s->clock.now_ms, out);
	enum run_state run = st.run;

	r->in_flight = false;
	if (st.again) {
		req_start_attempt(s, r);
		return;
	}
	if (run == RUN_DONE)
		req_add_outcome(s, r, CLAIM_OP_DONE, r->call);
	else if (run == RUN_NO || s->v == SIM_RELEASE_ON_MAYBE)
		req_add_outcome(s, r, CLAIM_OP_RELEASE, 0);
	if (s->v == SIM_MAYBE_AS_NOT_RUN && run == RUN_MAYBE)
		run = RUN_NO;
	req_reply(s, r, run, r->call);
}

static void on_backend_reply(void *ctx, uint64_t arg)
{
	struct message *m = ctx;
	struct request *r = m->req;
	struct sim *s = m->node->sim;
	bool refused = m->fault == BACKEND_REFUSE_CONNECTION;
	bool complete = m->fault >= BACKEND_LATE_REPLY;
	struct attempt_outcome out = {
		.err = complete ? ERR_OK : ERR_CLOSED,
		.sent = !refused,
		.status = complete ? 200 : 0,
	};

	/* Drop a reply to an abandoned attempt. */
	if (!m->node->crashed && !r->finished && r->attempt_id == m->attempt_id)
		req_attempt_ended(s, r, &out);
	free(m);
}

static void on_backend_late_run(void *ctx, uint64_t arg)
{
	struct message *m = ctx;

	backend_run(m->node->sim, m->req);
	free(m);
}

static void backend_schedule(struct sim *s, struct request *r, sim_event_fn fn,
			     enum backend_fault f, int64_t delay_ms)
{
	struct message *m = calloc(1, sizeof(*m));

	*m = (struct message){
		.node = &s->nodes[r->node],
		.req = r,
		.attempt_id = r->attempt_id,
		.fault = f,
	};
	sim_schedule(&s->clock, delay_ms, fn, m, 0);
}

static void req_start_attempt(struct sim *s, struct request *r)
{
	enum backend_fault f =
		(enum backend_fault)sim_random(s, BACKEND_FAULT_COUNT + 4);
	bool runs;

	f = f > BACKEND_OK ? BACKEND_OK : f;
	runs = f != BACKEND_REFUSE_CONNECTION &&
	       f != BACKEND_RESET_BEFORE_RUN && f != BACKEND_HANG_WITHOUT_RUN;
	attempt_begin(&r->att);
	r->in_flight = true;
	r->attempt_id = ++s->next_id;
	if (f == BACKEND_LATE_RUN || f == BACKEND_SLOW)
		backend_schedule(s, r, on_backend_late_run, f,
				 f == BACKEND_SLOW ? 100 : DEADLINE_MS + 500);
	else if (runs)
		backend_run(s, r);
	if (f == BACKEND_HANG_AFTER_RUN || f == BACKEND_HANG_WITHOUT_RUN ||
	    f == BACKEND_LATE_RUN)
		return;
	backend_schedule(s, r, on_backend_reply, f,
			 f == BACKEND_LATE_REPLY
				 ? DEADLINE_MS + 100
				 : 2 + (int64_t)sim_random(s, 400));
}

static void req_reply_verdict(struct sim *s, struct request *r,
			      enum claim_verdict v, int answer_call)
{
	s->totals->replayed += v == CLAIM_DONE;
	s->totals->replied_running += v == CLAIM_RUNNING;
	if (v == CLAIM_DONE) {
		req_reply(s, r, RUN_DONE, answer_call);
	} else if (v == CLAIM_UNAVAILABLE) {
		req_add_outcome(s, r, CLAIM_OP_RELEASE, 0);
		req_reply(s, r, RUN_NO, 0);
	} else {
		req_reply(s, r, RUN_MAYBE, 0);
	}
}

void req_take_step(struct sim *s, struct request *r, enum claim_step step,
		   enum claim_verdict v, int answer_call)
{
	struct node *self = &s->nodes[r->node];
	struct message m = {.req = r};

	if (step == CLAIM_STEP_REQUEST_WRITER)
		msg_send(self, &s->nodes[0], on_claim_request, &m);
	else if (step == CLAIM_STEP_REQUEST_LOCAL)
		msg_send(self, self, on_claim_request, &m);
	else if (step == CLAIM_STEP_RUN)
		req_start_attempt(s, r);
	else if (step == CLAIM_STEP_REPLY)
		req_reply_verdict(s, r, v, answer_call);
}

static void req_begin(void *ctx, uint64_t i)
{
	struct sim *s = ctx;
	struct request *r = &s->reqs[i];
	struct node *n = &s->nodes[r->node];
	struct attempt_opts o = {.idempotent = s->v == SIM_RESEND_AFTER_RESET};
	bool self = r->node == 0;

	r->started = true;
	s->totals->requests++;
	if (n->crashed) {
		r->finished = true;
		return;
	}
	r->deadline_ms = o.deadline_ms = s->clock.now_ms + DEADLINE_MS;
	r->claim = (struct claim_request){
		.key = {7, (uint64_t)r->call + 1},
		.id = {9, i + 1},
		.body = (uint64_t)r->call,
		.until_ms = sim_claim_time(s).wall_ms + DEADLINE_MS,
		.expires_ms = sim_claim_time(s).wall_ms + 3600 * 1000,
	};
	attempt_init(&r->att, &o);
	req_take_step(s, r,
		      claim_acquire_begin(&r->acquire, self, s->clock.now_ms,
					  r->deadline_ms),
		      CLAIM_GRANTED, 0);
}

static void req_tick(struct sim *s, struct request *r)
{
	enum claim_step step;

	if (!r->started || r->finished || s->nodes[r->node].crashed)
		return;
	step = claim_acquire_tick(&r->acquire, s->clock.now_ms);
	if (step != CLAIM_STEP_WAIT) {
		req_take_step(s, r, step, CLAIM_UNAVAILABLE, 0);
	} else if (r->in_flight && s->clock.now_ms >= r->deadline_ms) {
		struct attempt_step st =
			attempt_give_up(&r->att, true, ERR_TIMEOUT);

		if (s->v == SIM_RELEASE_ON_MAYBE)
			req_add_outcome(s, r, CLAIM_OP_RELEASE, 0);
		r->in_flight = false;
		req_reply(s, r, s->v == SIM_MAYBE_AS_NOT_RUN ? RUN_NO : st.run,
			  0);
	}
}

static void sim_tick(void *ctx, uint64_t arg)
{
	struct sim *s = ctx;

	for (int i = 0; i < REQUEST_COUNT; i++)
		req_tick(s, &s->reqs[i]);
	for (int i = 0; i < NODE_COUNT; i++) {
		if (!s->nodes[i].crashed)
			claim_shard_tick(s->nodes[i].shard, sim_claim_time(s));
	}
	sim_schedule(&s->clock, TICK_MS, sim_tick, s, 0);
}

static void on_node_crash(void *ctx, uint64_t arg)
{
	struct node *n = ctx;

	n->crashed = true;
}

static void node_setup(struct sim *s, int i)
{
	struct claim_shard_opts o = {
		.prefix = "claim/0/",
		.ops = &node_ops,
		.ctx = &s->nodes[i],
		.commit_interval_ms = 20,
		.wait_ms = SHARD_WAIT_MS,
		.segment_max_bytes = 600,
	};
	struct node *n = &s->nodes[i];

	n->sim = s;
	n->shard = claim_shard_new(&o);
	attempt_budget_init(&n->budget, 10);
	if (sim_random(s, 3) == 0)
		sim_schedule(&s->clock, 200 + (int64_t)sim_random(s, 4000),
			     on_node_crash, n, 0);
	n->partition_from_ms = (int64_t)sim_random(s, 6000);
	n->partition_to_ms =
		n->partition_from_ms +
		(int64_t)(sim_random(s, 3) == 0 ? sim_random(s, 2000) : 0);
	s->kv[i].clock = &s->clock;
	s->kv[i].ignore_prev_rev = s->v == SIM_PUT_WITHOUT_CAS;
	s->kv[i].outage_from_ms = (int64_t)sim_random(s, 6000);
	s->kv[i].outage_to_ms =
		s->kv[i].outage_from_ms +
		(int64_t)(sim_random(s, 3) == 0 ? sim_random(s, 1500) : 0);
}

static void sim_setup(struct sim *s)
{
	for (int i = 0; i < NODE_COUNT; i++)
		node_setup(s, i);
	for (int i = 0; i < REQUEST_COUNT; i++) {
		struct request *r = &s->reqs[i];
		int64_t time_ms =
			(int64_t)(sim_random(s, 2) ? sim_random(s, 300)
						   : sim_random(s, 8000));

		r->call = i % CALL_COUNT;
		r->node = (int)sim_random(s, NODE_COUNT);
		sim_schedule(&s->clock, time_ms, req_begin, s, (uint64_t)i);
	}
	sim_schedule(&s->clock, TICK_MS, sim_tick, s, 0);
}

static void sim_count_violations(struct sim *s)
{
	for (int i = 0; i < CALL_COUNT; i++)
		s->totals->double_runs += s->runs[i] > 1;
	for (int i = 0; i < REQUEST_COUNT; i++) {
		const struct request *r = &s->reqs[i];

		s->totals->false_refusals +=
			r->replied && r->run == RUN_NO && r->runs > 0;
	}
	for (int i = 0; i < NODE_COUNT; i++) {
		const struct claim_stats *st =
			claim_shard_stats(s->nodes[i].shard);

		s->totals->conflicts += st->conflicts;
		s->totals->lost_replies += st->unknown;
	}
}

static void sim_free(struct sim *s)
{
	for (size_t i = 0; i < s->clock.n; i++) {
		const struct sim_event *e = &s->clock.events[i];

		if (e->fn == on_kv_call)
			kv_call_free(e->ctx);
		else if (e->fn == on_claim_request || e->fn == on_outcome ||
			 e->fn == on_verdict || e->fn == on_verdict_self ||
			 e->fn == on_backend_reply ||
			 e->fn == on_backend_late_run)
			free(e->ctx);
	}
	for (int i = 0; i < NODE_COUNT; i++) {
		claim_shard_free(s->nodes[i].shard);
		sim_kv_free(&s->kv[i]);
	}
	free(s);
}

void sim_run(enum sim_variant v, uint64_t seed, struct sim_totals *out)
{
	struct sim *s = calloc(1, sizeof(*s));

	s->v = v;
	s->totals = out;
	s->clock.rng.state = seed;
	sim_setup(s);
	while (sim_run_next_event(&s->clock, END_MS)) {
	}
	sim_count_violations(s);
	sim_free(s);
}
