// The simulated network: a queue of messages, and a timer per node.
#include "net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	SEEDS_PER_DOMAIN = 3, ///< of each domain, known at start
	SAME_DOMAIN_DELAY_MS = 1, ///< one-way delay within a domain
	CROSS_DOMAIN_DELAY_MS = 2, ///< between domains
};

struct net_msg {
	struct net_msg *next;
	int from, to;
	int64_t deliver_ms;
	enum member_msg type;
	size_t len;
	char data[];
};

static int node_at(const struct net *n, const char *id)
{
	int i = atoi(id + 1);

	return i >= 0 && i < n->n ? i : -1;
}

static void enqueue(struct net *n, struct net_msg *msg)
{
	struct net_msg **p = &n->queue;

	while (*p && (*p)->deliver_ms <= msg->deliver_ms)
		p = &(*p)->next;
	msg->next = *p;
	*p = msg;
}

static void damage(struct net *n, struct net_msg *msg)
{
	for (uint64_t k = rng_below(&n->rng, 3); msg->len && k < 3; k++)
		msg->data[rng_below(&n->rng, msg->len)] =
			(char)rng_next(&n->rng);
}

static void net_send(struct net *n, int from, int to,
		     const struct member_action *a)
{
	bool same_domain =
		strcmp(n->nodes[from].domain, n->nodes[to].domain) == 0;
	struct net_msg *msg;

	n->msgs++;
	n->bytes += a->len + NET_OVERHEAD_BYTES;
	if (!n->linked[from][to] || n->dead[from][to] || n->cut[from][to] ||
	    (int)rng_below(&n->rng, 1000) < n->loss_permille)
		return;
	msg = calloc(1, sizeof(*msg) + a->len);
	msg->from = from;
	msg->to = to;
	msg->deliver_ms = n->now_ms + (same_domain ? SAME_DOMAIN_DELAY_MS
						   : CROSS_DOMAIN_DELAY_MS);
	msg->type = a->type;
	msg->len = a->len;
	memcpy(msg->data, a->buf, a->len);
	if ((int)rng_below(&n->rng, 1000) < n->damage_permille)
		damage(n, msg);
	enqueue(n, msg);
}

static void net_actions(struct net *n, int from)
{
	struct member_action a;

	while (member_next_action(n->nodes[from].m, &a)) {
		int to = node_at(n, a.node);

		if (to < 0)
			continue;
		if (a.kind == MEMBER_SEND) {
			net_send(n, from, to, &a);
			continue;
		}
		n->linked[from][to] = a.kind != MEMBER_DISCONNECT;
		n->dead[from][to] = false;
	}
}

void net_start_node(struct net *n, int i)
{
	struct net_node *v = &n->nodes[i];
	struct member_opts opts = {
		.id = v->id,
		.domain = v->domain,
		.addr = v->addr,
		.incarnation = (uint64_t)n->now_ms + ++v->starts,
		.heartbeat_ms = 700,
		.silence_ms = 2100,
		.suspect_ms = 1000,
		.forget_ms = NET_FORGET_MS,
		.seed = rng_next(&n->rng),
	};
	int seen[NET_NODES] = {0};

	v->m = member_new(&opts, n->now_ms);
	v->tick_ms = n->now_ms + (int64_t)rng_below(&n->rng, NET_TICK_MS);
	for (int k = 0; k < n->n; k++) {
		int d = atoi(n->nodes[k].domain + 1);

		if (seen[d]++ < SEEDS_PER_DOMAIN)
			member_add_seed(v->m, n->nodes[k].id,
					n->nodes[k].domain, n->nodes[k].addr,
					false);
	}
}

void net_kill_node(struct net *n, int i)
{
	member_free(n->nodes[i].m);
	n->nodes[i].m = NULL;
	for (int k = 0; k < n->n; k++) {
		n->linked[i][k] = false;
		n->dead[i][k] = false;
	}
}

void net_start(struct net *n, int domains, int each, uint64_t seed)
{
	memset(n, 0, sizeof(*n));
	n->n = domains * each;
	n->rng.state = seed;
	n->now_ms = 1000000;
	for (int i = 0; i < n->n; i++) {
		struct net_node *v = &n->nodes[i];

		snprintf(v->id, sizeof(v->id), "n%d", i);
		snprintf(v->domain, sizeof(v->domain), "d%d", i / each);
		snprintf(v->addr, sizeof(v->addr), "10.0.%d.%d:1", i / 250,
			 i % 250);
	}
	for (int i = 0; i < n->n; i++)
		net_start_node(n, i);
}

static void net_deliver(struct net *n)
{
	while (n->queue && n->queue->deliver_ms <= n->now_ms) {
		struct net_msg *msg = n->queue;
		struct net_node *v = &n->nodes[msg->to];

		n->queue = msg->next;
		if (v->m) {
			member_on_msg(v->m, n->now_ms, n->nodes[msg->from].id,
				      msg->type, msg->data, msg->len);
			net_actions(n, msg->to);
		}
		free(msg);
	}
}

void net_run(struct net *n, int64_t ms)
{
	int64_t end = n->now_ms + ms;

	for (; n->now_ms < end; n->now_ms++) {
		net_deliver(n);
		for (int i = 0; i < n->n; i++) {
			struct net_node *v = &n->nodes[i];

			if (!v->m || v->tick_ms > n->now_ms)
				continue;
			v->tick_ms += NET_TICK_MS;
			member_tick(v->m, n->now_ms);
			net_actions(n, i);
		}
	}
}

int64_t net_run_until(struct net *n, bool (*fn)(struct net *n, void *ctx),
		      void *ctx, int64_t limit_ms)
{
	int64_t start = n->now_ms;

	while (!fn(n, ctx)) {
		if (n->now_ms - start > limit_ms)
			return -1;
		net_run(n, NET_TICK_MS);
	}
	return n->now_ms - start;
}

enum member_state net_state_of(struct net *n, int from, int of)
{
	size_t count;
	const struct member_view *v = member_views(n->nodes[from].m, &count);

	for (size_t i = 0; i < count; i++) {
		if (strcmp(v[i].id, n->nodes[of].id) == 0)
			return v[i].state;
	}
	return MEMBER_DEAD;
}

static bool domains_heard(struct net *n, int i)
{
	size_t count;
	const struct member_domain *d = member_domains(n->nodes[i].m, &count);
	int last = atoi(n->nodes[n->n - 1].domain + 1);

	if ((int)count != last + 1)
		return false;
	for (size_t k = 0; k < count; k++) {
		if (!d[k].heard)
			return false;
	}
	return true;
}

bool net_converged(struct net *n, void *ctx)
{
	for (int i = 0; i < n->n; i++) {
		if (!n->nodes[i].m)
			continue;
		if (!domains_heard(n, i))
			return false;
		for (int k = 0; k < n->n; k++) {
			bool alive = n->nodes[k].m != NULL;

			if (k == i ||
			    strcmp(n->nodes[k].domain, n->nodes[i].domain) != 0)
				continue;
			if ((net_state_of(n, i, k) == MEMBER_ALIVE) != alive)
				return false;
		}
	}
	return true;
}

void net_stop(struct net *n)
{
	while (n->queue) {
		struct net_msg *msg = n->queue;

		n->queue = msg->next;
		free(msg);
	}
	for (int i = 0; i < n->n; i++)
		member_free(n->nodes[i].m);
}
