// Requests and responses between relays and their followers.
#include "site/relay.h"

#include <msgpack.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "site/relay_msg.h"

enum {
	/// A follower calls the store itself after this long without a response.
	RELAY_SILENT_MS = 1200,
	RELAY_CONNECT_MS = 100, ///< some round trips
	RELAY_FORGET_MS = 20000, ///< since a follower's last request
};

static void on_ask(struct core *c, void *ctx, const char *from, const void *buf,
		   size_t len);
static void on_news(struct core *c, void *ctx, const char *from,
		    const void *buf, size_t len);

enum err relay_init(struct core *c, struct relay *r, struct feed *const *feeds,
		    int64_t hold_ms)
{
	enum err e;

	memset(r, 0, sizeof(*r));
	for (int i = 0; i < RELAY_FEEDS; i++)
		r->feeds[i] = feeds[i];
	r->hold_ms = hold_ms;
	r->serves = settings_int(core_settings(c), S_LEAD_CANDIDATE) == 1;
	r->follow.salt = XXH64(core_node(c), strlen(core_node(c)), 0);
	e = core_peer_on(c, PEER_RELAY_ASK, on_ask, r);
	return e == ERR_OK ? core_peer_on(c, PEER_RELAY_NEWS, on_news, r) : e;
}

void relay_node(struct core *c, struct relay *r, const char *node,
		const char *addr, bool near)
{
	if (!r->serves)
		follow_add(&r->follow, core_now(c), node, addr, near);
}

void relay_node_gone(struct core *c, struct relay *r, const char *node)
{
	follow_del(&r->follow, node);
}

bool relay_following(const struct core *c, const struct relay *r)
{
	return !r->serves && r->good_ms &&
	       core_now(c) - r->good_ms < RELAY_SILENT_MS;
}

int64_t relay_store_back(const struct core *c, const struct relay *r)
{
	return relay_following(c, r) ? r->store_back_ms : 0;
}

static void send_news(struct core *c, struct relay *r,
		      const struct relay_ask *ask)
{
	msgpack_sbuffer buf;
	enum err e;

	msgpack_sbuffer_init(&buf);
	relay_news_pack(c, &buf, r, ask);
	e = core_peer_send(c, ask->node, PEER_RELAY_NEWS, buf.data, buf.size);
	if (e != ERR_OK)
		log_event(EV_RELAY_UNSENT, "to=%s bytes=%zu error=%s",
			  ask->node, buf.size, err_code(e));
	msgpack_sbuffer_destroy(&buf);
}

/* Each prefix has its own age: one call may hang while others are answered. */
static bool too_old(struct core *c, const struct relay *r)
{
	for (int i = 0; i < RELAY_FEEDS; i++) {
		if (feed_age(c, r->feeds[i]) > r->feeds[i]->opts.told_ms)
			return true;
	}
	return false;
}

static bool has_news(const struct relay *r, const struct relay_ask *ask)
{
	for (int i = 0; i < RELAY_FEEDS; i++) {
		const struct feed *f = r->feeds[i];

		if (f->listed && (ask->revs[i] == 0 ||
				  relay_copy_news(&f->copy, ask->revs[i])))
			return true;
	}
	return false;
}

static void answer_due(struct core *c, struct relay *r)
{
	for (int i = r->n_asks - 1; i >= 0; i--) {
		struct relay_ask *ask = &r->asks[i];

		if (core_now(c) - ask->asked_ms >= RELAY_FORGET_MS) {
			core_peer_del(c, ask->node);
			*ask = r->asks[--r->n_asks];
		} else if (ask->open && core_now(c) >= ask->not_before_ms &&
			   (core_now(c) >= ask->until_ms || has_news(r, ask) ||
			    (ask->vain && !too_old(c, r)))) {
			ask->open = false;
			send_news(c, r, ask);
		}
	}
}

/* A follower's newer request replaces the older one. The first response waits until
 * the connection to the follower is established. */
static struct relay_ask *ask_slot(struct core *c, struct relay *r,
				  const char *node)
{
	for (int i = 0; i < r->n_asks; i++) {
		if (strcmp(r->asks[i].node, node) == 0)
			return &r->asks[i];
	}
	if (r->n_asks == RELAY_ASKS)
		return NULL;
	r->asks[r->n_asks].not_before_ms = core_now(c) + RELAY_CONNECT_MS;
	return &r->asks[r->n_asks++];
}

static void on_ask(struct core *c, void *ctx, const char *from, const void *buf,
		   size_t len)
{
	struct relay *r = ctx;
	struct relay_question q;
	struct relay_ask *ask;

	if (relay_ask_read(buf, len, &q) != ERR_OK) {
		metric_add(M_PEER_MALFORMED, 1);
		return;
	}
	if (!r->serves || core_peer_add(c, from, q.addr) != ERR_OK)
		return;
	ask = ask_slot(c, r, from);
	if (!ask)
		return;
	snprintf(ask->node, sizeof(ask->node), "%s", from);
	ask->open = true;
	ask->vain = too_old(c, r);
	ask->asked_ms = core_now(c);
	ask->seq = q.seq;
	memcpy(ask->revs, q.revs, sizeof(ask->revs));
	ask->until_ms = core_now(c) + r->hold_ms;
	answer_due(c, r);
}

