// The network behind the tests of conf_sync.
#include "conf_net.h"

#include <stdarg.h>
#include <setjmp.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

enum {
	TICK_MS = 100,
	DETECT_MS = 1000, ///< until membership notices a cut or a heal
	FORCE_MS = 3000, ///< an accepted edit is in force within this
	CALM_MS = 8000, ///< at the end, without faults
	DELAY_MS = 20, ///< longest way of a message
	LOST_PERCENT = 5, ///< of watches that are never answered
};

enum event_kind {
	EVENT_TICK,
	EVENT_MSG,
	EVENT_KV,
	EVENT_WATCH_END,
	EVENT_FAULT,
	EVENT_VIEW,
	EVENT_EDIT,
	EVENT_CHECK,
};

struct event {
	int64_t at;
	uint64_t order; ///< keeps events of one time in order
	enum event_kind kind;
	int node;
	int run; ///< of the node; an older run's events are dropped
	int from;
	uint64_t doc; ///< revision of the document that comes along, 0 for none
	struct conf_msg msg;
	struct conf_sync_kv kv;
};

struct net_node {
	struct conf_sync *sync;
	int run;
	bool watching;
	int64_t watch_asked;
	uint64_t rev; ///< last revision seen in force in this run
	uint64_t last_wins; ///< revision by the NET_LAST_WINS rule
};

struct net {
	struct net_opts opts;
	struct net_result *res;
	struct rng rng;
	int64_t now;
	uint64_t order;
	struct event *heap;
	size_t n_heap;
	struct net_node nodes[NET_NODES];
	bool link[NET_DOMAINS][NET_DOMAINS];
	bool kv_link[NET_DOMAINS];
	bool kv_up;
	uint64_t rev; ///< of the document in the store
	uint64_t accepted; ///< highest revision that a node has
	int64_t edited[NET_EDITS]; ///< when a revision was accepted
	int64_t changed; ///< when a fault or heal last happened
	uint64_t everywhere; ///< highest revision seen in force on all
};

static struct net *the_net;

static int domain_of(int node)
{
	return node / NET_PER_DOMAIN;
}

