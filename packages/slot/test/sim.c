// Simulation in virtual time: entry VMs share one cold engine.
#include "sim.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "slot/holder.h"
#include "slot/coordinator.h"

enum {
	NODES = 6,
	END_MS = 40000,
	STEP_MS = 10,
	MESSAGES = 4096,
	REQUESTS_PER_SLOT = 6, ///< completed, for one more slot
	ENGINE_MAX = 24,
	REQUEST_MAX_MS = 2500, ///< of a request
	LEAVE_MS = 30000, ///< when the engine begins to drain
	LEAVE_LIMIT_MS = 3000,
	DEAD_AFTER_MS = 1200, ///< silence until a node counts as dead
	LIST_DELAY_MS = 3000, ///< of the platform's list
	HEARTBEAT_MS = 300,
	MAX_REQUESTS = 4096,
};

struct node {
	uint64_t incarnation; ///< changes on restart
	bool up;
	int64_t frozen_until_ms;
	int64_t isolated_until_ms; ///< reaches no other node
	int64_t died_ms;
	int64_t heard_ms[NODES]; ///< last heartbeat of each node
	struct slot_coordinator coordinator;
	int current_coordinator; ///< in this node's view, -1 for none
	struct slot_holder holder;
	int ended_while_frozen; ///< requests
};

enum msg_kind {
	MSG_HEARTBEAT,
	MSG_REQUEST,
	MSG_PERMIT,
};

struct msg {
	enum msg_kind kind;
	int64_t arrives_ms;
	int from;
	int to;
	uint64_t from_incarnation;
	uint64_t to_incarnation;
	struct slot_request req;
	struct slot_permit permit;
};

struct request {
	int node;
	uint64_t incarnation; ///< of the node
	int64_t ends_ms; ///< at the engine
};

struct sim {
	enum sim_variant variant;
	struct rng rng;
	int64_t now;
	struct node nodes[NODES];
	struct msg msgs[MESSAGES];
	size_t n_msgs;
	struct request requests[MAX_REQUESTS];
	size_t n_requests;
	int done; ///< requests that the engine completed
	int report_slots; ///< as of report_ms
	int report_running;
	int64_t report_ms;
	struct sim_totals *out;
};

static uint64_t rand_below(struct sim *s, uint64_t n)
{
	return rng_below(&s->rng, n);
}

static int capacity(const struct sim *s)
{
	int warm = 1 + s->done / REQUESTS_PER_SLOT;

	return warm < ENGINE_MAX ? warm : ENGINE_MAX;
}

static bool frozen(const struct sim *s, int i)
{
	return !s->nodes[i].up || s->now < s->nodes[i].frozen_until_ms;
}

static void send_msg(struct sim *s, struct msg m)
{
	if (rand_below(s, 30) == 0 || s->n_msgs == MESSAGES)
		return;
	m.arrives_ms = s->now + 1 + (int64_t)rand_below(s, 20);
	m.from_incarnation = s->nodes[m.from].incarnation;
	m.to_incarnation = s->nodes[m.to].incarnation;
	s->msgs[s->n_msgs++] = m;
}

static bool node_hears(const struct sim *s, int i, int j)
{
	return i == j || s->now - s->nodes[i].heard_ms[j] <= DEAD_AFTER_MS;
}

/* Coordinator in a node's view: rendezvous hash over the nodes it hears. */
static int node_find_coordinator(const struct sim *s, int i)
{
	uint64_t best_score = 0;
	int best = -1;

	for (int j = 0; j < NODES; j++) {
		struct rng r = {s->nodes[j].incarnation};
		uint64_t score = rng_next(&r);

		if (!node_hears(s, i, j))
			continue;
		if (best < 0 || score > best_score) {
			best = j;
			best_score = score;
		}
	}
	return best;
}

static void coordinator_quorum(struct sim *s, int i)
{
	int heard = 0;
	int listed = 0;

	for (int j = 0; j < NODES; j++) {
		const struct node *o = &s->nodes[j];

		heard += node_hears(s, i, j);
		listed += o->up || s->now - o->died_ms < LIST_DELAY_MS;
	}
	if (s->variant == SIM_NO_QUORUM)
		listed = heard;
	slot_coordinator_set_reachable(&s->nodes[i].coordinator, s->now, heard,
				       listed);
}

