// Event loop and checks of the simulated network.
#include "conf_net_int.h"

#include <stdarg.h>
#include <setjmp.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

struct net *current_net;

static void on_send(void *ctx, const char *to, const struct conf_msg *m)
{
	struct net *n = current_net;
	struct event e = {
		.at_ms = delivery_ms(n), .kind = EVENT_MSG, .msg = *m};

	e.from = node_index(ctx);
	e.node = (int)strtol(to + 1, NULL, 10);
	e.incarnation = n->nodes[e.node].incarnation;
	e.doc_rev = m->text ? m->rev : 0;
	e.msg.text = NULL;
	if (n->opts.mutant == NET_MUTANT_NO_PEERS)
		return;
	if (n->opts.mutant == NET_MUTANT_REPLY_IS_FRESH &&
	    m->type == CONF_MSG_REPLY)
		e.msg.age_ms = 0;
	if (n->link[domain_of(e.from)][domain_of(e.node)])
		event_push(n, e);
}

/// An edit is accepted once a node has it from the store: only then does a
/// daemon reply so to the operator.
static void note_accepted(struct net *n, uint64_t rev)
{
	struct event check = {.at_ms = n->now + IN_FORCE_MAX_MS,
			      .kind = EVENT_CHECK_IN_FORCE};

	while (n->accepted_rev < rev) {
		n->accepted_ms[++n->accepted_rev] = n->now;
		n->res->edits++;
		check.doc_rev = n->accepted_rev;
		event_push(n, check);
	}
}

static void on_changed(void *ctx)
{
	struct net_node *node = ctx;
	uint64_t rev = conf_rev(conf_sync_doc(node->sync));

	if (rev < node->rev)
		current_net->res->reverted++;
	node->rev = rev;
	note_accepted(current_net, rev);
}

static void on_bad(void *ctx, const char *from, enum err e)
{
	assert_int_equal(e, ERR_CONF_OLDER);
}

static const struct conf_sync_ops net_ops = {
	net_watch, net_read, on_send, on_changed, on_bad,
};

static void update_members(struct net *n, int i)
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
	conf_sync_set_members(n->nodes[i].sync, m, k);
}

void node_start(struct net *n, int i)
{
	struct net_node *node = &n->nodes[i];
	char id[16], domain[16];
	struct conf_sync_opts opts = {id, domain, rng_next(&n->rng), &net_ops,
				      node};
	struct event e = {.at_ms =
				  n->now + 1 + (int64_t)rng_below(&n->rng, 100),
			  .kind = EVENT_TICK,
			  .node = i};

	sprintf(id, "n%d", i);
	sprintf(domain, "d%d", domain_of(i));
	conf_sync_free(node->sync);
	node->incarnation++;
	node->watching = false;
	node->rev = 0;
	node->last_doc_rev = 0;
	assert_int_equal(conf_sync_new(&opts, &node->sync), ERR_OK);
	update_members(n, i);
	e.incarnation = node->incarnation;
	event_push(n, e);
}

static void count_lag(struct net *n)
{
	uint64_t min_rev = n->accepted_rev;
	int64_t slot;

	for (int i = 0; i < NET_NODES; i++)
		min_rev = n->nodes[i].rev < min_rev ? n->nodes[i].rev : min_rev;
	while (n->rev_on_all < min_rev) {
		slot = (n->now - n->accepted_ms[++n->rev_on_all]) / 250;
		n->res->lag_ms_hist[slot < 15 ? slot : 15]++;
	}
}

static void check_node(struct net *n, int i)
{
	struct net_node *node = &n->nodes[i];
	enum conf_freshness fresh = conf_sync_freshness(node->sync, n->now);
	int64_t limit_ms = IN_FORCE_MAX_MS;
	int64_t lag_ms;

	if (n->opts.mutant == NET_MUTANT_IGNORE_CUT_OFF &&
	    fresh == CONF_CUT_OFF)
		fresh = CONF_KV_DOWN;
	if (fresh == CONF_CUT_OFF)
		n->res->refused_ticks++;
	if (fresh == CONF_NO_DOC || fresh == CONF_CUT_OFF ||
	    node->rev >= n->accepted_rev)
		return;
	if (fresh == CONF_KV_DOWN)
		limit_ms += NET_GRACE_MS;
	lag_ms = n->now - n->accepted_ms[node->rev + 1];
	if (lag_ms > n->res->max_stale_ms)
		n->res->max_stale_ms = lag_ms;
	if (lag_ms > limit_ms)
		n->res->stale_served++;
}

