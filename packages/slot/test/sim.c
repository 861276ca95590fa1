// Entry VMs, one cold engine, stewards that change, in virtual time.
#include "sim.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "slot/holder.h"
#include "slot/steward.h"

enum {
	NODES = 6,
	END_MS = 40000,
	STEP_MS = 10,
	MESSAGES = 4096,
	WARM_WORK = 6, ///< requests done for one more slot
	ENGINE_MAX = 24,
	RUN_MAX_MS = 2500, ///< of a request
	LEAVE_MS = 30000, ///< the engine is told to leave
	LEAVE_BOUND_MS = 3000,
	DEAD_AFTER_MS = 1200, ///< silence until a node counts as dead
	LIST_LAG_MS = 3000, ///< of the platform's list
	BEAT_MS = 300,
	RUNS = 4096,
};

struct node {
	uint64_t run; ///< hash of its run; changes on restart
	bool up;
	int64_t frozen_until;
	int64_t alone_until; ///< hears and reaches no other node
	int64_t died_ms;
	int64_t heard[NODES]; ///< last heartbeat of each node
	struct slot_steward steward;
	int steward_of; ///< who this node thinks it is, -1 for none
	struct slot_holder holder;
	int ended; ///< requests that ended while it was frozen
};

enum msg_kind {
	MSG_BEAT,
	MSG_ASK,
	MSG_PERMIT,
};

struct msg {
	enum msg_kind kind;
	int64_t at;
	int from;
	int to;
	uint64_t from_run;
	uint64_t to_run;
	struct slot_ask ask;
	struct slot_permit permit;
};

struct run {
	int node;
	uint64_t run; ///< of the node
	int64_t ends; ///< at the engine
};

struct sim {
	enum sim_variant v;
	struct rng rng;
	int64_t now;
	struct node nodes[NODES];
	struct msg msgs[MESSAGES];
	size_t n_msgs;
	struct run runs[RUNS];
	size_t n_runs;
	int done; ///< requests that the engine finished
	int report_slots; ///< as of report_ms
	int report_running;
	int64_t report_ms;
	struct sim_totals *out;
};

static uint64_t draw(struct sim *s, uint64_t n)
{
	return rng_below(&s->rng, n);
}

static int capacity(const struct sim *s)
{
	int warm = 1 + s->done / WARM_WORK;

	return warm < ENGINE_MAX ? warm : ENGINE_MAX;
}

static bool frozen(const struct sim *s, int i)
{
	return !s->nodes[i].up || s->now < s->nodes[i].frozen_until;
}

static void send(struct sim *s, struct msg m)
{
	if (draw(s, 30) == 0 || s->n_msgs == MESSAGES)
		return;
	m.at = s->now + 1 + (int64_t)draw(s, 20);
	m.from_run = s->nodes[m.from].run;
	m.to_run = s->nodes[m.to].run;
	s->msgs[s->n_msgs++] = m;
}

static bool hears(const struct sim *s, int i, int j)
{
	return i == j || s->now - s->nodes[i].heard[j] <= DEAD_AFTER_MS;
}

/* Rendezvous hash over the nodes that one node hears. */
static int steward_seen(const struct sim *s, int i)
{
	uint64_t best_score = 0;
	int best = -1;

	for (int j = 0; j < NODES; j++) {
		struct rng r = {s->nodes[j].run};
		uint64_t score = rng_next(&r);

		if (!hears(s, i, j))
			continue;
		if (best < 0 || score > best_score) {
			best = j;
			best_score = score;
		}
	}
	return best;
}

static void steward_quorum(struct sim *s, int i)
{
	int heard = 0;
	int listed = 0;

	for (int j = 0; j < NODES; j++) {
		const struct node *o = &s->nodes[j];

		heard += hears(s, i, j);
		listed += o->up || s->now - o->died_ms < LIST_LAG_MS;
	}
	if (s->v == SIM_NO_QUORUM)
		listed = heard;
	slot_steward_quorum(&s->nodes[i].steward, s->now, heard, listed);
}

