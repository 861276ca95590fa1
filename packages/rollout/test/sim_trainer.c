// Simulated trainer, and the checks of what it receives.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "sim_defs.h"

enum {
	PULL_WAIT_MS = 500,
	CALL_TIMEOUT_MS = 6000,
};

static void sim_batch_id(int batch, char *buf, size_t len)
{
	snprintf(buf, len, "b%d", batch);
}

static struct batch *sim_batch(const struct sim *s)
{
	struct batch *b = calloc(1, sizeof(*b));

	sim_batch_id(s->trainer.batch, b->id, sizeof(b->id));
	snprintf(b->team, sizeof(b->team), "team");
	snprintf(b->trainer, sizeof(b->trainer), "t");
	snprintf(b->route, sizeof(b->route), "r");
	b->step = (uint64_t)s->trainer.batch;
	b->version = s->trainer.version;
	b->max_staleness = SIM_STALENESS;
	b->n_groups = SIM_GROUPS;
	b->groups = calloc(SIM_GROUPS, sizeof(*b->groups));
	for (int i = 0; i < SIM_GROUPS; i++) {
		struct batch_group *g = &b->groups[i];

		snprintf(g->name, sizeof(g->name), "g%d", i);
		g->prompt = malloc(sizeof(*g->prompt));
		g->prompt[0] = (uint32_t)sim_prompt(s->trainer.batch, i);
		g->n_prompt = 1;
		g->n = SIM_PER_GROUP;
		g->first = (uint32_t)b->n_slots;
		g->max_tokens = SIM_MAX_TOKENS;
		g->expect_tokens = SIM_MAX_TOKENS;
		b->n_slots += g->n;
	}
	return b;
}

static void sim_slot_name(int slot, char *buf)
{
	snprintf(buf, BATCH_SLOT_NAME_SIZE, "g%d/%d", slot / SIM_PER_GROUP,
		 slot % SIM_PER_GROUP);
}

/* Acknowledge received samples, and report stale ones that never arrived. */
static void sim_fill_pull(struct sim *s, struct sim_conn *l, struct pull *p)
{
	memset(p, 0, sizeof(*p));
	snprintf(p->team, sizeof(p->team), "team");
	snprintf(p->trainer, sizeof(p->trainer), "t");
	snprintf(p->route, sizeof(p->route), "r");
	sim_batch_id(s->trainer.batch, p->batch, sizeof(p->batch));
	p->session = s->trainer.session;
	p->version = s->trainer.version;
	p->max = 4;
	p->wait_ms = PULL_WAIT_MS;
	for (int i = 0; i < SIM_SLOTS; i++) {
		struct sim_slot *sl = &s->trainer.slots[i];
		char name[BATCH_SLOT_NAME_SIZE];

		sim_slot_name(i, name);
		l->acks[i] = sl->received && !sl->ack_confirmed;
		l->lost_reported[i] = *sl->expired && !sl->received;
		if (l->acks[i]) {
			slot_names_add(&p->acks, name);
			sl->ack_sent = true;
		}
		if (l->lost_reported[i]) {
			slot_names_add(&p->lost, sl->expired);
			sl->delivered = false;
			*sl->expired = '\0';
		}
	}
}

/* A slot may be declared lost only while no other pull is in flight. */
static bool sim_lost_must_wait(const struct sim_trainer *t)
{
	if (!t->conns[0].busy && !t->conns[1].busy)
		return false;
	for (int i = 0; i < SIM_SLOTS; i++) {
		if (*t->slots[i].expired && !t->slots[i].received)
			return true;
	}
	return false;
}

static int sim_pick_node(struct sim *s)
{
	for (int tries = 0; tries < 20; tries++) {
		int node = (int)rng_below(&s->rng, SIM_NODES);

		if (s->nodes[node].r)
			return node;
	}
	return -1;
}

static void sim_new_session(struct sim *s)
{
	struct sim_trainer *t = &s->trainer;

	/* The trainer acknowledges only samples that it stored; the others
	 * are lost with the old session. */
	for (int i = 0; i < SIM_SLOTS; i++) {
		if (!t->slots[i].ack_sent)
			t->slots[i].received = false;
		*t->slots[i].expired = '\0';
	}
	for (int i = 0; i < 2; i++)
		t->conns[i].busy = false;
	t->posted = false;
}

static void sim_trainer_call(struct sim *s, int conn)
{
	struct sim_conn *l = &s->trainer.conns[conn];
	struct pull p;

	l->node = sim_pick_node(s);
	if (l->node < 0)
		return;
	l->session = s->trainer.session;
	l->version = s->trainer.version;
	l->begin_ms = s->now_ms;
	l->call = ++s->next_call;
	l->post = !s->trainer.posted;
	if (l->post && conn != 0)
		return;
	if (sim_paused(s, l->node)) {
		l->busy = true;
		memset(l->acks, 0, sizeof(l->acks));
		return;
	}
	if (l->post) {
		l->busy = true;
		rollout_post(s->nodes[l->node].r, l->call, sim_batch(s),
			     s->now_ms);
	} else {
		sim_fill_pull(s, l, &p);
		l->busy = true;
		rollout_pull(s->nodes[l->node].r, l->call, &p, s->now_ms);
	}
	sim_run_actions(s, l->node);
}

