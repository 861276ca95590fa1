// A node of the simulation: its calls to the store, messages to other nodes.
#include <stdio.h>

#include "sim_priv.h"

void kv_call_free(struct kv_call *k)
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

void kv_arrive(void *ctx, uint64_t arg)
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

void msg_send(struct node *from, struct node *to, sim_fn fn,
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

void on_verdict(void *ctx, uint64_t arg)
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

void on_verdict_self(void *ctx, uint64_t arg)
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

const struct claim_ops node_ops = {
	.list = op_list,
	.get = op_get,
	.put = op_put,
	.del = op_del,
	.verdict = op_verdict,
};

void on_ask(void *ctx, uint64_t arg)
{
	struct message *m = ctx;
	struct sim *s = m->node->sim;

	if (!m->node->dead)
		claim_shard_ask(m->node->shard, now(s), &m->req->claim,
				(uint64_t)(m->req - s->reqs));
	free(m);
}

void on_note(void *ctx, uint64_t arg)
{
	struct message *m = ctx;

	if (!m->node->dead)
		claim_shard_note(m->node->shard, now(m->node->sim), &m->note);
	free(m);
}
