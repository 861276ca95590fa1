// Simulated node: its store calls and its messages to other nodes.
#include <stdio.h>

#include "sim_priv.h"

void kv_call_free(struct kv_call *k)
{
	free(k->call.value);
	free(k);
}

static void on_kv_reply(void *ctx, const struct claim_kv_result *res)
{
	struct kv_call *k = ctx;
	struct node *n = k->node;
	struct claim_kv_result got = *res;

	if (k->call.op == SIM_DEL || n->crashed || n->kv_call_id != k->id)
		return;
	if (k->lose_reply || node_is_partitioned(n))
		return;
	n->kv_call_id = 0;
	claim_shard_kv_done(n->shard, sim_claim_time(n->sim), &got);
}

void on_kv_call(void *ctx, uint64_t arg)
{
	struct kv_call *k = ctx;
	struct sim_kv *kv = node_kv(k->node);
	int64_t t = kv->clock->now_ms;

	if (t < kv->outage_from_ms || t >= kv->outage_to_ms)
		sim_kv_exec(kv, &k->call, on_kv_reply, k);
	kv_call_free(k);
}

static void on_kv_timeout(void *ctx, uint64_t id)
{
	struct node *n = ctx;
	bool ok = n->sim->v == SIM_UNKNOWN_AS_SUCCESS;
	struct claim_kv_result res = {.err = ok ? ERR_OK : ERR_KV_UNKNOWN};

	if (n->crashed || n->kv_call_id != id)
		return;
	n->kv_call_id = 0;
	claim_shard_kv_done(n->shard, sim_claim_time(n->sim), &res);
}

static void kv_send(void *ctx, enum sim_kv_op op, const char *key,
		    const char *value, size_t len, uint64_t prev_rev)
{
	struct node *n = ctx;
	struct sim *s = n->sim;
	struct kv_call *k = calloc(1, sizeof(*k));
	int64_t delay_ms = 1 + (int64_t)sim_random(s, 8);

	if (sim_random(s, 8) == 0)
		delay_ms += (int64_t)sim_random(s, 3000);
	*k = (struct kv_call){.node = n, .id = ++s->next_id};
	k->call = (struct sim_kv_call){
		.op = op, .len = len, .prev_rev = prev_rev};
	snprintf(k->call.key, sizeof(k->call.key), "%s", key);
	k->call.value = malloc(len + 1);
	if (len > 0)
		memcpy(k->call.value, value, len);
	k->lose_reply = sim_random(s, 8) == 0;
	if (op != SIM_DEL) {
		n->kv_call_id = k->id;
		sim_schedule(&s->clock, KV_TIMEOUT_MS, on_kv_timeout, n, k->id);
	}
	if (node_is_partitioned(n))
		kv_call_free(k);
	else
		sim_schedule(&s->clock, delay_ms, on_kv_call, k, 0);
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

void msg_send(struct node *from, struct node *to, sim_event_fn fn,
	      const struct message *m)
{
	struct sim *s = from->sim;
	struct message *copy = malloc(sizeof(*copy));

	*copy = *m;
	copy->node = to;
	if (from != to && (node_is_partitioned(from) ||
			   node_is_partitioned(to) || sim_random(s, 12) == 0)) {
		free(copy);
		return;
	}
	sim_schedule(&s->clock, from == to ? 0 : 1 + (int64_t)sim_random(s, 4),
		     fn, copy, 0);
}

void on_verdict(void *ctx, uint64_t arg)
{
	struct message *m = ctx;
	struct request *r = m->req;
	struct sim *s = m->node->sim;
	bool self = arg != 0;

	if (!m->node->crashed && r->node == (int)(m->node - s->nodes) &&
	    !r->finished)
		req_take_step(
			s, r,
			claim_acquire_verdict(&r->acquire, m->verdict, self),
			m->verdict, m->answer_call);
	free(m);
}

void on_verdict_self(void *ctx, uint64_t arg)
{
	on_verdict(ctx, 1);
}

static void op_verdict(void *ctx, uint64_t cookie, enum claim_verdict v,
		       const struct claim_answer *a)
{
	struct node *n = ctx;
	struct request *r = &n->sim->reqs[cookie];
	struct node *owner = &n->sim->nodes[r->node];
	struct message m = {.req = r, .verdict = v, .answer_call = -1};

	if (a && a->body)
		m.answer_call = (int)strtol(a->body, NULL, 10);
	msg_send(n, owner, n == owner ? on_verdict_self : on_verdict, &m);
}

const struct claim_shard_ops node_ops = {
	.list = op_list,
	.get = op_get,
	.put = op_put,
	.del = op_del,
	.verdict = op_verdict,
};

void on_claim_request(void *ctx, uint64_t arg)
{
	struct message *m = ctx;
	struct sim *s = m->node->sim;

	if (!m->node->crashed)
		claim_shard_request(m->node->shard, sim_claim_time(s),
				    &m->req->claim,
				    (uint64_t)(m->req - s->reqs));
	free(m);
}

void on_outcome(void *ctx, uint64_t arg)
{
	struct message *m = ctx;

	if (!m->node->crashed)
		claim_shard_add_outcome(m->node->shard,
					sim_claim_time(m->node->sim),
					&m->outcome);
	free(m);
}