void sim_trainer_step(struct sim *s, int conn)
{
	struct sim_trainer *t = &s->trainer;
	struct sim_conn *l = &t->conns[conn];

	sim_event_add(s, 20, SIM_TRAINER)->conn = conn;
	if (t->down_until_ms > 0) {
		if (s->now_ms < t->down_until_ms)
			return;
		t->down_until_ms = 0;
		sim_new_session(s);
	}
	if (l->busy && s->now_ms - l->begin_ms >= CALL_TIMEOUT_MS)
		l->busy = false;
	if (!l->busy && !sim_lost_must_wait(t))
		sim_trainer_call(s, conn);
}

static uint64_t sim_content_hash(const struct sample *sample)
{
	uint64_t h =
		XXH64(sample->tokens, sample->n * sizeof(*sample->tokens), 0);

	for (size_t i = 0; i < sample->n_segments; i++) {
		uint64_t in[2] = {sample->segments[i].version,
				  sample->segments[i].n};

		h = XXH64(in, sizeof(in), h);
	}
	return h;
}

static void sim_check_tokens(struct sim *s, int slot,
			     const struct pull_item *item)
{
	uint64_t prompt = sim_prompt(s->trainer.batch, slot / SIM_PER_GROUP);
	size_t stop = sim_stop_length(prompt, item->seed);
	size_t pos = 0;
	bool ok = true;

	for (size_t i = 0; i < item->sample.n_segments; i++) {
		const struct sample_segment *g = &item->sample.segments[i];

		for (size_t end = pos + g->n; pos < end; pos++)
			ok = ok && item->sample.tokens[pos] ==
					   sim_token(prompt, item->seed, pos,
						     g->version);
	}
	if (stop > SIM_MAX_TOKENS)
		stop = SIM_MAX_TOKENS;
	if (!ok || pos != stop || item->sample.n != stop)
		s->res.wrong_tokens++;
	s->res.mixed_version += item->sample.n_segments > 1;
}

/* Check a sample when it leaves the node. */
static void sim_check_delivery(struct sim *s, const struct sim_conn *l,
			       const struct pull_item *item)
{
	int slot = (item->slot[1] - '0') * SIM_PER_GROUP + item->slot[3] - '0';
	struct sim_slot *sl = &s->trainer.slots[slot];
	uint64_t content = sim_content_hash(&item->sample);

	sim_check_tokens(s, slot, item);
	if (!sample_is_fresh(&item->sample, l->version, SIM_STALENESS))
		s->res.stale++;
	if (sl->delivered && sl->content != content)
		s->res.changed++;
	if (sl->ack_confirmed && sl->ack_confirmed_ms <= l->begin_ms)
		s->res.redelivered++;
	sl->delivered = true;
	sl->content = content;
}

void sim_trainer_reply(struct sim *s, int node, struct rollout_action *a)
{
	bool lost = s->opts.faults.trainer_reply_loss &&
		    s->now_ms < SIM_FAULTS_END_MS && sim_chance(s, 15);
	struct sim_event *ev;

	for (int i = 0; i < 2; i++) {
		const struct sim_conn *l = &s->trainer.conns[i];

		if (!l->busy || l->call != a->caller ||
		    a->kind != ROLLOUT_PULL_REPLY)
			continue;
		for (size_t k = 0; k < a->pull.n; k++)
			sim_check_delivery(s, l, &a->pull.items[k]);
	}
	if (lost) {
		rollout_action_free(a);
		return;
	}
	ev = sim_event_add(s, 1 + (int64_t)rng_below(&s->rng, 3), SIM_ANSWER);
	ev->node = node;
	ev->incarnation = s->nodes[node].incarnation;
	ev->action = a;
}

static void sim_next_batch(struct sim *s)
{
	struct sim_trainer *t = &s->trainer;

	for (int i = 0; i < SIM_SLOTS; i++) {
		if (!t->slots[i].received)
			s->res.missing++;
	}
	memset(t->slots, 0, sizeof(t->slots));
	for (int i = 0; i < 2; i++)
		t->conns[i].busy = false;
	t->posted = false;
	if (++t->batch == s->opts.batches)
		s->res.done = true;
}

static void sim_trainer_pulled(struct sim *s, struct sim_conn *l,
			       const struct rollout_action *a)
{
	struct sim_trainer *t = &s->trainer;

	for (int i = 0; i < SIM_SLOTS; i++) {
		if (!l->acks[i] || t->slots[i].ack_confirmed)
			continue;
		t->slots[i].ack_confirmed = true;
		t->slots[i].ack_confirmed_ms = s->now_ms;
	}
	for (size_t k = 0; k < a->pull.n; k++) {
		const char *name = a->pull.items[k].slot;
		int slot = (name[1] - '0') * SIM_PER_GROUP + name[3] - '0';

		t->slots[slot].received = true;
	}
	for (size_t k = 0; k < a->pull.expired.n; k++) {
		const char *name = a->pull.expired.v[k];
		int slot = (name[1] - '0') * SIM_PER_GROUP + name[3] - '0';

		memcpy(t->slots[slot].expired, name, BATCH_SLOT_NAME_SIZE);
	}
	if (a->pull.done)
		sim_next_batch(s);
}

void sim_trainer_answer(struct sim *s, struct sim_event *ev)
{
	const struct rollout_action *a = ev->action;

	for (int i = 0; i < 2; i++) {
		struct sim_conn *l = &s->trainer.conns[i];

		if (!l->busy || l->call != a->caller ||
		    s->trainer.down_until_ms > 0)
			continue;
		l->busy = false;
		if (a->kind == ROLLOUT_ACCEPTED)
			s->trainer.posted = true;
		else if (a->kind == ROLLOUT_PULL_REPLY)
			sim_trainer_pulled(s, l, a);
	}
}