static void coordinator_start(struct sim *s, struct node *n)
{
	struct slot_coordinator_opts o = {
		.limit = {.start = 1, .max = 64},
		.reports = true,
		.drain_ms = REQUEST_MAX_MS,
	};
	bool wait = s->variant != SIM_NO_STARTUP_WAIT;

	slot_coordinator_init(&n->coordinator, &o,
			      wait ? s->now : s->now - SLOT_PERMIT_TTL_MS);
	n->coordinator.prior_load_known = !wait;
	s->out->coordinator_changes++;
}

static void node_permit(struct sim *s, struct node *n,
			const struct slot_permit *p)
{
	slot_holder_on_permit(&n->holder, p);
	if (s->variant == SIM_NO_EXPIRY)
		n->holder.expires_ms = INT64_MAX;
}

static void coordinator_answer(struct sim *s, int i, const struct msg *m)
{
	struct node *n = &s->nodes[i];
	struct slot_request req = m->req;
	struct msg reply = {.kind = MSG_PERMIT, .from = i, .to = m->from};

	if (n->current_coordinator != i)
		return;
	if (s->variant == SIM_NO_DRAIN) {
		req.in_use = 0;
		req.drain_ms = 0;
	}
	if (s->variant == SIM_NO_STARTUP_WAIT)
		n->coordinator.last_tick_ms = s->now;
	slot_coordinator_close(&n->coordinator, s->now >= LEAVE_MS + 1000);
	if (!slot_coordinator_request(&n->coordinator, s->now,
				      m->from_incarnation, &req, &reply.permit))
		return;
	if (m->from == i)
		node_permit(s, n, &reply.permit);
	else
		send_msg(s, reply);
}

static void deliver(struct sim *s, const struct msg *m)
{
	struct node *n = &s->nodes[m->to];
	bool isolated = s->now < n->isolated_until_ms ||
			s->now < s->nodes[m->from].isolated_until_ms;

	if (isolated || n->incarnation != m->to_incarnation)
		return;
	if (m->kind == MSG_HEARTBEAT)
		n->heard_ms[m->from] = s->now;
	else if (m->kind == MSG_REQUEST)
		coordinator_answer(s, m->to, m);
	else if (n->holder.coordinator == m->from_incarnation)
		node_permit(s, n, &m->permit);
}

