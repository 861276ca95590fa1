// Chooses the backend server or peer node for an attempt.
#include <string.h>
#include <xxhash.h>

#include "conf/conf.h"
#include "daemon/conf_mod.h"
#include "daemon/member_mod.h"
#include "work_mod_int.h"

static bool pick_domain_in_service(struct core *c, const char *domain)
{
	const struct conf *conf = conf_mod_current(c);

	return !conf || conf_domain_enabled(conf, domain);
}

static bool pick_vm_serves(const struct fleet_vm *vm, const struct work *w)
{
	if (vm->state != VM_LIVE || vm->kind != w->opts.kind)
		return false;
	if (vm->cheap && !w->opts.preemptible)
		return false;
	return vm->kind != VM_SERVICE ||
	       strcmp(vm->service, w->opts.service) == 0;
}

struct work_server *work_pick_server(struct core *c, const struct work *w)
{
	struct work_state *s = work_state(c);
	const struct work_server *avoid = NULL;
	struct route_request ask = {
		.prefix = w->opts.prefix,
		.avoid = ROUTE_NONE,
		.preemptible = w->opts.preemptible,
	};
	int i;

	if (*w->avoid)
		avoid = work_server_find(s,
					 XXH64(w->avoid, strlen(w->avoid), 0));
	if (avoid)
		ask.avoid = (int)(avoid - s->servers);
	while ((i = route_choose(w->pool->route, &s->rng, core_now(c), &ask)) !=
	       ROUTE_NONE) {
		struct work_server *srv = &s->servers[i];

		if (slot_holder_available(&srv->holder, core_now(c)) > 0)
			return srv;
		work_server_update_route(c, srv); /* its permit expired */
	}
	return NULL;
}

static bool pick_domain_serves(struct core *c, const char *domain,
			       const struct work *w)
{
	size_t n;
	const struct fleet_vm *vms = fleet_mod_vms(c, &n);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(vms[i].domain, domain) == 0 &&
		    pick_vm_serves(&vms[i], w))
			return true;
	}
	return false;
}

const char *work_pick_peer(struct core *c, const struct work *w)
{
	const char *best = NULL;
	uint64_t seen = 0;
	size_t n;
	const struct member_view *all = member_mod_members(c, &n);

	for (size_t i = 0; i < n; i++) {
		const struct member_view *m = &all[i];

		if (m->state != MEMBER_ALIVE || m->draining ||
		    strcmp(m->domain, core_domain(c)) == 0)
			continue;
		if (strcmp(m->id, w->avoid) == 0 ||
		    !pick_domain_in_service(c, m->domain) ||
		    !pick_domain_serves(c, m->domain, w))
			continue;
		if (w->spilled && !work_spill_allowed(c, m->domain))
			continue;
		if (rng_below(&work_state(c)->rng, ++seen) == 0)
			best = m->id;
	}
	return best;
}
