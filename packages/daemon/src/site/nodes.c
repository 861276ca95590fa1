// Live nodes, and which of them may be homes, relays or asked for help.
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "base/table_full.h"
#include "lead/live_value.h"
#include "site/site.h"
#include "store_keys.h"

const struct site_node *site_mod_homes(struct core *c, size_t *n)
{
	*n = site_of(c)->nodes_listed ? site_of(c)->n_homes : 0;
	return site_of(c)->homes;
}

const struct site_node *site_mod_neighbours(struct core *c, size_t *n)
{
	*n = site_of(c)->n_neighbours;
	return site_of(c)->neighbours;
}

static struct site_node *node_find(struct site_node *list, size_t n,
				   const char *node)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(list[i].node, node) == 0)
			return &list[i];
	}
	return NULL;
}

/* Add a node at the front or the end of a list, or update it.
 *
 * @return false if the list is full */
static bool node_put(struct site_node *list, size_t *n,
		     const struct live_value *v, bool front, int64_t now,
		     uint32_t round)
{
	struct site_node *h = node_find(list, *n, v->node);

	if (!h && *n == SITE_NODES_MAX)
		return false;
	if (!h) {
		h = front ? list : &list[*n];
		if (front)
			memmove(list + 1, list, *n * sizeof(*list));
		(*n)++;
		*h = (struct site_node){0};
	}
	if (strcmp(h->peer, v->peer) != 0)
		h->known_ms = now;
	h->list_round = round;
	snprintf(h->node, sizeof(h->node), "%s", v->node);
	snprintf(h->peer, sizeof(h->peer), "%s", v->peer);
	return true;
}

static void node_del(struct site_node *list, size_t *n, const char *node)
{
	struct site_node *h = node_find(list, *n, node);

	if (!h)
		return;
	(*n)--;
	memmove(h, h + 1, (size_t)(list + *n - h) * sizeof(*h));
}

/* Remove the nodes that the list which ended did not have. */
static void drop_unlisted(struct core *c, struct site *s,
			  struct site_node *list, size_t *n)
{
	for (size_t i = *n; i-- > 0;) {
		char node[SITE_NAME_SIZE];

		if (list[i].list_round == s->nodes_round)
			continue;
		strcpy(node, list[i].node);
		node_del(list, n, node);
		relay_node_removed(c, &s->relay, node);
	}
}

uint64_t site_mod_nodes_gen(struct core *c)
{
	return site_of(c)->nodes_gen;
}

bool site_mod_nodes_listed(struct core *c)
{
	return site_of(c)->node_feed.listed;
}

/* Value of a node's liveness key. */
static bool read_live_value(const struct site *s, const char *node,
			    struct live_value *out)
{
	const struct relay_copy *copy = &s->node_feed.copy;

	for (size_t i = 0; i < copy->n; i++) {
		const struct relay_item *it = &copy->items[i];
		const struct kv_item item = {
			.key = it->key, .value = it->value, .len = it->len};

		if (it->value &&
		    strcmp(it->key + sizeof(KEY_LIVE) - 1, node) == 0 &&
		    live_value_parse(&item, out) == ERR_OK)
			return true;
	}
	return false;
}

bool site_mod_run_alive(struct core *c, const char *node, const char *run)
{
	struct live_value v;

	return read_live_value(site_of(c), node, &v) && strcmp(v.run, run) == 0;
}

bool site_mod_node_loss(struct core *c, const char *node, const char *run,
			struct site_node_loss *out)
{
	const struct site *s = site_of(c);

	/* The latest loss counts: the key may have returned in between. */
	for (uint64_t i = 1; i <= SITE_LOSSES_MAX && i <= s->n_lost_nodes;
	     i++) {
		const struct site_lost_node *g =
			&s->lost_nodes[(s->n_lost_nodes - i) % SITE_LOSSES_MAX];

		if (strcmp(g->node, node) == 0 && strcmp(g->run, run) == 0) {
			*out = g->loss;
			return true;
		}
	}
	return false;
}

