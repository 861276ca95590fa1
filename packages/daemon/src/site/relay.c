// Requests and responses between relays and their followers.
#include "site/relay.h"

#include <msgpack.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "base/metric.h"
#include "base/table_full.h"
#include "core/settings.h"
#include "site/relay_msg.h"

enum {
	/// A follower calls the store itself after this long without a response.
	RELAY_SILENCE_MAX_MS = 1200,
	RELAY_CONNECT_DELAY_MS = 100, ///< some round trips
	RELAY_FOLLOWER_EXPIRY_MS = 20000, ///< since its last request
};

static void on_relay_request(struct core *c, void *ctx, const char *from,
			     const void *buf, size_t len);
static void on_relay_response(struct core *c, void *ctx, const char *from,
			      const void *buf, size_t len);

enum err relay_init(struct core *c, struct relay *r, struct feed *const *feeds,
		    int64_t hold_ms)
{
	enum err e;

	memset(r, 0, sizeof(*r));
	for (int i = 0; i < RELAY_FEEDS; i++)
		r->feeds[i] = feeds[i];
	r->hold_ms = hold_ms;
	r->is_relay = settings_int(core_settings(c), S_LEAD_CANDIDATE) == 1;
	r->follow.salt = XXH64(core_node(c), strlen(core_node(c)), 0);
	e = core_peer_on(c, PEER_RELAY_ASK, on_relay_request, r);
	return e == ERR_OK ? core_peer_on(c, PEER_RELAY_RESPONSE,
					  on_relay_response, r)
			   : e;
}

void relay_node_changed(struct core *c, struct relay *r, const char *node,
			const char *addr, bool same_domain)
{
	if (!r->is_relay &&
	    !follow_add(&r->follow, core_now(c), node, addr, same_domain))
		table_full("relays", node, FOLLOW_RELAYS_MAX);
}

void relay_node_removed(struct core *c, struct relay *r, const char *node)
{
	follow_del(&r->follow, node);
}

bool relay_following(const struct core *c, const struct relay *r)
{
	return !r->is_relay && r->last_usable_ms &&
	       core_now(c) - r->last_usable_ms < RELAY_SILENCE_MAX_MS;
}

int64_t relay_store_up_since(const struct core *c, const struct relay *r)
{
	return relay_following(c, r) ? r->store_up_since_ms : 0;
}

static void send_response(struct core *c, struct relay *r,
			  const struct relay_follower *follower)
{
	msgpack_sbuffer buf;
	enum err e;

	msgpack_sbuffer_init(&buf);
	relay_response_pack(c, &buf, r, follower);
	e = core_peer_reply(c, &follower->from, PEER_RELAY_RESPONSE, buf.data,
			    buf.size);
	if (e != ERR_OK) {
		metric_add(M_RELAY_UNSENT, 1);
		log_event(EV_RELAY_REPLY_UNSENT, "to=%s bytes=%zu error=%s",
			  follower->from.node, buf.size, err_code(e));
	}
	msgpack_sbuffer_destroy(&buf);
}

/* Each prefix has its own age: one call may hang while others are answered. */
static bool data_too_old(struct core *c, const struct relay *r)
{
	for (int i = 0; i < RELAY_FEEDS; i++) {
		if (feed_age_ms(c, r->feeds[i]) >
		    r->feeds[i]->opts.relay_max_age_ms)
			return true;
	}
	return false;
}

static bool has_changes(const struct relay *r,
			const struct relay_follower *follower)
{
	for (int i = 0; i < RELAY_FEEDS; i++) {
		const struct feed *f = r->feeds[i];

		if (f->listed &&
		    (follower->revs[i] == 0 ||
		     relay_copy_changed(&f->copy, follower->revs[i])))
			return true;
	}
	return false;
}

static void answer_followers(struct core *c, struct relay *r)
{
	for (int i = r->n_followers - 1; i >= 0; i--) {
		struct relay_follower *follower = &r->followers[i];

		if (core_now(c) - follower->arrived_ms >=
		    RELAY_FOLLOWER_EXPIRY_MS) {
			core_peer_del(c, follower->from.node);
			*follower = r->followers[--r->n_followers];
		} else if (follower->pending &&
			   core_now(c) >= follower->not_before_ms &&
			   (core_now(c) >= follower->deadline_ms ||
			    has_changes(r, follower) ||
			    (follower->was_stale && !data_too_old(c, r)))) {
			follower->pending = false;
			send_response(c, r, follower);
		}
	}
}

/* A follower's newer request replaces the older one. The first response waits until
 * the connection to the follower is established. */
static struct relay_follower *follower_slot(struct core *c, struct relay *r,
					    const char *node)
{
	for (int i = 0; i < r->n_followers; i++) {
		if (strcmp(r->followers[i].from.node, node) == 0)
			return &r->followers[i];
	}
	if (r->n_followers == RELAY_FOLLOWERS_MAX)
		return NULL;
	r->followers[r->n_followers].not_before_ms =
		core_now(c) + RELAY_CONNECT_DELAY_MS;
	return &r->followers[r->n_followers++];
}

static void on_relay_request(struct core *c, void *ctx, const char *from,
			     const void *buf, size_t len)
{
	struct relay *r = ctx;
	struct relay_request q;
	struct relay_follower *follower;

	if (relay_request_read(buf, len, &q) != ERR_OK) {
		metric_add(M_PEER_MALFORMED, 1);
		return;
	}
	if (!r->is_relay || core_peer_add(c, from, q.addr) != ERR_OK)
		return;
	follower = follower_slot(c, r, from);
	if (!follower) {
		table_full("followers", from, RELAY_FOLLOWERS_MAX);
		return;
	}
	follower->from = core_peer_sender(c);
	follower->pending = true;
	follower->was_stale = data_too_old(c, r);
	follower->arrived_ms = core_now(c);
	follower->seq = q.seq;
	memcpy(follower->revs, q.revs, sizeof(follower->revs));
	follower->deadline_ms = core_now(c) + r->hold_ms;
	answer_followers(c, r);
}

