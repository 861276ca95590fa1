// Slots: this node requests permits from the coordinators of its failure domain,
// and grants them for the servers that it is the coordinator of.
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "conf/conf.h"
#include "daemon/conf_mod.h"
#include "daemon/member_mod.h"
#include "work_mod_slot_msg.h"

enum {
	SLOT_POOL_IDLE_MS = 10000, ///< without requests, a pool is idle
	SLOT_SPARE_SLOTS = 1, ///< held at each server of an active pool
	/// Longest duration of a request, without a configuration.
	SLOT_DEFAULT_DRAIN_MS = 120000,
};

// --- choice of a server's coordinator -------------------------------------------

/* Rendezvous hashing over this domain's nodes, except dead or draining ones. */
static const char *slot_coordinator(struct core *c, uint64_t server)
{
	const char *best = core_draining(c) ? NULL : core_node(c);
	uint64_t best_score = best ? XXH64(best, strlen(best), server) : 0;
	size_t n;
	const struct member_view *all = member_mod_members(c, &n);

	for (size_t i = 0; i < n; i++) {
		uint64_t score;

		if (all[i].state == MEMBER_DEAD || all[i].draining ||
		    strcmp(all[i].domain, core_domain(c)) != 0)
			continue;
		score = XXH64(all[i].id, strlen(all[i].id), server);
		if (!best || score > best_score) {
			best = all[i].id;
			best_score = score;
		}
	}
	return best;
}

static int slot_count_heard(struct core *c)
{
	int heard = 1;
	size_t n;
	const struct member_view *all = member_mod_members(c, &n);

	for (size_t i = 0; i < n; i++)
		heard += all[i].state != MEMBER_DEAD &&
			 strcmp(all[i].domain, core_domain(c)) == 0;
	return heard;
}

static int slot_count_listed(struct core *c)
{
	int listed = 0;
	size_t n;
	const struct fleet_vm *vms = fleet_mod_vms(c, &n);

	for (size_t i = 0; i < n; i++)
		listed += vms[i].kind == VM_ENTRY && vms[i].state == VM_LIVE &&
			  strcmp(vms[i].domain, core_domain(c)) == 0;
	return listed;
}

static int64_t slot_conf_int(struct core *c, enum conf_field f,
			     int64_t fallback)
{
	const struct conf *conf = conf_mod_current(c);
	struct conf_scope scope = {.domain = core_domain(c)};

	return conf ? conf_get_int(conf, f, &scope) : fallback;
}

static int64_t slot_drain_ms(struct core *c, const struct work_server *srv)
{
	enum conf_field f = srv->pool->kind == VM_ENGINE ? CF_GENERATE_DEADLINE
							 : CF_CALL_DEADLINE;

	return slot_conf_int(c, f, SLOT_DEFAULT_DRAIN_MS);
}

static void slot_become_coordinator(struct core *c, struct work_server *srv)
{
	struct slot_coordinator_opts o = {
		.limit = {.start = (int)slot_conf_int(c, CF_SLOT_START, 1)},
		.reports = srv->pool->kind == VM_ENGINE,
		.drain_ms = slot_drain_ms(c, srv),
	};

	srv->coordinator = malloc(sizeof(*srv->coordinator));
	if (srv->coordinator)
		slot_coordinator_init(srv->coordinator, &o, core_now(c));
}

/* Start or stop being a server's coordinator; update its quorum and limits. */
static void slot_update_coordinator(struct core *c, struct work_server *srv,
				    int heard, int listed)
{
	const struct conf *conf = conf_mod_current(c);
	const char *coordinator = slot_coordinator(c, srv->hash);
	bool is_coordinator =
		coordinator && strcmp(coordinator, core_node(c)) == 0;
	bool in_service = !conf || conf_domain_enabled(conf, core_domain(c));

	if (!is_coordinator) {
		free(srv->coordinator);
		srv->coordinator = NULL;
		return;
	}
	if (!srv->coordinator)
		slot_become_coordinator(c, srv);
	if (!srv->coordinator)
		return;
	/* It grants nothing yet: the configuration may have come after it. */
	if (core_now(c) - srv->coordinator->started_ms < SLOT_PERMIT_TTL_MS)
		slot_limit_set_start(&srv->coordinator->limit,
				     (int)slot_conf_int(c, CF_SLOT_START, 1));
	srv->coordinator->limit.o.max = (int)slot_conf_int(c, CF_SLOT_MAX, 1);
	slot_coordinator_tick(srv->coordinator, core_now(c));
	slot_coordinator_set_reachable(srv->coordinator, core_now(c), heard,
				       listed);
	slot_coordinator_close(srv->coordinator, !srv->live || !in_service);
}

// --- requesting slots -------------------------------------------------------

/* Slots that this node could use on a server: those in use, its share of the
 * queue twice over, and a spare one; only those in use if the pool is idle. */
