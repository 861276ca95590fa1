// Every node tracks the demand; only the holder of the duty sends orders.
#include "fleet_plan.h"

#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "core/settings.h"
#include "daemon/duty_mod.h"
#include "fleet_demand.h"

enum {
	PERCENT = 100,
};

bool plan_in_group(const struct core *c, const struct plan_group *g,
		   const struct fleet_vm *vm)
{
	return vm->kind == g->kind && strcmp(vm->service, g->service) == 0 &&
	       strcmp(vm->domain, core_domain(c)) == 0;
}

static void plan_group_add(struct core *c, struct plan *p, enum vm_kind kind,
			   const char *service)
{
	const struct settings *s = core_settings(c);
	bool engine = kind == VM_ENGINE;
	struct plan_group *g = &p->groups[p->n_groups];
	const struct fleet_opts opts = {
		.target = (double)settings_int(s, S_FLEET_TARGET) / PERCENT,
		.lead_ms = settings_int(s, S_FLEET_LEAD),
		.hold_ms = settings_int(s, S_FLEET_HOLD),
		.penalty_ms = settings_int(s, S_FLEET_PENALTY),
		.min = (int)settings_int(s, engine ? S_FLEET_MIN_ENGINES
						   : S_FLEET_MIN_SERVICES),
		.max = (int)settings_int(s, engine ? S_FLEET_MAX_ENGINES
						   : S_FLEET_MAX_SERVICES),
	};

	if (p->n_groups == PLAN_GROUPS_MAX)
		return;
	*g = (struct plan_group){.kind = kind};
	snprintf(g->service, sizeof(g->service), "%s", service);
	fleet_init(&g->fleet, &opts);
	p->n_groups++;
}

/* Adds a group for engines and one for each service that has a server. */
static void plan_add_groups(struct core *c, struct plan *p)
{
	if (p->n_groups == 0)
		plan_group_add(c, p, VM_ENGINE, "");
	for (size_t i = 0; i < p->list->n; i++) {
		const struct fleet_vm *vm = &p->list->vms[i];
		bool known = vm->kind != VM_SERVICE ||
			     strcmp(vm->domain, core_domain(c)) != 0;

		for (int g = 0; g < p->n_groups; g++)
			known |= plan_in_group(c, &p->groups[g], vm);
		if (!known)
			plan_group_add(c, p, VM_SERVICE, vm->service);
	}
}

/* Removes answered entries that expired or whose server is listed. */
static void plan_remove_finished(struct plan *p, int64_t now_ms)
{
	for (int i = p->n_pending; i-- > 0;) {
		const struct plan_pending *e = &p->pending[i];
		bool listed = e->start && *e->server &&
			      fleet_list_find(p->list, e->server);

		if (e->answered && (listed || now_ms >= e->expires_ms))
			p->pending[i] = p->pending[--p->n_pending];
	}
}

static void plan_count_listed(struct core *c, const struct plan *p,
			      const struct plan_group *g,
			      struct fleet_input *in)
{
	for (size_t i = 0; i < p->list->n; i++) {
		const struct fleet_vm *vm = &p->list->vms[i];

		if (vm->state == VM_LEAVING || !plan_in_group(c, g, vm))
			continue;
		in->regular += !vm->cheap;
		in->cheap += vm->cheap;
		in->starting += vm->state == VM_STARTING;
	}
}

static void plan_count_pending(const struct plan *p, int group,
			       struct fleet_input *in)
{
	for (int i = 0; i < p->n_pending; i++) {
		const struct plan_pending *e = &p->pending[i];

		if (e->group != group || !e->start)
			continue;
		in->regular += !e->cheap;
		in->cheap += e->cheap;
		in->starting++;
	}
}

/* Fewer cheap servers than we left running: the platform reclaimed some. */
static void plan_detect_reclaimed(struct core *c, struct plan_group *g,
				  int cheap)
{
	int reclaimed = g->cheap_listed - g->cheap_stopped - cheap;

	g->cheap_listed = cheap;
	g->cheap_stopped = 0;
	if (reclaimed <= 0)
		return;
	log_event(EV_FLEET_CHEAP_LOST, "service=%s servers=%d", g->service,
		  reclaimed);
	fleet_cheap_lost(&g->fleet, core_now(c));
}

/* A service gets a share of all services' demand, by its servers. */
static void plan_set_demand(struct core *c, const struct plan *p,
			    const struct plan_group *g, struct fleet_input *in)
{
	struct fleet_domain_demand demand = fleet_demand_sum(c, g->kind);
	double share = 1;
	int n_servers = 0;

	for (size_t i = 0; i < p->list->n; i++) {
		const struct fleet_vm *vm = &p->list->vms[i];

		n_servers += vm->kind == g->kind && vm->state != VM_LEAVING &&
			     strcmp(vm->domain, core_domain(c)) == 0;
	}
	if (g->kind == VM_SERVICE && n_servers > 0)
		share = (double)(in->regular + in->cheap) / n_servers;
	in->steady = demand.non_preemptible * share;
	in->preemptible = demand.preemptible * share;
}

static bool plan_has_unanswered(const struct plan *p, int group)
{
	for (int i = 0; i < p->n_pending; i++) {
		if (p->pending[i].group == group && !p->pending[i].answered)
			return true;
	}
	return false;
}

/* The list must be newer than the orders of earlier holders. */
static bool plan_may_order(struct core *c, const struct plan *p)
{
	int64_t since = duty_mod_held_since(c, p->duty);

	return since > 0 && p->list->as_of_ms > since;
}

static void plan_step(struct core *c, struct plan *p, int group)
{
	const struct settings *s = core_settings(c);
	struct plan_group *g = &p->groups[group];
	struct fleet_input in = {
		.cheap_price = (double)settings_int(s, S_FLEET_CHEAP) / PERCENT,
	};
	struct fleet_plan change;

	plan_count_listed(c, p, g, &in);
	plan_detect_reclaimed(c, g, in.cheap);
	plan_set_demand(c, p, g, &in);
	plan_count_pending(p, group, &in);
	change = fleet_step(&g->fleet, core_now(c), &in);
	if (plan_has_unanswered(p, group) || !plan_may_order(c, p))
		return;
	plan_order_change(c, p, group, false, change.regular);
	plan_order_change(c, p, group, true, change.cheap);
}

void plan_tick(struct core *c, struct plan *p, int64_t now_ms)
{
	const struct settings *s = core_settings(c);

	if (!settings_int(s, S_FLEET_ORDER) || now_ms < p->next_step_ms)
		return;
	p->next_step_ms = now_ms + settings_int(s, S_FLEET_STEP);
	if (!*p->duty)
		snprintf(p->duty, sizeof(p->duty), "fleet/%s", core_domain(c));
	duty_mod_campaign(c, p->duty);
	fleet_demand_publish(c);
	plan_add_groups(c, p);
	plan_remove_finished(p, now_ms);
	for (int g = 0; g < p->n_groups; g++)
		plan_step(c, p, g);
}