static void steward_begin(struct sim *s, struct node *n)
{
	struct slot_steward_opts o = {
		.limit = {.start = 1, .max = 64},
		.reports = true,
		.drain_ms = RUN_MAX_MS,
	};
	bool wait = s->v != SIM_NO_WAIT;

	slot_steward_init(&n->steward, &o,
			  wait ? s->now : s->now - SLOT_LIFETIME_MS);
	n->steward.settled = !wait;
	s->out->steward_changes++;
}

static void node_permit(struct sim *s, struct node *n,
			const struct slot_permit *p)
{
	slot_holder_permit(&n->holder, p);
	if (s->v == SIM_NO_EXPIRY)
		n->holder.until_ms = INT64_MAX;
}

static void steward_answer(struct sim *s, int i, const struct msg *m)
{
	struct node *n = &s->nodes[i];
	struct slot_ask ask = m->ask;
	struct msg reply = {.kind = MSG_PERMIT, .from = i, .to = m->from};

	if (n->steward_of != i)
		return;
	if (s->v == SIM_FORGETFUL) {
		ask.in_use = 0;
		ask.drain_ms = 0;
	}
	if (s->v == SIM_NO_WAIT)
		n->steward.seen_ms = s->now;
	slot_steward_close(&n->steward, s->now >= LEAVE_MS + 1000);
	if (!slot_steward_ask(&n->steward, s->now, m->from_run, &ask,
			      &reply.permit))
		return;
	if (m->from == i)
		node_permit(s, n, &reply.permit);
	else
		send(s, reply);
}

static void deliver(struct sim *s, const struct msg *m)
{
	struct node *n = &s->nodes[m->to];
	bool cut = s->now < n->alone_until ||
		   s->now < s->nodes[m->from].alone_until;

	if (cut || n->run != m->to_run)
		return;
	if (m->kind == MSG_BEAT)
		n->heard[m->from] = s->now;
	else if (m->kind == MSG_ASK)
		steward_answer(s, m->to, m);
	else if (n->holder.steward == m->from_run)
		node_permit(s, n, &m->permit);
}

static void deliver_due(struct sim *s)
{
	for (size_t i = 0; i < s->n_msgs;) {
		struct msg m = s->msgs[i];

		if (m.at > s->now || frozen(s, m.to)) {
			/* What waits for a dead node is gone. */
			if (!s->nodes[m.to].up)
				s->msgs[i] = s->msgs[--s->n_msgs];
			else
				i++;
			continue;
		}
		s->msgs[i] = s->msgs[--s->n_msgs];
		deliver(s, &m);
	}
}

static void engine_start(struct sim *s, int i)
{
	struct run r = {
		.node = i,
		.run = s->nodes[i].run,
		.ends = s->now + 50 + (int64_t)draw(s, RUN_MAX_MS - 50),
	};

	assert(s->n_runs < RUNS);
	s->runs[s->n_runs++] = r;
	s->out->starts++;
	s->out->passed += (int)s->n_runs > capacity(s);
	s->out->late_starts += s->now > LEAVE_MS + LEAVE_BOUND_MS;
}

static void engine_step(struct sim *s)
{
	for (size_t i = 0; i < s->n_runs;) {
		struct run *r = &s->runs[i];
		struct node *n = &s->nodes[r->node];

		if (r->ends > s->now) {
			i++;
			continue;
		}
		/* A frozen node reads the end when it wakes. */
		if (n->run == r->run && n->up && frozen(s, r->node))
			n->ended++;
		else if (n->run == r->run && n->up)
			slot_holder_put(&n->holder, SLOT_OK, 100);
		s->done++;
		s->runs[i] = s->runs[--s->n_runs];
	}
	if (s->now % 1000 == 0) {
		s->report_slots = capacity(s);
		s->report_running = (int)s->n_runs;
		s->report_ms = s->now;
	}
}