bool site_mod_last_node_loss(struct core *c, struct site_node_loss *out)
{
	const struct site *s = site_of(c);

	if (s->n_lost_nodes)
		*out = s->lost_nodes[(s->n_lost_nodes - 1) % SITE_LOSSES_MAX]
			       .loss;
	return s->n_lost_nodes > 0;
}

/* Record the loss while the copy still has the value. */
static void record_loss(struct core *c, struct site *s, const char *node)
{
	int64_t up_since_ms = kv_up_since(c);
	struct site_lost_node *g =
		&s->lost_nodes[s->n_lost_nodes % SITE_LOSSES_MAX];
	struct live_value v;

	if (!read_live_value(s, node, &v))
		return;
	snprintf(g->node, sizeof(g->node), "%s", v.node);
	snprintf(g->run, sizeof(g->run), "%s", v.run);
	g->loss.at_ms = core_now(c);
	g->loss.rev = s->node_feed.source_rev;
	g->loss.store_ms = up_since_ms ? core_now(c) - up_since_ms : 0;
	s->n_lost_nodes++;
	log_event(EV_NODE_LOST, "lost=%s run=%s store_ms=%lld", v.node, v.run,
		  (long long)g->loss.store_ms);
}

static void add_live_node(struct core *c, struct site *s,
			  const struct live_value *v)
{
	bool self = strcmp(v->node, core_node(c)) == 0;
	bool same_domain = strcmp(v->domain, core_domain(c)) == 0;

	/* Connect before the connection is needed. */
	if (!self && (v->relay || same_domain || s->relay.is_relay))
		core_peer_add(c, v->node, v->peer);
	if (!self && (same_domain || v->relay))
		node_put(s->neighbours, &s->n_neighbours, v,
			 same_domain && !v->relay, core_now(c), s->nodes_round);
	if (!v->relay)
		return;
	if (v->retiring)
		node_del(s->homes, &s->n_homes, v->node);
	else if (!node_put(s->homes, &s->n_homes, v, false, core_now(c),
			   s->nodes_round))
		table_full("homes", v->node, SITE_NODES_MAX);
	if (!self)
		relay_node_changed(c, &s->relay, v->node, v->peer, same_domain);
}

static void nodes_list_begin(struct core *c, void *ctx)
{
	struct site *s = ctx;

	s->nodes_gen++;
	s->nodes_round++;
}

static void nodes_item(struct core *c, void *ctx, const struct kv_item *item)
{
	struct site *s = ctx;
	struct live_value v;

	s->nodes_gen++;
	if (live_value_parse(item, &v) != ERR_OK) {
		log_event(EV_SITE_SERVER_BAD, "key=%s error=parse", item->key);
		return;
	}
	add_live_node(c, s, &v);
}

static void nodes_deleted(struct core *c, void *ctx, const char *key)
{
	struct site *s = ctx;

	s->nodes_gen++;
	record_loss(c, s, key + sizeof(KEY_LIVE) - 1);
	node_del(s->homes, &s->n_homes, key + sizeof(KEY_LIVE) - 1);
	node_del(s->neighbours, &s->n_neighbours, key + sizeof(KEY_LIVE) - 1);
	relay_node_removed(c, &s->relay, key + sizeof(KEY_LIVE) - 1);
}

/* Nodes are dropped only now: a list may take several calls. */
static void nodes_list_end(struct core *c, void *ctx)
{
	struct site *s = ctx;

	drop_unlisted(c, s, s->homes, &s->n_homes);
	drop_unlisted(c, s, s->neighbours, &s->n_neighbours);
	s->nodes_listed = true;
}

const struct feed_ops site_nodes_ops = {
	.list_begin = nodes_list_begin,
	.item = nodes_item,
	.item_deleted = nodes_deleted,
	.list_end = nodes_list_end,
};
