// Simulated key-value store: reads and watches may fail or get no reply.
#include "conf_net_int.h"

#include <stdarg.h>
#include <setjmp.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

int64_t delivery_ms(struct net *n)
{
	return n->now + 1 + (int64_t)rng_below(&n->rng, MSG_DELAY_MAX_MS);
}

const char *doc_text(uint64_t rev, char *buf, size_t *len)
{
	*len = (size_t)sprintf(buf, "{\"rev\":%llu}", (unsigned long long)rev);
	return buf;
}

/// Index of the node whose callback context this is.
int node_index(void *ctx)
{
	return (int)((struct net_node *)ctx - current_net->nodes);
}

bool kv_reachable(const struct net *n, int node)
{
	return n->kv_up && n->kv_link[domain_of(node)];
}

void kv_answer(struct net *n, int node, int64_t asked, bool unchanged)
{
	struct event e = {.at_ms = delivery_ms(n),
			  .kind = EVENT_KV,
			  .node = node,
			  .incarnation = n->nodes[node].incarnation};

	e.kv.asked_ms = asked;
	e.kv.unchanged = unchanged;
	e.kv.kv_rev = n->rev + 1;
	e.doc_rev = unchanged ? 0 : n->rev;
	e.kv.err = !unchanged && n->rev == 0 ? ERR_NOT_FOUND : ERR_OK;
	event_push(n, e);
}

/// Fail a call: an error after 10 ms or 1 s, or no reply at all.
static void kv_fail(struct net *n, int node, int64_t asked)
{
	struct event e = {.at_ms = n->now + 10,
			  .kind = EVENT_KV,
			  .node = node,
			  .incarnation = n->nodes[node].incarnation};

	if (rng_below(&n->rng, 3) == 0)
		return;
	if (rng_below(&n->rng, 2) == 0)
		e.at_ms = n->now + 1000;
	e.kv.asked_ms = asked;
	e.kv.err = ERR_KV_UNKNOWN;
	event_push(n, e);
}

void net_watch(void *ctx, uint64_t after, int64_t wait_ms)
{
	struct net *n = current_net;
	int i = node_index(ctx);
	struct event end = {.at_ms = n->now + wait_ms,
			    .kind = EVENT_WATCH_END,
			    .node = i,
			    .incarnation = n->nodes[i].incarnation};

	if (!kv_reachable(n, i)) {
		kv_fail(n, i, n->now);
		return;
	}
	if (n->rev + 1 > after) {
		kv_answer(n, i, n->now, false);
		return;
	}
	if (rng_below(&n->rng, 100) < LOST_WATCH_PERCENT)
		return;
	n->nodes[i].watching = true;
	n->nodes[i].watch_sent_ms = n->now;
	end.kv.asked_ms = n->now;
	event_push(n, end);
}

void net_read(void *ctx)
{
	struct net *n = current_net;
	int i = node_index(ctx);

	if (kv_reachable(n, i))
		kv_answer(n, i, n->now, false);
	else
		kv_fail(n, i, n->now);
}