static bool usable(const struct relay *r, const struct relay_part *parts)
{
	for (int i = 0; i < RELAY_FEEDS; i++) {
		if (!parts[i].known ||
		    parts[i].age_ms > r->feeds[i]->opts.told_ms)
			return false;
	}
	return true;
}

static int64_t youngest(const struct relay_part *parts)
{
	int64_t age = parts[0].age_ms;

	for (int i = 1; i < RELAY_FEEDS; i++)
		age = parts[i].age_ms < age ? parts[i].age_ms : age;
	return age;
}

static void take_parts(struct core *c, struct relay *r, const char *from,
		       const struct relay_word *word, struct relay_part *parts,
		       int64_t told_ms)
{
	/* Set first: the handling of deleted entries depends on it. */
	r->store_back_ms =
		word->store_there ? told_ms - word->store_there_ms : 0;
	r->good_ms = core_now(c);
	kv_told(c, told_ms - youngest(parts));
	for (int i = 0; i < RELAY_FEEDS; i++) {
		parts[i].news.from = from;
		parts[i].news.after = r->asked_revs[i];
		parts[i].news.as_of_ms = told_ms - parts[i].age_ms;
		feed_take(c, r->feeds[i], &parts[i].news);
	}
}

/* The relay answered no earlier than this: it held the request for held_ms. */
static int64_t told_at(struct core *c, int64_t asked_ms, int64_t held_ms)
{
	int64_t told_ms = asked_ms + held_ms;

	return told_ms < core_now(c) ? told_ms : core_now(c);
}

static void leave_stale(struct core *c, struct relay *r, const char *from,
			const struct relay_word *word,
			const struct relay_part *parts)
{
	log_event(EV_RELAY_STALE,
		  "relay=%s conf_age_ms=%lld servers_age_ms=%lld "
		  "nodes_age_ms=%lld known=%d",
		  from, (long long)parts[0].age_ms, (long long)parts[1].age_ms,
		  (long long)parts[2].age_ms,
		  parts[0].known && parts[1].known && parts[2].known);
	if (!word->store_there)
		kv_told_away(c);
	follow_stale(&r->follow, core_now(c));
}

static void on_news(struct core *c, void *ctx, const char *from,
		    const void *buf, size_t len)
{
	struct relay *r = ctx;
	struct relay_part parts[RELAY_FEEDS];
	struct arena a;
	struct relay_word word = {0};
	int64_t asked_ms;

	arena_init(&a, 0);
	if (relay_news_read(buf, len, &a, &word, parts) != ERR_OK)
		metric_add(M_PEER_MALFORMED, 1);
	else if (follow_answered(&r->follow, word.seq, &asked_ms)) {
		if (usable(r, parts))
			take_parts(c, r, from, &word, parts,
				   told_at(c, asked_ms, word.held_ms));
		else
			leave_stale(c, r, from, &word, parts);
	}
	arena_free(&a);
	relay_step(c, r);
}

static void ask_relay(struct core *c, struct relay *r,
		      const struct follow_relay *to)
{
	struct relay_question q = {.seq = r->follow.seq + 1};
	msgpack_sbuffer buf;
	enum err e;

	snprintf(q.addr, sizeof(q.addr), "%s",
		 settings_str(core_settings(c), S_PEER_LISTEN));
	for (int i = 0; i < RELAY_FEEDS; i++)
		q.revs[i] = feed_asks_after(r->feeds[i]);
	memcpy(r->asked_revs, q.revs, sizeof(q.revs));
	msgpack_sbuffer_init(&buf);
	relay_ask_pack(&buf, &q);
	e = core_peer_add(c, to->node, to->addr);
	if (e == ERR_OK)
		e = core_peer_send(c, to->node, PEER_RELAY_ASK, buf.data,
				   buf.size);
	msgpack_sbuffer_destroy(&buf);
	if (e == ERR_OK)
		follow_asked(&r->follow, core_now(c));
	else
		follow_failed(&r->follow, core_now(c));
}

static void follow_step(struct core *c, struct relay *r)
{
	const struct follow_relay *to;
	bool was = relay_following(c, r);

	if (follow_late(&r->follow, core_now(c))) {
		log_event(EV_RELAY_LOST, "relay=%s following=%d",
			  r->follow.current, was);
		core_peer_reset(c, r->follow.current);
		follow_lost(&r->follow, core_now(c));
	}
	to = follow_next(&r->follow, core_now(c));
	if (to)
		ask_relay(c, r, to);
}

void relay_step(struct core *c, struct relay *r)
{
	if (r->serves)
		answer_due(c, r);
	else
		follow_step(c, r);
}
