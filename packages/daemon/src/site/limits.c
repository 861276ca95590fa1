// Asks homes for permits of servers with a limit, grants them, passes limits on.
#include "site/limits.h"

#include <math.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "site/limit_msg.h"

enum {
	ASK_TIMEOUT_MS = 100, ///< some round trips between failure domains
	HOME_AVOID_MS = 500, ///< a home that did not answer
	NO_HOME_WAIT_MS = 300, ///< until homes are asked again if none answered
	/// Ends of limits are passed on for this long: nodes say hello more often.
	END_TOLD_MS = 10000,
};

/// Share by which a limit changes for a line in the log.
static const double LOGGED_CHANGE = 0.25;

/* A node's view of a server's limit, as an entry of a message. */
static struct limit_msg_entry entry_of(struct core *c,
				       const struct site_server *srv)
{
	int64_t age_ms = core_now(c) - srv->limit.named_ms;

	return (struct limit_msg_entry){
		.server = srv->entry.id,
		.started_ms = (uint64_t)srv->entry.started_ms,
		.per_s = srv->limit.per_s,
		.age_ms = age_ms < INT32_MAX ? age_ms : INT32_MAX,
	};
}

static enum err send_list(struct core *c, const char *node,
			  enum core_peer_msg type,
			  const struct limit_msg_entry *list, size_t n)
{
	msgpack_sbuffer buf;
	enum err e;

	msgpack_sbuffer_init(&buf);
	limit_msg_pack(&buf, list, n);
	e = core_peer_send(c, node, type, buf.data, buf.size);
	if (e != ERR_OK)
		metric_add(M_PEER_DROPPED, 1);
	msgpack_sbuffer_destroy(&buf);
	return e;
}

static void send_reply(struct core *c, const struct limit_msg_entry *reply)
{
	struct core_peer_run to = core_peer_sender(c);
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	limit_msg_pack(&buf, reply, 1);
	if (core_peer_reply(c, &to, PEER_LIMIT_REPLY, buf.data, buf.size) !=
	    ERR_OK)
		metric_add(M_PEER_DROPPED, 1);
	msgpack_sbuffer_destroy(&buf);
}

static void record(struct core *c, struct site_server *srv, double per_s,
		   int64_t named_ms, const char *from)
{
	double old = srv->limit.per_s;

	if (!site_servers_observe_limit(site_mod_servers(c), srv->self, per_s,
					named_ms))
		return;
	/* A limit may change a little with each answer. */
	if (old > 0 && per_s > 0 && fabs(per_s - old) < old * LOGGED_CHANGE)
		return;
	metric_add(M_SERVERS_LIMITED, 1);
	log_event(EV_SITE_SERVER_LIMIT,
		  "id=%s service=%s per_s=%.3f from=%s age_ms=%lld",
		  srv->entry.id, srv->entry.service, per_s, from,
		  (long long)(core_now(c) - named_ms));
}

void limits_observe(struct core *c, struct site_server *srv, double per_s)
{
	const struct site *s = site_of(c);
	bool had_limit = srv->limit.per_s > 0;
	struct limit_msg_entry e;

	record(c, srv, per_s, core_now(c), "answer");
	if (had_limit == (srv->limit.per_s > 0))
		return;
	e = entry_of(c, srv);
	for (size_t i = 0; i < s->n_homes; i++) {
		if (strcmp(s->homes[i].node, core_node(c)) != 0)
			send_list(c, s->homes[i].node, PEER_LIMIT_STATE, &e, 1);
	}
}

void limits_send_state(struct core *c, const char *node)
{
	struct limit_msg_entry list[LIMIT_MSG_ENTRIES_MAX];
	struct site_server *srv;
	size_t n = 0;
	int iter = 0;

	while ((srv = site_servers_next_limited(site_mod_servers(c), &iter))) {
		list[n] = entry_of(c, srv);
		n += list[n].per_s > 0 || list[n].age_ms < END_TOLD_MS;
		if (n < LIMIT_MSG_ENTRIES_MAX)
			continue;
		send_list(c, node, PEER_LIMIT_STATE, list, n);
		n = 0;
	}
	if (n)
		send_list(c, node, PEER_LIMIT_STATE, list, n);
}

