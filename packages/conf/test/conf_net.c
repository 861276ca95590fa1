// The network behind the tests of conf_sync.
#include "conf_net_int.h"

#include <stdarg.h>
#include <setjmp.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

struct net *the_net;

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
	net_watch, net_read, on_send, on_changed, on_bad,
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

void node_start(struct net *n, int i)
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