static void node_report(struct sim *s, struct node *n)
{
	struct slot_report r = {
		.slots = s->report_slots,
		.running = s->report_running,
		.version = 1,
		.as_of_ms = s->report_ms,
	};

	/* Read half a second late. */
	if (s->now - s->report_ms >= 500 && s->report_ms > 0)
		slot_steward_report(&n->steward, &r);
}

static void node_work(struct sim *s, int i)
{
	struct node *n = &s->nodes[i];

	if (s->v == SIM_NO_STEWARD) {
		while (n->holder.in_use < s->report_slots) {
			n->holder.in_use++;
			engine_start(s, i);
		}
		return;
	}
	while (slot_holder_take(&n->holder, s->now))
		engine_start(s, i);
}

static void node_step(struct sim *s, int i)
{
	struct node *n = &s->nodes[i];
	int seen = steward_seen(s, i);
	int want = s->now >= LEAVE_MS ? 0 : 1 + (int)draw(s, 12);
	struct msg m = {.kind = MSG_ASK, .from = i, .to = seen};

	for (; n->ended > 0; n->ended--)
		slot_holder_put(&n->holder, SLOT_OK, 100);
	if (seen == i && n->steward_of != i)
		steward_begin(s, n);
	else if (seen == i && s->v != SIM_NO_WAIT)
		slot_steward_tick(&n->steward, s->now);
	if (seen == i)
		steward_quorum(s, i);
	n->steward_of = seen;
	if (seen == i)
		node_report(s, n);
	if (s->v == SIM_NO_WAIT && n->holder.steward != s->nodes[seen].run)
		n->holder.steward = 0;
	if (want < n->holder.in_use)
		want = n->holder.in_use;
	if (slot_holder_ask(&n->holder, s->now, s->nodes[seen].run, want,
			    RUN_MAX_MS + SLOT_LIFETIME_MS, &m.ask)) {
		m.from_run = n->run;
		if (seen == i)
			steward_answer(s, i, &m);
		else
			send(s, m);
	}
	node_work(s, i);
	for (int j = 0; j < NODES && s->now % BEAT_MS == 0; j++) {
		if (j != i)
			send(s, (struct msg){
					.kind = MSG_BEAT, .from = i, .to = j});
	}
}

static void node_boot(struct sim *s, int i)
{
	struct node *n = &s->nodes[i];

	*n = (struct node){
		.run = rng_next(&s->rng) | 1, .up = true, .steward_of = -1};
	for (int j = 0; j < NODES; j++)
		n->heard[j] = s->now > 0 ? s->now : -BEAT_MS;
}

static void faults(struct sim *s)
{
	int i = (int)draw(s, NODES);
	struct node *n = &s->nodes[i];

	if (draw(s, 300) != 0 || s->now < 100)
		return;
	if (!n->up) {
		node_boot(s, i);
	} else if (draw(s, 3) == 0) {
		n->alone_until = s->now + (int64_t)draw(s, 8000);
	} else if (draw(s, 2)) {
		n->frozen_until = s->now + (int64_t)draw(s, 6000);
	} else {
		/* Its connections close: the engine ends its requests soon. */
		n->up = false;
		n->died_ms = s->now;
		for (size_t r = 0; r < s->n_runs; r++) {
			if (s->runs[r].run == n->run)
				s->runs[r].ends = s->now + 300;
		}
	}
}

void sim_run(enum sim_variant v, uint64_t seed, struct sim_totals *out)
{
	struct sim *s = calloc(1, sizeof(*s));
	double used = 0;
	double borne = 0;

	s->v = v;
	s->out = out;
	s->rng.state = seed;
	s->report_slots = 1;
	for (int i = 0; i < NODES; i++)
		node_boot(s, i);
	for (s->now = 0; s->now < END_MS; s->now += STEP_MS) {
		faults(s);
		engine_step(s);
		deliver_due(s);
		for (int i = 0; i < NODES; i++) {
			if (!frozen(s, i))
				node_step(s, i);
		}
		if (s->now < LEAVE_MS) {
			used += (double)s->n_runs;
			borne += capacity(s);
		}
	}
	out->used += used / borne;
	free(s);
}
