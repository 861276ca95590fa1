// Reports to all homes what this node runs at engines, and takes their reports.
//
// Lost reports cost nothing but knowledge: what is not known of other nodes counts
// as nothing, and an engine that is full refuses the excess.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "daemon/job_mod.h"
#include "daemon/mods.h"
#include "daemon/room_mod.h"
#include "daemon/site_mod.h"
#include "room/room_msg.h"

enum {
	ROOM_SERVICES = 8, ///< services of engines
	ROOM_REPORT_MS = 200,
	/// After the begin of a step: nodes that began one at the same moment
	/// learn what each of them took of the free slots.
	ROOM_SOON_MS = 40,
	ROOM_SOON_FOR_MS = 120,
	ROOM_LOOK_MS = 500, ///< between two looks whether reports are wanted
};

struct room_state {
	struct room *room;
	char services[ROOM_SERVICES][SITE_NAME]; ///< that have enough engines
	int n_services; ///< 0: reports are off
	int64_t look_ms; ///< next look
	uint64_t run; ///< of this process
	uint64_t seq; ///< of the last report
	bool empty; ///< the last report said that nothing runs
	int64_t next_ms; ///< next report
	int64_t soon_until_ms; ///< reports come at shorter intervals until then
	struct room_report out; ///< report on its way
	struct room_msg_at at[ROOM_SERVERS]; ///< its servers
	struct room_report in; ///< report that is being read
};

static struct room_state *room_of(const struct core *c)
{
	return core_mod_state(c, MOD_ROOM);
}

static bool is_home(const struct core *c)
{
	return settings_int(core_settings(c), S_LEAD_CANDIDATE) == 1;
}

static bool is_shared(const struct room_state *z, const char *service)
{
	for (int i = 0; i < z->n_services; i++) {
		if (strcmp(z->services[i], service) == 0)
			return true;
	}
	return false;
}

/* Services whose engines are so many that nodes compete for them. */
static void look(struct core *c, struct room_state *z)
{
	const struct site_conf *conf = site_mod_conf(c);
	int64_t from = settings_int(core_settings(c), S_ENGINES_SHARE_FROM);
	int was = z->n_services;

	z->look_ms = core_now(c) + ROOM_LOOK_MS;
	z->n_services = 0;
	/* Steps of a single model are all at one home. */
	if (!conf || !from || !site_mod_model(c, 0) || !site_mod_model(c, 1))
		conf = NULL;
	for (size_t i = 0; conf && i < conf->n_services; i++) {
		const struct site_service *svc = &conf->services[i];

		if (svc->memory_tokens && z->n_services < ROOM_SERVICES &&
		    site_servers_usable(site_mod_servers(c), svc->name) >= from)
			snprintf(z->services[z->n_services++], SITE_NAME, "%s",
				 svc->name);
	}
	if (!was != !z->n_services)
		log_event(EV_ROOM_ACTIVE,
			  "active=%d services=%d share_from=%lld",
			  z->n_services > 0, z->n_services, (long long)from);
}

/* Time that is left to a due time, within what a message holds. */
static int64_t time_left(struct core *c, int64_t due_ms)
{
	int64_t left = due_ms - core_now(c);

	if (left > INT32_MAX)
		return INT32_MAX;
	return left < -INT32_MAX ? -INT32_MAX : left;
}

/* Open steps of this node. */
static void own_steps(struct core *c, const struct room_state *z,
		      struct room_report *rep)
{
	struct job_open open;
	size_t iter = 0;

	rep->n_steps = 0;
	while (job_mod_open(c, &iter, &open)) {
		struct room_step step = {
			.step = open.step > 0 ? open.step : 0,
			.waiting = open.waiting,
			.running = open.running,
			.events_left = open.events_left,
			.min_version = open.min_version,
			.due_in_ms = time_left(c, open.due_ms),
		};

		if (strlen(open.model) >= ROOM_NAME ||
		    !is_shared(z, open.service))
			continue;
		strcpy(step.model, open.model);
		room_report_step(rep, &step);
	}
}

/* Requests of this node at engines. */
static size_t own_servers(struct core *c, struct room_state *z)
{
	const struct site_servers *t = site_mod_servers(c);
	const struct site_server *s;
	size_t iter = 0;
	size_t n = 0;

	while ((s = site_servers_next(t, &iter)) && n < ROOM_SERVERS) {
		if (s->running > 0 && is_shared(z, s->entry.service))
			z->at[n++] =
				(struct room_msg_at){s->entry.id, s->running};
	}
	return n;
}

