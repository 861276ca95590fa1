// Injected faults of the simulated network.
#include "conf_net_int.h"

#include <stdarg.h>
#include <setjmp.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

/// Whether a node can reach the store, directly or through peers.
bool has_path_to_kv(const struct net *n, int node)
{
	int d = domain_of(node);

	for (int k = 0; n->kv_up && k < NET_DOMAINS; k++) {
		if (n->kv_link[k] && n->link[d][k] && n->link[k][d])
			return true;
	}
	return false;
}

/// Drop the watches of nodes that can't reach the store.
static void drop_watches(struct net *n)
{
	for (int i = 0; i < NET_NODES; i++) {
		if (!kv_reachable(n, i))
			n->nodes[i].watching = false;
	}
}

void heal_all(struct net *n)
{
	n->kv_up = true;
	for (int a = 0; a < NET_DOMAINS; a++) {
		n->kv_link[a] = true;
		for (int b = 0; b < NET_DOMAINS; b++)
			n->link[a][b] = true;
	}
}

static void cut_random_link(struct net *n)
{
	int a = (int)rng_below(&n->rng, NET_DOMAINS);
	int b = (int)rng_below(&n->rng, NET_DOMAINS);

	switch (rng_below(&n->rng, 5)) {
	case 0: /* partition between two failure domains */
		n->link[a][b] = n->link[b][a] = a == b;
		break;
	case 1: /* the same in one direction */
		n->link[a][b] = a == b;
		break;
	case 2: /* one failure domain can't reach the store */
		n->kv_link[a] = false;
		break;
	default: /* isolate one, in 2 of 3 cases from the store too */
		for (int d = 0; d < NET_DOMAINS; d++)
			n->link[a][d] = n->link[d][a] = a == d;
		n->kv_link[a] = rng_below(&n->rng, 3) == 0;
		break;
	}
}

void run_fault(struct net *n)
{
	struct event next = {.at_ms = n->now + 500 +
				      (int64_t)rng_below(&n->rng, 8000),
			     .kind = EVENT_FAULT};
	struct event membership = {.at_ms = n->now + MEMBERSHIP_DELAY_MS,
				   .kind = EVENT_MEMBERSHIP};
	uint64_t choice = rng_below(&n->rng, 4);

	if (n->now >= n->opts.run_ms) {
		heal_all(n);
	} else {
		if (choice == 0)
			heal_all(n);
		else if (choice == 1 && n->opts.outages)
			n->kv_up = !n->kv_up;
		else if (choice == 2 && n->opts.restarts)
			node_start(n, (int)rng_below(&n->rng, NET_NODES));
		else if (n->opts.partitions)
			cut_random_link(n);
		event_push(n, next);
	}
	n->last_fault_ms = n->now;
	drop_watches(n);
	event_push(n, membership);
}

/// One long outage of the store, with all nodes and links up.
void update_outage(struct net *n)
{
	int64_t begin = 10000;

	if (n->now >= begin && n->now < begin + n->opts.outage_ms && n->kv_up) {
		n->kv_up = false;
		n->last_fault_ms = n->now;
		drop_watches(n);
	} else if (n->now >= begin + n->opts.outage_ms && !n->kv_up) {
		n->kv_up = true;
		n->last_fault_ms = n->now;
	}
}