static void deliver_due(struct sim *s)
{
	for (size_t i = 0; i < s->n_msgs;) {
		struct msg m = s->msgs[i];

		if (m.arrives_ms > s->now || frozen(s, m.to)) {
			/* Messages to a dead node are lost. */
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
	struct request r = {
		.node = i,
		.incarnation = s->nodes[i].incarnation,
		.ends_ms = s->now + 50 +
			   (int64_t)rand_below(s, REQUEST_MAX_MS - 50),
	};

	assert(s->n_requests < MAX_REQUESTS);
	s->requests[s->n_requests++] = r;
	s->out->starts++;
	s->out->overloads += (int)s->n_requests > capacity(s);
	s->out->late_starts += s->now > LEAVE_MS + LEAVE_LIMIT_MS;
}

static void engine_step(struct sim *s)
{
	for (size_t i = 0; i < s->n_requests;) {
		struct request *r = &s->requests[i];
		struct node *n = &s->nodes[r->node];

		if (r->ends_ms > s->now) {
			i++;
			continue;
		}
		/* A frozen node sees the end after it resumes. */
		if (n->incarnation == r->incarnation && n->up &&
		    frozen(s, r->node))
			n->ended_while_frozen++;
		else if (n->incarnation == r->incarnation && n->up)
			slot_holder_release(&n->holder, SLOT_OK, 100);
		s->done++;
		s->requests[i] = s->requests[--s->n_requests];
	}
	if (s->now % 1000 == 0) {
		s->report_slots = capacity(s);
		s->report_running = (int)s->n_requests;
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

	/* Read 500 ms late. */
	if (s->now - s->report_ms >= 500 && s->report_ms > 0)
		slot_coordinator_report(&n->coordinator, &r);
}

static void node_work(struct sim *s, int i)
{
	struct node *n = &s->nodes[i];

	if (s->variant == SIM_NO_COORDINATOR) {
		while (n->holder.in_use < s->report_slots) {
			n->holder.in_use++;
			engine_start(s, i);
		}
		return;
	}
	while (slot_holder_acquire(&n->holder, s->now))
		engine_start(s, i);
}

static void node_step(struct sim *s, int i)
{
	struct node *n = &s->nodes[i];
	int coordinator_i = node_find_coordinator(s, i);
	int want = s->now >= LEAVE_MS ? 0 : 1 + (int)rand_below(s, 12);
	struct msg m = {.kind = MSG_REQUEST, .from = i, .to = coordinator_i};

	for (; n->ended_while_frozen > 0; n->ended_while_frozen--)
		slot_holder_release(&n->holder, SLOT_OK, 100);
	if (coordinator_i == i && n->current_coordinator != i)
		coordinator_start(s, n);
	else if (coordinator_i == i && s->variant != SIM_NO_STARTUP_WAIT)
		slot_coordinator_tick(&n->coordinator, s->now);
	if (coordinator_i == i)
		coordinator_quorum(s, i);
	n->current_coordinator = coordinator_i;
	if (coordinator_i == i)
		node_report(s, n);
	if (s->variant == SIM_NO_STARTUP_WAIT &&
	    n->holder.coordinator != s->nodes[coordinator_i].incarnation)
		n->holder.coordinator = 0;
	if (want < n->holder.in_use)
		want = n->holder.in_use;
	if (slot_holder_request(&n->holder, s->now,
				s->nodes[coordinator_i].incarnation, want,
				REQUEST_MAX_MS + SLOT_PERMIT_TTL_MS, &m.req)) {
		m.from_incarnation = n->incarnation;
		if (coordinator_i == i)
			coordinator_answer(s, i, &m);
		else
			send_msg(s, m);
	}
	node_work(s, i);
	for (int j = 0; j < NODES && s->now % HEARTBEAT_MS == 0; j++) {
		if (j != i)
			send_msg(s, (struct msg){.kind = MSG_HEARTBEAT,
						 .from = i,
						 .to = j});
	}
}

static void node_boot(struct sim *s, int i)
{
	struct node *n = &s->nodes[i];

	*n = (struct node){.incarnation = rng_next(&s->rng) | 1,
			   .up = true,
			   .current_coordinator = -1};
	for (int j = 0; j < NODES; j++)
		n->heard_ms[j] = s->now > 0 ? s->now : -HEARTBEAT_MS;
}

static void inject_fault(struct sim *s)
{
	int i = (int)rand_below(s, NODES);
	struct node *n = &s->nodes[i];

	if (rand_below(s, 300) != 0 || s->now < 100)
		return;
	if (!n->up) {
		node_boot(s, i);
	} else if (rand_below(s, 3) == 0) {
		n->isolated_until_ms = s->now + (int64_t)rand_below(s, 8000);
	} else if (rand_below(s, 2)) {
		n->frozen_until_ms = s->now + (int64_t)rand_below(s, 6000);
	} else {
		/* Its connections close, so the engine ends its requests soon. */
		n->up = false;
		n->died_ms = s->now;
		for (size_t r = 0; r < s->n_requests; r++) {
			if (s->requests[r].incarnation == n->incarnation)
				s->requests[r].ends_ms = s->now + 300;
		}
	}
}

void sim_run(enum sim_variant variant, uint64_t seed, struct sim_totals *out)
{
	struct sim *s = calloc(1, sizeof(*s));
	double running_sum = 0;
	double capacity_sum = 0;

	s->variant = variant;
	s->out = out;
	s->rng.state = seed;
	s->report_slots = 1;
	for (int i = 0; i < NODES; i++)
		node_boot(s, i);
	for (s->now = 0; s->now < END_MS; s->now += STEP_MS) {
		inject_fault(s);
		engine_step(s);
		deliver_due(s);
		for (int i = 0; i < NODES; i++) {
			if (!frozen(s, i))
				node_step(s, i);
		}
		if (s->now < LEAVE_MS) {
			running_sum += (double)s->n_requests;
			capacity_sum += capacity(s);
		}
	}
	out->utilization += running_sum / capacity_sum;
	free(s);
}