/* Server of an entry, with the newer of both views of its limit; NULL if unknown. */
static struct site_server *merge_entry(struct core *c, const char *from,
				       const struct limit_msg_entry *e)
{
	struct site_servers *t = site_mod_servers(c);
	struct site_server *srv = site_servers_get(
		t, site_servers_lookup(t, e->server, strlen(e->server)));

	if (!srv || (uint64_t)srv->entry.started_ms != e->started_ms)
		return NULL;
	record(c, srv, e->per_s, core_now(c) - e->age_ms, from);
	return srv;
}

/* Permits that this node grants; none if it is no home or the server has no limit. */
static struct site_grant grant(struct core *c, struct site_server *srv,
			       int count)
{
	struct site *s = site_of(c);
	const struct limit_homes *now = &s->homes_now;
	const struct limit_homes *before = &s->homes_before;
	int rank =
		site_limit_rank(srv->entry.id, now->list, now->n, core_node(c));
	bool settled =
		core_now(c) - s->homes_changed_ms >= SITE_LIMIT_SETTLE_MS ||
		site_limit_rank(srv->entry.id, before->list, before->n,
				core_node(c)) == 0;
	double share = site_limit_share(rank, now->n, settled);

	if (share <= 0 || srv->limit.per_s <= 0)
		return (struct site_grant){.wait_ms = NO_HOME_WAIT_MS};
	return site_limit_grant(&srv->limit, share, count, core_now(c));
}

static void apply_grant(struct core *c, struct site_server *srv,
			const struct site_grant *g)
{
	site_limit_granted(&srv->limit, g, core_now(c));
	metric_add(g->n ? M_PERMITS_GRANTED : M_PERMITS_REFUSED,
		   g->n ? (uint64_t)g->n : 1);
}

/* The home of a rank from srv->limit.rank on that may be asked, NULL for none. */
static struct site_node *next_home(struct core *c, struct site_server *srv)
{
	struct site *s = site_of(c);

	for (; srv->limit.rank < SITE_LIMIT_GRANTORS; srv->limit.rank++) {
		for (size_t i = 0; i < s->n_homes; i++) {
			struct site_node *home = &s->homes[i];

			if (core_now(c) >= home->avoid_until_ms &&
			    site_limit_rank(srv->entry.id, s->homes_now.list,
					    s->homes_now.n,
					    home->node) == srv->limit.rank)
				return home;
		}
	}
	return NULL;
}

/* Ask the home of srv->limit.rank, or the next one that can be asked. */
static void ask(struct core *c, struct site_server *srv)
{
	struct limit_msg_entry e = entry_of(c, srv);
	struct site_grant g = {.wait_ms = NO_HOME_WAIT_MS};
	struct site_node *home;

	e.count = (uint64_t)srv->limit.wanted;
	metric_add(M_PERMITS_ASKED, 1);
	while ((home = next_home(c, srv))) {
		if (strcmp(home->node, core_node(c)) == 0) {
			g = grant(c, srv, srv->limit.wanted);
			break;
		}
		if (core_peer_add(c, home->node, home->peer) == ERR_OK &&
		    send_list(c, home->node, PEER_LIMIT_ASK, &e, 1) == ERR_OK) {
			srv->limit.asked_ms = core_now(c);
			return;
		}
		srv->limit.rank++;
	}
	apply_grant(c, srv, &g);
}

static void ask_next_home(struct core *c, struct site_server *srv)
{
	struct site_node *home = next_home(c, srv);

	metric_add(M_PERMITS_UNANSWERED, 1);
	if (home)
		home->avoid_until_ms = core_now(c) + HOME_AVOID_MS;
	srv->limit.asked_ms = 0;
	srv->limit.rank++;
	ask(c, srv);
}

void site_mod_ask_permits(struct core *c)
{
	struct site_server *srv;
	int iter = 0;

	while ((srv = site_servers_next_limited(site_mod_servers(c), &iter))) {
		if (!site_limit_should_ask(&srv->limit, core_now(c)))
			continue;
		srv->limit.rank = 0;
		ask(c, srv);
	}
}