static bool before(const struct event *a, const struct event *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void event_push(struct net *n, struct event e)
{
	size_t i = n->n_heap++;

	assert_true(n->n_heap < NET_EVENTS);
	e.order = n->order++;
	while (i > 0 && before(&e, &n->heap[(i - 1) / 2])) {
		n->heap[i] = n->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	n->heap[i] = e;
}

static struct event event_pop(struct net *n)
{
	struct event top = n->heap[0];
	struct event e = n->heap[--n->n_heap];
	size_t i = 0;

	for (;;) {
		size_t k = 2 * i + 1;

		if (k >= n->n_heap)
			break;
		if (k + 1 < n->n_heap && before(&n->heap[k + 1], &n->heap[k]))
			k++;
		if (before(&e, &n->heap[k]))
			break;
		n->heap[i] = n->heap[k];
		i = k;
	}
	n->heap[i] = e;
	return top;
}

static int64_t later(struct net *n)
{
	return n->now + 1 + (int64_t)rng_below(&n->rng, DELAY_MS);
}

static const char *doc_text(uint64_t rev, char *buf, size_t *len)
{
	*len = (size_t)sprintf(buf, "{\"rev\":%llu}", (unsigned long long)rev);
	return buf;
}

/// Index of this node, from the context of its operations.
static int index_of(void *ctx)
{
	return (int)((struct net_node *)ctx - the_net->nodes);
}

static bool kv_reached(const struct net *n, int node)
{
	return n->kv_up && n->kv_link[domain_of(node)];
}

static void kv_answer(struct net *n, int node, int64_t asked, bool unchanged)
{
	struct event e = {.at = later(n),
			  .kind = EVENT_KV,
			  .node = node,
			  .run = n->nodes[node].run};

	e.kv.asked_ms = asked;
	e.kv.unchanged = unchanged;
	e.kv.kv_rev = n->rev + 1;
	e.doc = unchanged ? 0 : n->rev;
	e.kv.err = !unchanged && n->rev == 0 ? ERR_NOT_FOUND : ERR_OK;
	event_push(n, e);
}

/// A call that fails: refused at once, timed out, or never answered.
static void kv_fail(struct net *n, int node, int64_t asked)
{
	struct event e = {.at = n->now + 10,
			  .kind = EVENT_KV,
			  .node = node,
			  .run = n->nodes[node].run};

	if (rng_below(&n->rng, 3) == 0)
		return;
	if (rng_below(&n->rng, 2) == 0)
		e.at = n->now + 1000;
	e.kv.asked_ms = asked;
	e.kv.err = ERR_KV_UNKNOWN;
	event_push(n, e);
}

static void on_watch(void *ctx, uint64_t after, int64_t wait_ms)
{
	struct net *n = the_net;
	int i = index_of(ctx);
	struct event end = {.at = n->now + wait_ms,
			    .kind = EVENT_WATCH_END,
			    .node = i,
			    .run = n->nodes[i].run};

	if (!kv_reached(n, i)) {
		kv_fail(n, i, n->now);
		return;
	}
	if (n->rev + 1 > after) {
		kv_answer(n, i, n->now, false);
		return;
	}
	if (rng_below(&n->rng, 100) < LOST_PERCENT)
		return;
	n->nodes[i].watching = true;
	n->nodes[i].watch_asked = n->now;
	end.kv.asked_ms = n->now;
	event_push(n, end);
}

static void on_read(void *ctx)
{
	struct net *n = the_net;
	int i = index_of(ctx);

	if (kv_reached(n, i))
		kv_answer(n, i, n->now, false);
	else
		kv_fail(n, i, n->now);
}

static void on_send(void *ctx, const char *to, const struct conf_msg *m)
{
	struct net *n = the_net;
	struct event e = {.at = later(n), .kind = EVENT_MSG, .msg = *m};

	e.from = index_of(ctx);
	e.node = (int)strtol(to + 1, NULL, 10);
	e.run = n->nodes[e.node].run;
	e.doc = m->text ? m->rev : 0;
	e.msg.text = NULL;
	if (n->opts.mutant == NET_NO_PEERS)
		return;
	if (n->opts.mutant == NET_TRUST_HEARD && m->type == CONF_MSG_ANSWER)
		e.msg.age_ms = 0;
	if (n->link[domain_of(e.from)][domain_of(e.node)])
		event_push(n, e);
}

/// An edit counts as accepted once a node has it from the store: only then
/// does a daemon tell an operator so.
static void accepted(struct net *n, uint64_t rev)
{
	struct event check = {.at = n->now + FORCE_MS, .kind = EVENT_CHECK};

	while (n->accepted < rev) {
		n->edited[++n->accepted] = n->now;
		n->res->edits++;
		check.doc = n->accepted;
		event_push(n, check);
	}
}

static void on_changed(void *ctx)
{
	struct net_node *node = ctx;
	uint64_t rev = conf_rev(conf_sync_doc(node->sync));

	if (rev < node->rev)
		the_net->res->reverted++;
	node->rev = rev;
	accepted(the_net, rev);
}

static void on_bad(void *ctx, const char *from, enum err e)
{
	assert_int_equal(e, ERR_CONF_OLDER);
}

static const struct conf_sync_ops net_ops = {
	on_watch, on_read, on_send, on_changed, on_bad,
};

static void node_view(struct net *n, int i)
{
	struct conf_sync_member m[NET_NODES];
	size_t k = 0;

	memset(m, 0, sizeof(m));
	for (int j = 0; j < NET_NODES; j++) {
		if (j == i)
			continue;
		sprintf(m[k].id, "n%d", j);
		sprintf(m[k].domain, "d%d", domain_of(j));
		m[k++].alive = n->link[domain_of(i)][domain_of(j)];
	}
	conf_sync_view(n->nodes[i].sync, m, k);
}

static void node_start(struct net *n, int i)
{
	struct net_node *node = &n->nodes[i];
	char id[16], domain[16];
	struct conf_sync_opts opts = {id, domain, rng_next(&n->rng), &net_ops,
				      node};
	struct event e = {.at = n->now + 1 + (int64_t)rng_below(&n->rng, 100),
			  .kind = EVENT_TICK,
			  .node = i};

	sprintf(id, "n%d", i);
	sprintf(domain, "d%d", domain_of(i));
	conf_sync_free(node->sync);
	node->run++;
	node->watching = false;
	node->rev = 0;
	node->last_wins = 0;
	assert_int_equal(conf_sync_new(&opts, &node->sync), ERR_OK);
	node_view(n, i);
	e.run = node->run;
	event_push(n, e);
}

/// Whether a node has a way to the store, its own or through peers.
static bool connected(const struct net *n, int node)
{
	int d = domain_of(node);

	for (int k = 0; n->kv_up && k < NET_DOMAINS; k++) {
		if (n->kv_link[k] && n->link[d][k] && n->link[k][d])
			return true;
	}
	return false;
}

static void count_everywhere(struct net *n)
{
	uint64_t low = n->accepted;
	int64_t slot;

	for (int i = 0; i < NET_NODES; i++)
		low = n->nodes[i].rev < low ? n->nodes[i].rev : low;
	while (n->everywhere < low) {
		slot = (n->now - n->edited[++n->everywhere]) / 250;
		n->res->lag[slot < 15 ? slot : 15]++;
	}
}

static void check_node(struct net *n, int i)
{
	struct net_node *node = &n->nodes[i];
	enum conf_fresh fresh = conf_sync_fresh(node->sync, n->now);
	int64_t limit = FORCE_MS;
	int64_t lag;

	if (n->opts.mutant == NET_SERVE_ON && fresh == CONF_CUT_OFF)
		fresh = CONF_KV_DOWN;
	if (fresh == CONF_CUT_OFF)
		n->res->refused++;
	if (fresh == CONF_NONE || fresh == CONF_CUT_OFF ||
	    node->rev >= n->accepted)
		return;
	if (fresh == CONF_KV_DOWN)
		limit += NET_GRACE_MS;
	lag = n->now - n->edited[node->rev + 1];
	if (lag > n->res->worst_ms)
		n->res->worst_ms = lag;
	if (lag > limit)
		n->res->stale_served++;
}

static void run_tick(struct net *n, struct event *e)
{
	conf_sync_tick(n->nodes[e->node].sync, n->now);
	check_node(n, e->node);
	e->at = n->now + TICK_MS;
	event_push(n, *e);
}

static void run_msg(struct net *n, struct event *e)
{
	struct net_node *node = &n->nodes[e->node];
	char from[16], buf[64];

	if (!n->link[domain_of(e->from)][domain_of(e->node)])
		return;
	if (e->doc)
		e->msg.text = doc_text(e->doc, buf, &e->msg.len);
	sprintf(from, "n%d", e->from);
	if (e->doc && n->opts.mutant == NET_LAST_WINS) {
		n->res->reverted += e->doc < node->last_wins;
		node->last_wins = e->doc;
	}
	conf_sync_on_msg(node->sync, n->now, from, &e->msg);
}

static void run_kv(struct net *n, struct event *e)
{
	struct net_node *node = &n->nodes[e->node];
	char buf[64];

	if (!e->kv.err && !kv_reached(n, e->node))
		return; /* the answer is lost */
	if (e->doc)
		e->kv.text = doc_text(e->doc, buf, &e->kv.len);
	if (e->doc)
		node->last_wins = e->doc;
	conf_sync_on_kv(node->sync, n->now, &e->kv);
}

/// An operator's edit through a node; its answer may be lost on the way.
static void run_edit(struct net *n)
{
	int by = (int)rng_below(&n->rng, NET_NODES);

	if (!kv_reached(n, by) || n->rev + 1 >= NET_EDITS)
		return;
	n->rev++;
	kv_answer(n, by, n->now, false);
	for (int i = 0; i < NET_NODES; i++) {
		if (!n->nodes[i].watching || !kv_reached(n, i))
			continue;
		n->nodes[i].watching = false;
		kv_answer(n, i, n->nodes[i].watch_asked, false);
	}
}

static void run_check(struct net *n, const struct event *e)
{
	if (n->changed > n->now - FORCE_MS)
		return;
	for (int i = 0; i < NET_NODES; i++) {
		if (connected(n, i) && n->nodes[i].rev < e->doc)
			n->res->late++;
	}
}

/// Cuts (or heals) break the watches that go over the link.
static void drop_watches(struct net *n)
{
	for (int i = 0; i < NET_NODES; i++) {
		if (!kv_reached(n, i))
			n->nodes[i].watching = false;
	}
}

static void heal_all(struct net *n)
{
	n->kv_up = true;
	for (int a = 0; a < NET_DOMAINS; a++) {
		n->kv_link[a] = true;
		for (int b = 0; b < NET_DOMAINS; b++)
			n->link[a][b] = true;
	}
}

static void cut_some(struct net *n)
{
	int a = (int)rng_below(&n->rng, NET_DOMAINS);
	int b = (int)rng_below(&n->rng, NET_DOMAINS);

	switch (rng_below(&n->rng, 5)) {
	case 0: /* two failure domains lose each other */
		n->link[a][b] = n->link[b][a] = a == b;
		break;
	case 1: /* one way only */
		n->link[a][b] = a == b;
		break;
	case 2: /* the store is out of reach of one */
		n->kv_link[a] = false;
		break;
	default: /* a failure domain is cut off from all but maybe the store */
		for (int d = 0; d < NET_DOMAINS; d++)
			n->link[a][d] = n->link[d][a] = a == d;
		n->kv_link[a] = rng_below(&n->rng, 3) == 0;
		break;
	}
}

static void run_fault(struct net *n)
{
	struct event next = {.at = n->now + 500 +
				   (int64_t)rng_below(&n->rng, 8000),
			     .kind = EVENT_FAULT};
	struct event view = {.at = n->now + DETECT_MS, .kind = EVENT_VIEW};
	uint64_t dice = rng_below(&n->rng, 4);

	if (n->now >= n->opts.run_ms) {
		heal_all(n);
	} else {
		if (dice == 0)
			heal_all(n);
		else if (dice == 1 && n->opts.outages)
			n->kv_up = !n->kv_up;
		else if (dice == 2 && n->opts.restarts)
			node_start(n, (int)rng_below(&n->rng, NET_NODES));
		else if (n->opts.partitions)
			cut_some(n);
		event_push(n, next);
	}
	n->changed = n->now;
	drop_watches(n);
	event_push(n, view);
}

static void run_event(struct net *n, struct event *e)
{
	struct net_node *node = &n->nodes[e->node];
	bool of_node = e->kind <= EVENT_WATCH_END;

	if (of_node && e->run != node->run)
		return;
	switch (e->kind) {
	case EVENT_TICK:
		run_tick(n, e);
		break;
	case EVENT_MSG:
		run_msg(n, e);
		break;
	case EVENT_KV:
		run_kv(n, e);
		break;
	case EVENT_WATCH_END:
		if (node->watching && node->watch_asked == e->kv.asked_ms) {
			node->watching = false;
			kv_answer(n, e->node, e->kv.asked_ms, true);
		}
		break;
	case EVENT_FAULT:
		run_fault(n);
		break;
	case EVENT_VIEW:
		for (int i = 0; i < NET_NODES; i++)
			node_view(n, i);
		break;
	case EVENT_EDIT:
		run_edit(n);
		e->at = n->now + 20 + (int64_t)rng_below(&n->rng, 2000);
		if (e->at < n->opts.run_ms)
			event_push(n, *e);
		break;
	case EVENT_CHECK:
		run_check(n, e);
		break;
	}
	count_everywhere(n);
}

/// One long outage of the store, with every node up and every link whole.
static void outage_plan(struct net *n)
{
	int64_t begin = 10000;

	if (n->now >= begin && n->now < begin + n->opts.outage_ms && n->kv_up) {
		n->kv_up = false;
		n->changed = n->now;
		drop_watches(n);
	} else if (n->now >= begin + n->opts.outage_ms && !n->kv_up) {
		n->kv_up = true;
		n->changed = n->now;
	}
}

void net_run(const struct net_opts *opts, struct net_result *res)
{
	struct net *n = calloc(1, sizeof(*n));
	struct event edit = {.at = 500, .kind = EVENT_EDIT};
	struct event fault = {.at = 5000, .kind = EVENT_FAULT};
	struct event last = {.at = opts->run_ms, .kind = EVENT_FAULT};

	the_net = n;
	n->opts = *opts;
	n->res = res;
	n->rng.state = opts->seed;
	n->heap = calloc(NET_EVENTS, sizeof(*n->heap));
	heal_all(n);
	for (int i = 0; i < NET_NODES; i++)
		node_start(n, i);
	event_push(n, edit);
	if (opts->partitions || opts->outages || opts->restarts)
		event_push(n, fault);
	event_push(n, last);
	while (n->n_heap > 0) {
		struct event e = event_pop(n);

		if (e.at > opts->run_ms + CALM_MS)
			break;
		n->now = e.at;
		if (opts->outage_ms)
			outage_plan(n);
		run_event(n, &e);
	}
	for (int i = 0; i < NET_NODES; i++) {
		res->unconverged += n->nodes[i].rev != n->rev;
		conf_sync_free(n->nodes[i].sync);
	}
	free(n->heap);
	free(n);
}
