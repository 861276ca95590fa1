// Table of the backend servers in this failure domain.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "conf/conf.h"
#include "daemon/conf_mod.h"
#include "work_mod_int.h"

enum {
	CONNECT_BACKOFF_MIN_MS = 500, ///< after a failed connection
	CONNECT_BACKOFF_MAX_MS = 4000,
};

struct work_server *work_server_find(struct work_state *s, uint64_t hash)
{
	for (size_t i = 0; i < s->n_servers; i++) {
		if (s->servers[i].hash == hash)
			return &s->servers[i];
	}
	return NULL;
}

static struct work_server *server_add(struct work_state *s, uint64_t hash)
{
	struct work_server *srv = work_server_find(s, 0);

	if (!srv) {
		if (s->n_servers == WORK_SERVERS_MAX)
			return NULL;
		srv = &s->servers[s->n_servers++];
	}
	*srv = (struct work_server){.hash = hash};
	return srv;
}

static void server_upsert(struct work_state *s, const struct fleet_vm *vm)
{
	uint64_t hash = XXH64(vm->id, strlen(vm->id), 0);
	struct work_server *srv = work_server_find(s, hash);

	if (!srv)
		srv = server_add(s, hash);
	if (!srv)
		return;
	snprintf(srv->id, sizeof(srv->id), "%s", vm->id);
	snprintf(srv->addr, sizeof(srv->addr), "%s", vm->addr);
	srv->cheap = vm->cheap;
	srv->listed = true;
	srv->live = vm->state == VM_LIVE;
	if (!srv->pool) {
		srv->pool = work_pool_get(s, vm->kind, vm->service);
		if (srv->pool)
			route_add_server(srv->pool->route,
					 (int)(srv - s->servers), hash);
	}
	if (!srv->pool)
		srv->live = false;
}

/* Free the entries of unlisted servers without a slot in use or a poll. */
static void server_free_unlisted(struct work_state *s)
{
	for (size_t i = 0; i < s->n_servers; i++) {
		struct work_server *srv = &s->servers[i];

		if (!srv->hash || srv->listed || srv->holder.in_use > 0 ||
		    srv->polling)
			continue;
		if (srv->pool)
			route_remove_server(srv->pool->route, (int)i);
		free(srv->coordinator);
		*srv = (struct work_server){0};
	}
}

static void server_rebuild(struct core *c, struct work_state *s)
{
	size_t n;
	const struct fleet_vm *vms = fleet_mod_vms(c, &n);

	for (size_t i = 0; i < s->n_servers; i++) {
		s->servers[i].listed = false;
		s->servers[i].live = false;
	}
	for (size_t i = 0; i < n; i++) {
		if (vms[i].kind != VM_ENTRY &&
		    strcmp(vms[i].domain, core_domain(c)) == 0)
			server_upsert(s, &vms[i]);
	}
	server_free_unlisted(s);
}

static bool server_domain_in_service(struct core *c)
{
	const struct conf *conf = conf_mod_current(c);

	return !conf || conf_domain_enabled(conf, core_domain(c));
}

/* Listed as live, and not in backoff after a failed connection. */
static bool server_usable(const struct work_server *srv, int64_t now)
{
	return srv->live && now >= srv->backoff_until_ms;
}

void work_server_connect_result(struct core *c, struct work_server *srv,
				bool ok)
{
	int64_t backoff_ms = 2 * srv->backoff_ms;

	if (ok) {
		srv->backoff_ms = 0;
		srv->backoff_until_ms = 0;
		return;
	}
	if (backoff_ms < CONNECT_BACKOFF_MIN_MS)
		backoff_ms = CONNECT_BACKOFF_MIN_MS;
	if (backoff_ms > CONNECT_BACKOFF_MAX_MS)
		backoff_ms = CONNECT_BACKOFF_MAX_MS;
	/* Attempts from before the backoff count once. */
	if (core_now(c) < srv->backoff_until_ms)
		return;
	srv->backoff_ms = backoff_ms;
	srv->backoff_until_ms = core_now(c) + backoff_ms;
}

void work_server_update_route(struct core *c, struct work_server *srv)
{
	int index = (int)(srv - work_state(c)->servers);
	bool usable =
		server_usable(srv, core_now(c)) && server_domain_in_service(c);

	if (srv->pool)
		route_set_slots(srv->pool->route, index,
				usable ? slot_holder_available(&srv->holder,
							       core_now(c))
				       : 0,
				srv->holder.in_use, srv->cheap);
}

void work_server_set_load(struct core *c, struct work_server *srv,
			  const struct work_load *load)
{
	int index = (int)(srv - work_state(c)->servers);
	struct route_load l = {
		.busy = load->running + load->queued,
		.own = srv->holder.in_use,
		.as_of_ms = load->as_of_ms,
	};

	if (load->as_of_ms <= srv->load.as_of_ms)
		return;
	if (srv->load.as_of_ms > 0 && load->version != srv->load.version)
		route_cache_flushed(srv->pool->route, index, core_now(c));
	srv->load = *load;
	route_load_report(srv->pool->route, index, &l);
}

static void server_count_usable(struct core *c, struct work_state *s)
{
	bool in_service = server_domain_in_service(c);

	for (size_t i = 0; i < s->n_pools; i++)
		s->pools[i].n_live = 0;
	for (size_t i = 0; i < s->n_servers; i++) {
		struct work_server *srv = &s->servers[i];

		if (srv->hash && server_usable(srv, core_now(c)) && in_service)
			srv->pool->n_live++;
	}
}

void work_server_sync(struct core *c)
{
	struct work_state *s = work_state(c);
	uint64_t gen = fleet_mod_gen(c);

	if (gen != s->fleet_gen) {
		s->fleet_gen = gen;
		server_rebuild(c, s);
	}
	server_count_usable(c, s);
}
