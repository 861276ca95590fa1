// Event loop of the simulation.
#include "sim_defs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool sim_before(const struct sim_event *a, const struct sim_event *b)
{
	if (a->at_ms != b->at_ms)
		return a->at_ms < b->at_ms;
	return a->order < b->order;
}

static void sim_swap_events(struct sim *s, size_t i, size_t j)
{
	struct sim_event *t = s->heap[i];

	s->heap[i] = s->heap[j];
	s->heap[j] = t;
}

struct sim_event *sim_event_add(struct sim *s, int64_t delay_ms,
				enum sim_event_kind kind)
{
	struct sim_event *ev = calloc(1, sizeof(*ev));
	size_t i = s->n++;

	if (s->n > SIM_EVENTS)
		abort();
	ev->at_ms = s->now_ms + delay_ms;
	ev->order = s->order++;
	ev->kind = kind;
	s->heap[i] = ev;
	while (i > 0 && sim_before(s->heap[i], s->heap[(i - 1) / 2])) {
		sim_swap_events(s, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
	return ev;
}

static struct sim_event *sim_event_pop(struct sim *s)
{
	struct sim_event *ev = s->heap[0];
	size_t i = 0;

	s->heap[0] = s->heap[--s->n];
	for (;;) {
		size_t least = i;

		for (size_t c = 2 * i + 1; c <= 2 * i + 2 && c < s->n; c++) {
			if (sim_before(s->heap[c], s->heap[least]))
				least = c;
		}
		if (least == i)
			return ev;
		sim_swap_events(s, i, least);
		i = least;
	}
}

bool sim_chance(struct sim *s, int percent)
{
	return rng_below(&s->rng, 100) < (uint64_t)percent;
}

/* Carry out the actions of a node. */
void sim_run_actions(struct sim *s, int node)
{
	struct rollout_action *a;

	while (s->nodes[node].r && (a = rollout_next(s->nodes[node].r))) {
		switch (a->kind) {
		case ROLLOUT_SEND:
			sim_net_send(s, node, a);
			continue;
		case ROLLOUT_KV_GET:
		case ROLLOUT_KV_PUT:
			sim_kv_call(s, node, a);
			continue;
		case ROLLOUT_ACCEPTED:
		case ROLLOUT_PULL_REPLY:
		case ROLLOUT_REFUSED:
			sim_trainer_reply(s, node, a);
			continue;
		case ROLLOUT_START_RUN:
			sim_run_start(s, node, a);
			break;
		case ROLLOUT_CANCEL_RUN:
			sim_run_cancel(s, node, a->run);
			break;
		case ROLLOUT_ADD_USAGE:
			break;
		}
		rollout_action_free(a);
	}
}

static void sim_tick(struct sim *s, int node)
{
	struct sim_node *n = &s->nodes[node];

	sim_event_add(s, SIM_TICK_MS, SIM_TICK)->node = node;
	if (!n->r && n->restart_ms > 0 && s->now_ms >= n->restart_ms)
		sim_node_start(s, node);
	if (!n->r)
		return;
	if (n->draining && s->now_ms >= n->drain_end_ms &&
	    sim_survives_loss(s, node)) {
		sim_node_kill(s, node);
		return;
	}
	sim_update_members(s, node);
	rollout_tick(n->r, s->now_ms);
	sim_run_actions(s, node);
}

bool sim_paused(const struct sim *s, int node)
{
	return s->now_ms < s->nodes[node].paused_until_ms;
}

static bool sim_event_node(const struct sim *s, const struct sim_event *ev,
			   int *node)
{
	*node = ev->kind == SIM_RUN ? s->runs[ev->run].node : ev->node;
	return ev->kind == SIM_TICK || ev->kind == SIM_MSG ||
	       ev->kind == SIM_KV_ANSWER || ev->kind == SIM_RUN;
}

/* Events for a paused node wait, as in its socket buffers. */
static bool sim_defer_paused(struct sim *s, struct sim_event *ev)
{
	struct sim_event *later;
	int node;

	if (!sim_event_node(s, ev, &node) || !sim_paused(s, node))
		return false;
	later = sim_event_add(s, s->nodes[node].paused_until_ms - s->now_ms,
			      ev->kind);
	ev->at_ms = later->at_ms;
	ev->order = later->order;
	*later = *ev;
	ev->action = NULL;
	ev->value = NULL;
	return true;
}

static void sim_event(struct sim *s, struct sim_event *ev)
{
	if (sim_defer_paused(s, ev))
		return;
	switch (ev->kind) {
	case SIM_TICK:
		sim_tick(s, ev->node);
		break;
	case SIM_MSG:
		sim_net_deliver(s, ev);
		break;
	case SIM_KV_ARRIVE:
		sim_kv_arrive(s, ev);
		break;
	case SIM_KV_ANSWER:
		sim_kv_answer(s, ev);
		break;
	case SIM_RUN:
		sim_run_step(s, ev);
		break;
	case SIM_TRAINER:
		sim_trainer_step(s, ev->conn);
		break;
	case SIM_ANSWER:
		sim_trainer_answer(s, ev);
		break;
	case SIM_FAULT:
		sim_fault(s);
		break;
	case SIM_SWAP:
		sim_swap_weights(s);
		break;
	}
}

static void sim_event_free(struct sim_event *ev)
{
	rollout_action_free(ev->action);
	free(ev->value);
	free(ev);
}

static void sim_start(struct sim *s)
{
	s->ordered_version = 1;
	s->trainer.session = 1;
	s->trainer.version = 1;
	for (int i = 0; i < SIM_ENGINES; i++)
		s->engines[i] = (struct sim_engine){1, 1 + i % 3};
	for (int i = 0; i < SIM_NODES; i++) {
		sim_node_start(s, i);
		sim_event_add(s, i, SIM_TICK)->node = i;
	}
	sim_event_add(s, 50, SIM_TRAINER)->conn = 0;
	if (s->opts.faults.concurrent_pulls)
		sim_event_add(s, 60, SIM_TRAINER)->conn = 1;
	sim_event_add(s, 500, SIM_FAULT);
	if (s->opts.faults.weight_swaps)
		sim_event_add(s, 300, SIM_SWAP);
}

static void sim_stats(struct sim *s, int node)
{
	struct rollout_stats st;

	if (!s->nodes[node].r)
		return;
	rollout_stats(s->nodes[node].r, &st);
	s->res.takeovers += st.takeovers;
	s->res.ownerships_lost += st.ownerships_lost;
	s->res.resumed += st.sched.resumed;
	s->res.resampled += st.sched.stale;
}

struct sim_result sim_run(const struct sim_opts *opts)
{
	struct sim *s = calloc(1, sizeof(*s));
	struct sim_result res;

	s->opts = *opts;
	s->rng.state = opts->seed;
	sim_start(s);
	while (s->now_ms < opts->limit_ms && !s->res.done) {
		struct sim_event *ev = sim_event_pop(s);

		s->now_ms = ev->at_ms;
		sim_event(s, ev);
		sim_event_free(ev);
	}
	s->res.duration_ms = s->now_ms;
	for (int i = 0; i < SIM_NODES; i++) {
		sim_stats(s, i);
		rollout_free(s->nodes[i].r);
	}
	while (s->n > 0)
		sim_event_free(sim_event_pop(s));
	res = s->res;
	free(s);
	return res;
}