static void send_all(struct core *c, const msgpack_sbuffer *buf)
{
	size_t n;
	const struct site_node *homes = site_mod_homes(c, &n);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(homes[i].node, core_node(c)) == 0)
			continue;
		/* Dropped or not, the next one follows. */
		if (core_peer_add(c, homes[i].node, homes[i].peer) == ERR_OK &&
		    core_peer_send(c, homes[i].node, PEER_ROOM_REPORT,
				   buf->data, buf->size) == ERR_OK)
			metric_add(M_ROOM_SENT, 1);
		else
			metric_add(M_PEER_DROPPED, 1);
	}
}

static void report(struct core *c, struct room_state *z)
{
	msgpack_sbuffer buf;
	size_t n_at = own_servers(c, z);
	bool soon = core_now(c) < z->soon_until_ms;
	bool empty;

	own_steps(c, z, &z->out);
	z->next_ms = core_now(c) + (soon ? ROOM_SOON_MS : ROOM_REPORT_MS);
	empty = n_at == 0 && z->out.n_steps == 0;
	/* The first empty report frees the slots at the others. */
	if (empty && z->empty)
		return;
	z->empty = empty;
	z->out.run = z->run;
	z->out.seq = ++z->seq;
	z->out.sent_ms = core_now(c);
	msgpack_sbuffer_init(&buf);
	room_report_pack(&buf, &z->out, z->at, n_at);
	send_all(c, &buf);
	msgpack_sbuffer_destroy(&buf);
}

void room_mod_begun(struct core *c)
{
	struct room_state *z = room_of(c);

	if (!z->n_services)
		return;
	z->soon_until_ms = core_now(c) + ROOM_SOON_FOR_MS;
	report(c, z);
}

static htab_handle server_of(void *ctx, const char *id, size_t len)
{
	return site_servers_named(site_mod_servers(ctx), id, len);
}

static void on_report(struct core *c, void *ctx, const char *from,
		      const void *buf, size_t len)
{
	struct room_state *z = ctx;
	int before = room_nodes(z->room);

	if (!z->n_services || !is_home(c))
		return;
	if (room_report_read(buf, len, server_of, c, &z->in) != ERR_OK) {
		metric_add(M_PEER_MALFORMED, 1);
		return;
	}
	if (room_take(z->room, core_now(c), from, &z->in) != ERR_OK) {
		metric_add(M_ROOM_REFUSED, 1);
		return;
	}
	metric_add(M_ROOM_TAKEN, 1);
	if (room_nodes(z->room) > before)
		log_event(EV_ROOM_NODE, "peer=%s servers=%zu models=%zu", from,
			  z->in.n_at, z->in.n_steps);
}

static void add_others(void *ctx, htab_handle server, int delta)
{
	struct site_server *s = site_servers_get(site_mod_servers(ctx), server);

	if (s)
		s->others += delta;
}

bool room_mod_need(struct core *c, const char *model, struct room_need *out)
{
	struct room_state *z = room_of(c);

	if (!z->n_services)
		return false;
	own_steps(c, z, &z->out);
	return room_need(z->room, core_now(c), model, z->out.steps,
			 z->out.n_steps, out);
}

void room_mod_share(struct core *c, const char *model, int64_t begun_ms,
		    struct site_ask *ask)
{
	const struct room_state *z = room_of(c);
	struct room_claims claims;
	size_t homes;

	site_mod_homes(c, &homes);
	if (homes < 2 || !is_shared(z, ask->service))
		return;
	claims = room_claims(z->room, core_now(c), model, begun_ms);
	ask->claims = (struct site_claims){
		.others = claims.others,
		.rank = claims.rank,
		.round = claims.round,
		.min_version = claims.min_version,
	};
}

static void room_tick(struct core *c, void *state, int64_t now_ms)
{
	struct room_state *z = state;
	int lost = room_expire(z->room, now_ms);

	if (lost)
		log_event(EV_ROOM_EXPIRED, "nodes=%d left=%d", lost,
			  room_nodes(z->room));
	if (now_ms >= z->look_ms)
		look(c, z);
	if (z->n_services && now_ms >= z->next_ms)
		report(c, z);
	metric_set(M_ROOM_NODES, (uint64_t)room_nodes(z->room));
}

static void room_stop(struct core *c, void *state)
{
	struct room_state *z = state;

	room_free(z->room);
	free(z);
}

static enum err room_start(struct core *c, void **state)
{
	const struct room_opts opts = {
		.self = core_node(c),
		.add = add_others,
		.ctx = c,
	};
	struct room_state *z = calloc(1, sizeof(*z));

	*state = z;
	if (!z)
		return ERR_NOMEM;
	z->room = room_new(&opts);
	if (!z->room)
		return ERR_NOMEM;
	z->run = (uint64_t)clock_wall_ms();
	z->empty = true;
	return core_peer_on(c, PEER_ROOM_REPORT, on_report, z);
}

const struct core_mod_ops room_mod_ops = {
	.name = "room",
	.start = room_start,
	.tick = room_tick,
	.stop = room_stop,
};
