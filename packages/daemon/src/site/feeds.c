// When this node calls the store itself, and when it relies on a relay.
#include "site/site.h"

enum {
	/// A starting node first lists the nodes to find its relays. It lists the
	/// other prefixes itself only if no relay sends them within this time.
	RELAY_WAIT_MS = 1500,
	/// A relay that lost the store too probes it every 250 ms, and is asked again
	/// every 300 ms.
	RETURN_RELAY_MS = 600,
};

/* Load pattern: all nodes start at once. Their lists of the same keys are then most
 * of the store's load. */
static bool quiet(struct core *c, const struct site *s, const struct feed *f)
{
	bool early = core_now(c) - s->start_ms < RELAY_WAIT_MS;

	return relay_following(c, &s->relay) ||
	       (early && !s->relay.serves && f != &s->nodes);
}

/* Load pattern: during and after an outage of the store, hundreds of nodes have
 * overdue data. One call of each shows whether it can reach the store; if not, its
 * probes detect when it can, and a relay then sends it the changes. */
static bool hush(struct core *c, const struct site *s, const struct feed *f)
{
	if (s->relay.serves || !s->relay.follow.n)
		return false;
	if (core_now(c) < s->leave_to_relay_ms ||
	    (kv_vain_since(c) && !kv_reached_since(c)))
		return true;
	for (int i = 0; i < RELAY_FEEDS; i++) {
		if (s->relay.feeds[i] != f && feed_is_urgent(s->relay.feeds[i]))
			return true;
	}
	return false;
}

/* Another call reached the store: confirm the data now, as callers are refused until
 * then. */
static void store_returned(struct core *c, struct site *s)
{
	if (!s->relay.serves && s->relay.follow.n) {
		s->leave_to_relay_ms = core_now(c) + RETURN_RELAY_MS;
		return;
	}
	for (int i = 0; i < RELAY_FEEDS; i++)
		feed_renew(s->relay.feeds[i]);
}

void site_feeds_step(struct core *c, struct site *s)
{
	int64_t back = kv_back_since(c);
	int64_t reached = kv_reached_since(c);
	bool returned = (back && back != s->back_ms) ||
			(reached && reached != s->reached_ms);

	s->back_ms = back;
	s->reached_ms = reached;
	if (returned)
		store_returned(c, s);
	for (int i = 0; i < RELAY_FEEDS; i++) {
		s->relay.feeds[i]->quiet = quiet(c, s, s->relay.feeds[i]);
		s->relay.feeds[i]->hush = hush(c, s, s->relay.feeds[i]);
		feed_step(c, s->relay.feeds[i]);
	}
}
