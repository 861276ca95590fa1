// The table of backend servers in the own failure domain.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "conf/conf.h"
#include "daemon/conf_mod.h"
#include "work_mod_int.h"

enum {
	DOWN_MIN_MS = 500, ///< first pause of a server that takes no connection
	DOWN_MAX_MS = 4000,
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
	struct work_server *v = work_server_find(s, 0);

	if (!v) {
		if (s->n_servers == WORK_SERVERS)
			return NULL;
		v = &s->servers[s->n_servers++];
	}
	*v = (struct work_server){.hash = hash};
	return v;
}

static void server_take(struct work_state *s, const struct fleet_vm *vm)
{
	uint64_t hash = XXH64(vm->id, strlen(vm->id), 0);
	struct work_server *v = work_server_find(s, hash);

	if (!v)
		v = server_add(s, hash);
	if (!v)
		return;
	snprintf(v->id, sizeof(v->id), "%s", vm->id);
	snprintf(v->addr, sizeof(v->addr), "%s", vm->addr);
	v->cheap = vm->cheap;
	v->listed = true;
	v->live = vm->state == VM_LIVE;
	if (!v->pool) {
		v->pool = work_pool_get(s, vm->kind, vm->service);
		if (v->pool)
			route_join(v->pool->route, (int)(v - s->servers), hash);
	}
	if (!v->pool)
		v->live = false;
}

/* Entries of servers that are gone and hold no slot are used again. */
static void server_sweep(struct work_state *s)
{
	for (size_t i = 0; i < s->n_servers; i++) {
		struct work_server *v = &s->servers[i];

		if (!v->hash || v->listed || v->holder.in_use > 0 || v->polling)
			continue;
		if (v->pool)
			route_leave(v->pool->route, (int)i);
		free(v->steward);
		*v = (struct work_server){0};
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
			server_take(s, &vms[i]);
	}
	server_sweep(s);
}

static bool server_domain_in(struct core *c)
{
	const struct conf *conf = conf_mod_current(c);

	return !conf || conf_domain_in(conf, core_domain(c));
}

/* Listed as live, and took the last connection or is due for another try. */
static bool server_usable(const struct work_server *v, int64_t now)
{
	return v->live && now >= v->down_until_ms;
}

void work_server_connected(struct core *c, struct work_server *v, bool ok)
{
	int64_t pause = 2 * v->down_ms;

	if (ok) {
		v->down_ms = 0;
		v->down_until_ms = 0;
		return;
	}
	if (pause < DOWN_MIN_MS)
		pause = DOWN_MIN_MS;
	if (pause > DOWN_MAX_MS)
		pause = DOWN_MAX_MS;
	/* Tries that began together count once. */
	if (core_now(c) < v->down_until_ms)
		return;
	v->down_ms = pause;
	v->down_until_ms = core_now(c) + pause;
}

void work_server_changed(struct core *c, struct work_server *v)
{
	int index = (int)(v - work_state(c)->servers);
	bool open = server_usable(v, core_now(c)) && server_domain_in(c);

	if (v->pool)
		route_server(v->pool->route, index,
			     open ? slot_holder_free(&v->holder, core_now(c))
				  : 0,
			     v->holder.in_use, v->cheap);
}

void work_server_load(struct core *c, struct work_server *v,
		      const struct work_load *load)
{
	int index = (int)(v - work_state(c)->servers);
	struct route_load l = {
		.busy = load->running + load->queued,
		.own = v->holder.in_use,
		.as_of_ms = load->as_of_ms,
	};

	if (load->as_of_ms <= v->load.as_of_ms)
		return;
	if (v->load.as_of_ms > 0 && load->version != v->load.version)
		route_flushed(v->pool->route, index, core_now(c));
	v->load = *load;
	route_report(v->pool->route, index, &l);
}

static void server_count(struct core *c, struct work_state *s)
{
	bool in = server_domain_in(c);

	for (size_t i = 0; i < s->n_pools; i++)
		s->pools[i].n_live = 0;
	for (size_t i = 0; i < s->n_servers; i++) {
		struct work_server *v = &s->servers[i];

		if (v->hash && server_usable(v, core_now(c)) && in)
			v->pool->n_live++;
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
	server_count(c, s);
}