static void run_tick(struct net *n, struct event *e)
{
	conf_sync_tick(n->nodes[e->node].sync, n->now);
	check_node(n, e->node);
	e->at_ms = n->now + TICK_MS;
	event_push(n, *e);
}

static void run_msg(struct net *n, struct event *e)
{
	struct net_node *node = &n->nodes[e->node];
	char from[16], buf[64];

	if (!n->link[domain_of(e->from)][domain_of(e->node)])
		return;
	if (e->doc_rev)
		e->msg.text = doc_text(e->doc_rev, buf, &e->msg.len);
	sprintf(from, "n%d", e->from);
	if (e->doc_rev && n->opts.mutant == NET_MUTANT_LAST_DOC_WINS) {
		n->res->reverted += e->doc_rev < node->last_doc_rev;
		node->last_doc_rev = e->doc_rev;
	}
	conf_sync_on_msg(node->sync, n->now, from, &e->msg);
}

static void run_kv(struct net *n, struct event *e)
{
	struct net_node *node = &n->nodes[e->node];
	char buf[64];

	if (!e->kv.err && !kv_reachable(n, e->node))
		return; /* the reply is lost */
	if (e->doc_rev)
		e->kv.text = doc_text(e->doc_rev, buf, &e->kv.len);
	if (e->doc_rev)
		node->last_doc_rev = e->doc_rev;
	conf_sync_on_kv(node->sync, n->now, &e->kv);
}

/// An operator's edit through a random node; its reply may be lost.
static void run_edit(struct net *n)
{
	int node = (int)rng_below(&n->rng, NET_NODES);

	if (!kv_reachable(n, node) || n->rev + 1 >= NET_EDITS_MAX)
		return;
	n->rev++;
	kv_answer(n, node, n->now, false);
	for (int i = 0; i < NET_NODES; i++) {
		if (!n->nodes[i].watching || !kv_reachable(n, i))
			continue;
		n->nodes[i].watching = false;
		kv_answer(n, i, n->nodes[i].watch_sent_ms, false);
	}
}

static void run_check(struct net *n, const struct event *e)
{
	if (n->last_fault_ms > n->now - IN_FORCE_MAX_MS)
		return;
	for (int i = 0; i < NET_NODES; i++) {
		if (has_path_to_kv(n, i) && n->nodes[i].rev < e->doc_rev)
			n->res->late_nodes++;
	}
}

static void run_event(struct net *n, struct event *e)
{
	struct net_node *node = &n->nodes[e->node];
	bool of_node = e->kind <= EVENT_WATCH_END;

	if (of_node && e->incarnation != node->incarnation)
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
		if (node->watching && node->watch_sent_ms == e->kv.asked_ms) {
			node->watching = false;
			kv_answer(n, e->node, e->kv.asked_ms, true);
		}
		break;
	case EVENT_FAULT:
		run_fault(n);
		break;
	case EVENT_MEMBERSHIP:
		for (int i = 0; i < NET_NODES; i++)
			update_members(n, i);
		break;
	case EVENT_EDIT:
		run_edit(n);
		e->at_ms = n->now + 20 + (int64_t)rng_below(&n->rng, 2000);
		if (e->at_ms < n->opts.run_ms)
			event_push(n, *e);
		break;
	case EVENT_CHECK_IN_FORCE:
		run_check(n, e);
		break;
	}
	count_lag(n);
}

void net_run(const struct net_opts *opts, struct net_result *res)
{
	struct net *n = calloc(1, sizeof(*n));
	struct event edit = {.at_ms = 500, .kind = EVENT_EDIT};
	struct event fault = {.at_ms = 5000, .kind = EVENT_FAULT};
	struct event last = {.at_ms = opts->run_ms, .kind = EVENT_FAULT};

	current_net = n;
	n->opts = *opts;
	n->res = res;
	n->rng.state = opts->seed;
	n->heap = calloc(NET_EVENTS_MAX, sizeof(*n->heap));
	heal_all(n);
	for (int i = 0; i < NET_NODES; i++)
		node_start(n, i);
	event_push(n, edit);
	if (opts->partitions || opts->outages || opts->restarts)
		event_push(n, fault);
	event_push(n, last);
	while (n->n_heap > 0) {
		struct event e = event_pop(n);

		if (e.at_ms > opts->run_ms + FAULT_FREE_MS)
			break;
		n->now = e.at_ms;
		if (opts->outage_ms)
			update_outage(n);
		run_event(n, &e);
	}
	for (int i = 0; i < NET_NODES; i++) {
		res->unconverged += n->nodes[i].rev != n->rev;
		conf_sync_free(n->nodes[i].sync);
	}
	free(n->heap);
	free(n);
}
