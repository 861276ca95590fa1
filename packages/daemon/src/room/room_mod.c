// Reports this node's requests at engines to the nodes that may run batches, and
// receives their reports.
//
// Lost reports are harmless: unknown requests of other nodes count as none, and a
// full engine rejects the excess.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/table_full.h"
#include "base/metric.h"
#include "core/settings.h"
#include "daemon/job_mod.h"
#include "daemon/mods.h"
#include "daemon/room_mod.h"
#include "daemon/site_mod.h"
#include "room/room_msg.h"

enum {
	ROOM_SERVICES_MAX = 64, ///< services with shared engines
	ROOM_REPORT_MS = 200,
	/// Interval and duration of the reports after the start of a step: nodes
	/// that started one at the same moment learn which free slots are taken.
	ROOM_BURST_INTERVAL_MS = 40,
	ROOM_BURST_MS = 120,
	ROOM_CHECK_MS = 500, ///< between checks whether reports are on
};

struct room_state {
	struct room *room;
	/// Services with engines.
	char services[ROOM_SERVICES_MAX][SITE_NAME_SIZE];
	int n_services; ///< 0: reports are off
	int64_t next_check_ms;
	uint64_t started_ms; ///< wall clock start of this process
	uint64_t seq; ///< of the last report
	bool last_empty; ///< the last report was empty
	int64_t next_report_ms;
	int64_t burst_until_ms; ///< end of reports at the short interval
	struct room_report out; ///< report to send, without its servers
	struct room_msg_server_requests
		servers[ROOM_SERVERS_MAX]; ///< servers of `out`
	struct room_report in;
};

static struct room_state *state_of(const struct core *c)
{
	return core_mod_state(c, MOD_ROOM);
}

static bool is_home(const struct core *c)
{
	return settings_int(core_settings(c), S_LEAD_CANDIDATE) == 1;
}

static bool is_shared(const struct room_state *st, const char *service)
{
	for (int i = 0; i < st->n_services; i++) {
		if (strcmp(st->services[i], service) == 0)
			return true;
	}
	return false;
}

/* Services with engines: nodes compete for these, and the leader wants to know whether
 * samples wait for them. */
static void update_services(struct core *c, struct room_state *st)
{
	const struct site_conf *conf = site_mod_conf(c);
	int old_count = st->n_services;

	st->next_check_ms = core_now(c) + ROOM_CHECK_MS;
	st->n_services = 0;
	for (size_t i = 0; conf && i < conf->n_services; i++) {
		const char *name = conf->services[i].name;

		if (!site_mod_loads_weights(c, name))
			continue;
		if (st->n_services < ROOM_SERVICES_MAX)
			snprintf(st->services[st->n_services++], SITE_NAME_SIZE,
				 "%s", name);
		else
			table_full("shared-services", name, ROOM_SERVICES_MAX);
	}
	if (!old_count != !st->n_services)
		log_event(EV_ENGINE_REPORTS_ACTIVE, "active=%d services=%d",
			  st->n_services > 0, st->n_services);
}

/* Time left until due_ms, limited to the range of the message field. */
static int64_t clamped_time_left(struct core *c, int64_t due_ms)
{
	int64_t left_ms = due_ms - core_now(c);

	if (left_ms > INT32_MAX)
		return INT32_MAX;
	return left_ms < -INT32_MAX ? -INT32_MAX : left_ms;
}

static void collect_own_steps(struct core *c, const struct room_state *st,
			      struct room_report *rep)
{
	struct job_open_batch open;
	size_t iter = 0;

	rep->n_steps = 0;
	while (job_mod_next_open(c, &iter, &open)) {
		struct room_step step = {
			.step = open.step > 0 ? open.step : 0,
			.waiting = open.waiting,
			.running = open.running,
			.events_left = open.events_left,
			.min_version = open.min_version,
			.due_in_ms = clamped_time_left(c, open.due_ms),
		};

		if (strlen(open.model) >= ROOM_NAME_MAX ||
		    !is_shared(st, open.service))
			continue;
		strcpy(step.model, open.model);
		room_report_add_step(rep, &step);
	}
}

/* @return number of servers */
static size_t collect_own_requests(struct core *c, struct room_state *st)
{
	const struct site_servers *t = site_mod_servers(c);
	const struct site_server *s;
	size_t iter = 0;
	size_t n = 0;

	while ((s = site_servers_next(t, &iter)) && n < ROOM_SERVERS_MAX) {
		if (s->running > 0 && is_shared(st, s->entry.service))
			st->servers[n++] = (struct room_msg_server_requests){
				s->entry.id, s->running};
	}
	return n;
}

static void send_to_homes(struct core *c, const msgpack_sbuffer *buf)
{
	size_t n;
	const struct site_node *homes = site_mod_homes(c, &n);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(homes[i].node, core_node(c)) == 0)
			continue;
		/* Not resent if dropped: the next one follows. */
		if (core_peer_add(c, homes[i].node, homes[i].peer) == ERR_OK &&
		    core_peer_send(c, homes[i].node, PEER_ROOM_REPORT,
				   buf->data, buf->size) == ERR_OK)
			metric_add(M_ROOM_SENT, 1);
		else
			metric_add(M_PEER_DROPPED, 1);
	}
}

