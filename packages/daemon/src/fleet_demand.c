// A node's demand as one integer per VM kind. Membership sends each change to
// the whole failure domain, so the values are coarse.
#include "fleet_demand.h"

#include "core/settings.h"
#include "daemon/member_mod.h"
#include "daemon/work_mod.h"

enum {
	DEMAND_STEPS_PER_SERVER = 10,
	DEMAND_STEPS_MAX = 0xffff, ///< of one value
	DEMAND_BITS = 16,
};

static enum member_key demand_member_key(enum vm_kind kind)
{
	return kind == VM_ENGINE ? MEMBER_ENGINE_DEMAND : MEMBER_SERVICE_DEMAND;
}

/* Demand in steps, rounded up. */
static int64_t demand_steps(int requests, int64_t per_server)
{
	int64_t steps = (requests * DEMAND_STEPS_PER_SERVER + per_server - 1) /
			per_server;

	return steps < DEMAND_STEPS_MAX ? steps : DEMAND_STEPS_MAX;
}

static void demand_publish(struct core *c, enum vm_kind kind,
			   int64_t per_server)
{
	int non_preemptible, preemptible;

	work_mod_count_requests(c, kind, &non_preemptible, &preemptible);
	member_mod_set(c, demand_member_key(kind),
		       demand_steps(non_preemptible, per_server)
				       << DEMAND_BITS |
			       demand_steps(preemptible, per_server));
}

void fleet_demand_publish(struct core *c)
{
	const struct settings *s = core_settings(c);

	demand_publish(c, VM_ENGINE, settings_int(s, S_FLEET_ENGINE_REQUESTS));
	demand_publish(c, VM_SERVICE,
		       settings_int(s, S_FLEET_SERVICE_REQUESTS));
}

static void demand_add(struct core *c, const char *node, enum vm_kind kind,
		       struct fleet_domain_demand *sum)
{
	int64_t value;

	if (!member_mod_get(c, node, demand_member_key(kind), &value))
		return;
	sum->non_preemptible +=
		(double)(value >> DEMAND_BITS) / DEMAND_STEPS_PER_SERVER;
	sum->preemptible +=
		(double)(value & DEMAND_STEPS_MAX) / DEMAND_STEPS_PER_SERVER;
}

struct fleet_domain_demand fleet_demand_sum(struct core *c, enum vm_kind kind)
{
	struct fleet_domain_demand sum = {0, 0};
	size_t n;
	const struct member_view *m = member_mod_members(c, &n);

	demand_add(c, core_node(c), kind, &sum);
	for (size_t i = 0; i < n; i++)
		demand_add(c, m[i].id, kind, &sum);
	return sum;
}