static int slot_want(struct core *c, const struct work_server *srv)
{
	const struct work_pool *p = srv->pool;
	size_t waiting = admit_count(p->queue);
	size_t live = p->n_live > 0 ? (size_t)p->n_live : 1;
	bool active = core_now(c) - p->last_request_ms < SLOT_POOL_IDLE_MS &&
		      p->last_request_ms > 0;

	if (!srv->live || !active)
		return srv->holder.in_use;
	return srv->holder.in_use + SLOT_SPARE_SLOTS +
	       (int)((2 * waiting + live - 1) / live);
}

static void slot_grant_local(struct core *c, struct work_server *srv,
			     const struct slot_request *ask)
{
	struct slot_permit p;

	if (srv->coordinator &&
	    slot_coordinator_request(srv->coordinator, core_now(c),
				     work_state(c)->incarnation_hash, ask, &p))
		slot_holder_on_permit(&srv->holder, &p);
	work_server_update_route(c, srv);
}

static void slot_ask_server(struct core *c, struct work_server *srv)
{
	const char *coordinator = slot_coordinator(c, srv->hash);
	struct slot_request ask;
	uint64_t hash;

	if (!coordinator)
		return;
	hash = XXH64(coordinator, strlen(coordinator), 1);
	if (!slot_holder_request(
		    &srv->holder, core_now(c), hash, slot_want(c, srv),
		    (uint32_t)slot_drain_ms(c, srv) + SLOT_PERMIT_TTL_MS, &ask))
		return;
	if (strcmp(coordinator, core_node(c)) == 0)
		slot_grant_local(c, srv, &ask);
	else
		slot_asks_add(c, coordinator, srv->hash, &ask);
}

void work_slot_request(struct core *c)
{
	struct work_state *s = work_state(c);

	for (size_t i = 0; i < s->n_servers; i++) {
		if (s->servers[i].hash && s->servers[i].pool)
			slot_ask_server(c, &s->servers[i]);
	}
	slot_asks_flush(c);
}

void work_slot_tick(struct core *c, int64_t now)
{
	struct work_state *s = work_state(c);
	int heard = slot_count_heard(c);
	int listed = slot_count_listed(c);

	for (size_t i = 0; i < s->n_servers; i++) {
		if (s->servers[i].hash && s->servers[i].pool)
			slot_update_coordinator(c, &s->servers[i], heard,
						listed);
	}
	/* Permits expire without a message. */
	for (size_t i = 0; i < s->n_servers; i++)
		work_server_update_route(c, &s->servers[i]);
	work_slot_request(c);
}

// --- messages ---------------------------------------------------------------

static void slot_on_ask(struct core *c, void *ctx, const char *from,
			const void *buf, size_t len)
{
	struct slot_asks m;
	struct slot_permits out = {.n = 0};
	struct core_peer_run asker = core_peer_sender(c);

	if (!slot_asks_read(buf, len, &m)) {
		log_event(EV_WORK_PEER_BAD, "from=%s message=slot-ask", from);
		return;
	}
	for (size_t i = 0; i < m.n; i++) {
		struct work_server *srv =
			work_server_find(work_state(c), m.items[i].server);
		struct slot_permit_item *it = &out.items[out.n];

		if (!srv || !srv->coordinator || !m.items[i].server ||
		    !slot_coordinator_request(srv->coordinator, core_now(c),
					      m.node, &m.items[i].ask,
					      &it->permit))
			continue;
		it->server = srv->hash;
		it->load = srv->load;
		out.n++;
	}
	if (out.n > 0)
		slot_permits_send(c, &asker, &out);
}

static void slot_on_permit(struct core *c, void *ctx, const char *from,
			   const void *buf, size_t len)
{
	struct work_state *s = work_state(c);
	uint64_t coordinator = XXH64(from, strlen(from), 1);
	struct slot_permits m;

	if (!slot_permits_read(c, buf, len, &m)) {
		log_event(EV_WORK_PEER_BAD, "from=%s message=slot-permit",
			  from);
		return;
	}
	for (size_t i = 0; i < m.n; i++) {
		struct work_server *srv =
			work_server_find(s, m.items[i].server);

		if (!srv || !m.items[i].server ||
		    srv->holder.coordinator != coordinator)
			continue;
		slot_holder_on_permit(&srv->holder, &m.items[i].permit);
		work_server_update_route(c, srv);
		if (m.items[i].load.slots > 0)
			work_server_set_load(c, srv, &m.items[i].load);
	}
	for (size_t i = 0; i < s->n_pools; i++)
		work_pool_dispatch(c, &s->pools[i]);
}

enum err work_slot_start(struct core *c)
{
	enum err e = core_peer_on(c, PEER_SLOT_ASK, slot_on_ask, NULL);

	return e == ERR_OK
		       ? core_peer_on(c, PEER_SLOT_PERMIT, slot_on_permit, NULL)
		       : e;
}