static void update_homes(struct core *c, struct site *s)
{
	struct limit_homes *now = &s->homes_now;
	bool same = now->n == s->n_homes;

	for (size_t i = 0; same && i < now->n; i++)
		same = strcmp(now->ids[i], s->homes[i].node) == 0;
	if (same)
		return;
	if (core_now(c) - s->homes_changed_ms >= SITE_LIMIT_SETTLE_MS) {
		s->homes_before = *now;
		for (size_t i = 0; i < now->n; i++)
			s->homes_before.list[i] = s->homes_before.ids[i];
	}
	s->homes_changed_ms = core_now(c);
	now->n = s->n_homes;
	for (size_t i = 0; i < now->n; i++) {
		memcpy(now->ids[i], s->homes[i].node, sizeof(now->ids[i]));
		now->list[i] = now->ids[i];
	}
}

void limits_step(struct core *c, struct site *s)
{
	struct site_server *srv;
	int iter = 0;

	update_homes(c, s);
	while ((srv = site_servers_next_limited(s->servers, &iter))) {
		if (srv->limit.asked_ms &&
		    core_now(c) - srv->limit.asked_ms >= ASK_TIMEOUT_MS)
			ask_next_home(c, srv);
	}
	site_mod_ask_permits(c);
}

static void on_ask(struct core *c, const char *from,
		   const struct limit_msg_entry *e)
{
	struct site_server *srv = merge_entry(c, from, e);
	struct limit_msg_entry reply = *e;
	struct site_grant g = {.wait_ms = NO_HOME_WAIT_MS};
	int count = e->count < SITE_LIMIT_COUNT_MAX ? (int)e->count
						    : SITE_LIMIT_COUNT_MAX;

	if (srv) {
		g = grant(c, srv, count);
		reply = entry_of(c, srv);
	}
	reply.count = (uint64_t)g.n;
	reply.wait_ms = g.wait_ms;
	reply.interval_ms = g.interval_ms;
	send_reply(c, &reply);
}

static bool is_asked(struct core *c, const struct site_server *srv,
		     const char *node)
{
	const struct limit_homes *homes = &site_of(c)->homes_now;

	return site_limit_rank(srv->entry.id, homes->list, homes->n, node) ==
	       srv->limit.rank;
}

static void on_reply(struct core *c, const char *from,
		     const struct limit_msg_entry *e)
{
	struct site_server *srv = merge_entry(c, from, e);
	struct site_grant g = {
		.n = e->count < SITE_LIMIT_COUNT_MAX ? (int)e->count
						     : SITE_LIMIT_COUNT_MAX,
		.wait_ms = e->wait_ms,
		.interval_ms = e->interval_ms,
	};

	/* Another home has been asked since, and may have granted permits. */
	if (srv && srv->limit.asked_ms && is_asked(c, srv, from))
		apply_grant(c, srv, &g);
	else
		core_peer_late_reply(from, PEER_LIMIT_REPLY);
}

static void on_state(struct core *c, const char *from,
		     const struct limit_msg_entry *e)
{
	merge_entry(c, from, e);
}

static void on_message(struct core *c, void *ctx, const char *from,
		       const void *buf, size_t len)
{
	void (*const *handle)(struct core *, const char *,
			      const struct limit_msg_entry *) = ctx;
	struct limit_msg_entry list[LIMIT_MSG_ENTRIES_MAX];
	struct arena a;
	size_t n;

	arena_init(&a, 0);
	if (limit_msg_read(buf, len, &a, list, &n) != ERR_OK) {
		metric_add(M_PEER_MALFORMED, 1);
		n = 0;
	}
	for (size_t i = 0; i < n; i++)
		(*handle)(c, from, &list[i]);
	arena_free(&a);
}

enum err limits_start(struct core *c)
{
	static void (*const handlers[])(struct core *, const char *,
					const struct limit_msg_entry *) = {
		on_ask, on_reply, on_state};
	static const enum core_peer_msg types[] = {
		PEER_LIMIT_ASK, PEER_LIMIT_REPLY, PEER_LIMIT_STATE};
	enum err e = ERR_OK;

	for (int i = 0; i < 3 && e == ERR_OK; i++)
		e = core_peer_on(c, types[i], on_message, (void *)&handlers[i]);
	return e;
}