static void send_request_report(struct core *c, struct room_state *st)
{
	msgpack_sbuffer buf;
	size_t n_servers = collect_own_requests(c, st);
	bool burst = core_now(c) < st->burst_until_ms;
	bool empty;

	collect_own_steps(c, st, &st->out);
	st->next_report_ms =
		core_now(c) + (burst ? ROOM_BURST_INTERVAL_MS : ROOM_REPORT_MS);
	empty = n_servers == 0 && st->out.n_steps == 0;
	/* The first empty report releases the slots at the other nodes. */
	if (empty && st->last_empty)
		return;
	st->last_empty = empty;
	st->out.process_start_ms = st->started_ms;
	st->out.seq = ++st->seq;
	st->out.sent_ms = core_now(c);
	msgpack_sbuffer_init(&buf);
	room_report_pack(&buf, &st->out, st->servers, n_servers);
	send_to_homes(c, &buf);
	msgpack_sbuffer_destroy(&buf);
}

void room_mod_step_begun(struct core *c)
{
	struct room_state *st = state_of(c);

	if (!st->n_services)
		return;
	st->burst_until_ms = core_now(c) + ROOM_BURST_MS;
	send_request_report(c, st);
}

static htab_handle find_server(void *ctx, const char *id, size_t len)
{
	return site_servers_lookup(site_mod_servers(ctx), id, len);
}

static void on_report(struct core *c, void *ctx, const char *from,
		      const void *buf, size_t len)
{
	struct room_state *st = ctx;
	int old_count = room_node_count(st->room);

	if (!st->n_services || !is_home(c))
		return;
	if (room_report_read(buf, len, find_server, c, &st->in) != ERR_OK) {
		metric_add(M_PEER_MALFORMED, 1);
		return;
	}
	if (room_accept_report(st->room, core_now(c), from, &st->in) !=
	    ERR_OK) {
		metric_add(M_ROOM_REFUSED, 1);
		return;
	}
	metric_add(M_ROOM_TAKEN, 1);
	if (room_node_count(st->room) > old_count)
		log_event(EV_ENGINE_REPORTS_NODE,
			  "peer=%s servers=%zu models=%zu", from,
			  st->in.n_servers, st->in.n_steps);
}

static void add_peer_requests(void *ctx, htab_handle server, int delta)
{
	struct site_server *s = site_servers_get(site_mod_servers(ctx), server);

	if (s)
		s->others += delta;
}

bool room_mod_demand(struct core *c, const char *model, struct room_demand *out)
{
	struct room_state *st = state_of(c);

	if (!st->n_services)
		return false;
	collect_own_steps(c, st, &st->out);
	return room_sum_demand(st->room, core_now(c), model, st->out.steps,
			       st->out.n_steps, out);
}

void room_mod_fill_claims(struct core *c, const char *model, int64_t begun_ms,
			  struct site_request *ask)
{
	const struct room_state *st = state_of(c);
	struct room_competitors claims;
	size_t homes;

	site_mod_homes(c, &homes);
	if (homes < 2 || !is_shared(st, ask->service))
		return;
	claims = room_competitors(st->room, core_now(c), model, begun_ms);
	ask->claims = (struct site_claims){
		.others = claims.others,
		.rank = claims.rank,
		.round = claims.round,
		.min_version = claims.min_version,
	};
}

static void room_tick(struct core *c, void *state, int64_t now_ms)
{
	struct room_state *st = state;
	int expired = room_expire(st->room, now_ms);

	if (expired)
		log_event(EV_ENGINE_REPORTS_EXPIRED, "nodes=%d left=%d",
			  expired, room_node_count(st->room));
	if (now_ms >= st->next_check_ms)
		update_services(c, st);
	if (st->n_services && now_ms >= st->next_report_ms)
		send_request_report(c, st);
	metric_set(M_ROOM_NODES, (uint64_t)room_node_count(st->room));
}

static void room_stop(struct core *c, void *state)
{
	struct room_state *st = state;

	room_free(st->room);
	free(st);
}

static enum err room_start(struct core *c, void **state)
{
	const struct room_opts opts = {
		.self = core_node(c),
		.on_change = add_peer_requests,
		.ctx = c,
	};
	struct room_state *st = calloc(1, sizeof(*st));

	*state = st;
	if (!st)
		return ERR_NOMEM;
	st->room = room_new(&opts);
	if (!st->room)
		return ERR_NOMEM;
	st->started_ms = (uint64_t)clock_wall_ms();
	st->last_empty = true;
	return core_peer_on(c, PEER_ROOM_REPORT, on_report, st);
}

const struct core_mod_ops room_mod_ops = {
	.name = "room",
	.start = room_start,
	.tick = room_tick,
	.stop = room_stop,
};
