// When this node calls the store itself, and when it relies on a relay.
#include "site/site.h"

enum {
	/// A starting node first lists the nodes to find its relays. It lists the
	/// other prefixes itself only if no relay sends them within this time.
	FIRST_UPDATE_WAIT_MS = 1500,
	/// A relay that lost the store too probes it every 250 ms, and is asked again
	/// every 300 ms.
	OUTAGE_UPDATE_WAIT_MS = 600,
};

/* Load pattern: all nodes start at once. Their lists of the same keys are then most
 * of the store's load. */
static bool relies_on_relay(struct core *c, const struct site *s,
			    const struct feed *f)
{
	bool starting = core_now(c) - s->start_ms < FIRST_UPDATE_WAIT_MS;

	return relay_following(c, &s->relay) ||
	       (starting && !s->relay.is_relay && f != &s->node_feed);
}

/* Load pattern: during and after an outage of the store, hundreds of nodes have
 * overdue data. One call of each shows whether it can reach the store; if not, its
 * probes detect when it can, and a relay then sends it the changes. */
static bool must_suspend(struct core *c, const struct site *s,
			 const struct feed *f)
{
	if (s->relay.is_relay || !s->relay.follow.n)
		return false;
	if (core_now(c) < s->await_relay_until_ms ||
	    (kv_unreachable_since(c) && !kv_reachable_since(c)))
		return true;
	for (int i = 0; i < RELAY_FEEDS; i++) {
		if (s->relay.feeds[i] != f &&
		    feed_is_probing(s->relay.feeds[i]))
			return true;
	}
	return false;
}

/* Another call reached the store: confirm the data now, as callers are refused until
 * then. */
static void on_store_returned(struct core *c, struct site *s)
{
	if (!s->relay.is_relay && s->relay.follow.n) {
		s->await_relay_until_ms = core_now(c) + OUTAGE_UPDATE_WAIT_MS;
		return;
	}
	for (int i = 0; i < RELAY_FEEDS; i++)
		feed_reconfirm(s->relay.feeds[i]);
}

void site_feeds_step(struct core *c, struct site *s)
{
	int64_t up_since_ms = kv_up_since(c);
	int64_t reached_since_ms = kv_reachable_since(c);
	bool returned =
		(up_since_ms && up_since_ms != s->last_back_ms) ||
		(reached_since_ms && reached_since_ms != s->last_reached_ms);

	s->last_back_ms = up_since_ms;
	s->last_reached_ms = reached_since_ms;
	if (returned)
		on_store_returned(c, s);
	for (int i = 0; i < RELAY_FEEDS; i++) {
		s->relay.feeds[i]->overdue_only =
			relies_on_relay(c, s, s->relay.feeds[i]);
		s->relay.feeds[i]->suspended =
			must_suspend(c, s, s->relay.feeds[i]);
		feed_step(c, s->relay.feeds[i]);
	}
}