static bool all_usable(const struct relay *r,
		       const struct relay_prefix_update *prefixes)
{
	for (int i = 0; i < RELAY_FEEDS; i++) {
		if (!prefixes[i].known ||
		    prefixes[i].age_ms > r->feeds[i]->opts.relay_max_age_ms)
			return false;
	}
	return true;
}

static int64_t youngest_age_ms(const struct relay_prefix_update *prefixes)
{
	int64_t age = prefixes[0].age_ms;

	for (int i = 1; i < RELAY_FEEDS; i++)
		age = prefixes[i].age_ms < age ? prefixes[i].age_ms : age;
	return age;
}

static void apply_prefixes(struct core *c, struct relay *r, const char *from,
			   const struct relay_status *status,
			   struct relay_prefix_update *prefixes,
			   int64_t as_of_ms)
{
	/* Set first: the handling of deleted entries depends on it. */
	r->store_up_since_ms =
		status->store_answers ? as_of_ms - status->store_answers_ms : 0;
	r->last_usable_ms = core_now(c);
	kv_note_relay_contact(c, as_of_ms - youngest_age_ms(prefixes));
	for (int i = 0; i < RELAY_FEEDS; i++) {
		prefixes[i].news.from = from;
		prefixes[i].news.after = r->requested_revs[i];
		prefixes[i].news.as_of_ms = as_of_ms - prefixes[i].age_ms;
		feed_apply(c, r->feeds[i], &prefixes[i].news);
	}
}

/* The relay answered no earlier than this: it held the request for held_ms. */
static int64_t relay_as_of(struct core *c, int64_t sent_ms, int64_t held_ms)
{
	int64_t as_of_ms = sent_ms + held_ms;

	return as_of_ms < core_now(c) ? as_of_ms : core_now(c);
}

static void avoid_stale_relay(struct core *c, struct relay *r, const char *from,
			      const struct relay_status *status,
			      const struct relay_prefix_update *prefixes)
{
	log_event(EV_RELAY_STALE,
		  "relay=%s conf_age_ms=%lld servers_age_ms=%lld "
		  "nodes_age_ms=%lld known=%d",
		  from, (long long)prefixes[0].age_ms,
		  (long long)prefixes[1].age_ms, (long long)prefixes[2].age_ms,
		  prefixes[0].known && prefixes[1].known && prefixes[2].known);
	if (!status->store_answers)
		kv_note_relay_down(c);
	follow_stale(&r->follow, core_now(c));
}

static void on_relay_response(struct core *c, void *ctx, const char *from,
			      const void *buf, size_t len)
{
	struct relay *r = ctx;
	struct relay_prefix_update prefixes[RELAY_FEEDS];
	struct arena a;
	struct relay_status status = {0};
	int64_t sent_ms;

	arena_init(&a, 0);
	if (relay_response_read(buf, len, &a, &status, prefixes) != ERR_OK)
		metric_add(M_PEER_MALFORMED, 1);
	else if (follow_response(&r->follow, status.seq, &sent_ms)) {
		if (all_usable(r, prefixes))
			apply_prefixes(c, r, from, &status, prefixes,
				       relay_as_of(c, sent_ms, status.held_ms));
		else
			avoid_stale_relay(c, r, from, &status, prefixes);
	} else {
		core_peer_late_reply(from, PEER_RELAY_RESPONSE);
	}
	arena_free(&a);
	relay_step(c, r);
}

static void send_request(struct core *c, struct relay *r,
			 const struct follow_relay *selected)
{
	struct relay_request q = {.seq = r->follow.seq + 1};
	msgpack_sbuffer buf;
	enum err e;

	snprintf(q.addr, sizeof(q.addr), "%s",
		 settings_str(core_settings(c), S_PEER_LISTEN));
	for (int i = 0; i < RELAY_FEEDS; i++)
		q.revs[i] = feed_known_rev(r->feeds[i]);
	memcpy(r->requested_revs, q.revs, sizeof(q.revs));
	msgpack_sbuffer_init(&buf);
	relay_request_pack(&buf, &q);
	e = core_peer_add(c, selected->node, selected->addr);
	if (e == ERR_OK)
		e = core_peer_send(c, selected->node, PEER_RELAY_ASK, buf.data,
				   buf.size);
	msgpack_sbuffer_destroy(&buf);
	if (e == ERR_OK)
		follow_request_sent(&r->follow, core_now(c));
	else
		follow_unreachable(&r->follow, core_now(c));
}

static void request_step(struct core *c, struct relay *r)
{
	const struct follow_relay *selected;
	bool following = relay_following(c, r);

	if (follow_is_timed_out(&r->follow, core_now(c))) {
		log_event(EV_RELAY_LOST, "relay=%s following=%d",
			  r->follow.current, following);
		core_peer_reset(c, r->follow.current);
		follow_timed_out(&r->follow, core_now(c));
	}
	selected = follow_select(&r->follow, core_now(c));
	if (selected)
		send_request(c, r, selected);
}

void relay_step(struct core *c, struct relay *r)
{
	if (r->is_relay)
		answer_followers(c, r);
	else
		request_step(c, r);
}
