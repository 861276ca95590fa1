// Chooses where an attempt goes.
#include <string.h>

#include "conf/conf.h"
#include "daemon/conf_mod.h"
#include "daemon/member_mod.h"
#include "work_mod_int.h"

static bool pick_domain_in(struct core *c, const char *domain)
{
	const struct conf *conf = conf_mod_current(c);

	return !conf || conf_domain_in(conf, domain);
}

static bool pick_serves(const struct fleet_vm *vm, const struct work *w)
{
	if (vm->state != VM_LIVE || vm->kind != w->o.kind)
		return false;
	if (vm->cheap && !w->o.may_cut)
		return false;
	return vm->kind != VM_SERVICE || strcmp(vm->service, w->o.service) == 0;
}

const struct fleet_vm *work_pick_server(struct core *c, const struct work *w)
{
	const struct fleet_vm *best = NULL;
	const char *domain = core_domain(c);
	uint64_t seen = 0;
	size_t n;
	const struct fleet_vm *vms = fleet_mod_vms(c, &n);

	if (!pick_domain_in(c, domain))
		return NULL;
	for (size_t i = 0; i < n; i++) {
		const struct fleet_vm *vm = &vms[i];
		bool avoided = strcmp(vm->id, w->avoid) == 0;

		if (strcmp(vm->domain, domain) != 0 || !pick_serves(vm, w))
			continue;
		if (avoided && best)
			continue;
		if (!best || strcmp(best->id, w->avoid) == 0 ||
		    rng_below(&work_state(c)->rng, seen + 1) == 0)
			best = vm;
		seen += !avoided;
	}
	return best;
}

static bool pick_domain_serves(struct core *c, const char *domain,
			       const struct work *w)
{
	size_t n;
	const struct fleet_vm *vms = fleet_mod_vms(c, &n);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(vms[i].domain, domain) == 0 &&
		    pick_serves(&vms[i], w))
			return true;
	}
	return false;
}

const char *work_pick_peer(struct core *c, const struct work *w)
{
	const char *best = NULL;
	uint64_t seen = 0;
	size_t n;
	const struct member_view *all = member_mod_all(c, &n);

	for (size_t i = 0; i < n; i++) {
		const struct member_view *m = &all[i];

		if (m->state != MEMBER_ALIVE || m->draining ||
		    strcmp(m->domain, core_domain(c)) == 0)
			continue;
		if (strcmp(m->id, w->avoid) == 0 ||
		    !pick_domain_in(c, m->domain) ||
		    !pick_domain_serves(c, m->domain, w))
			continue;
		if (rng_below(&work_state(c)->rng, ++seen) == 0)
			best = m->id;
	}
	return best;
}
