// Demand of a node, packed into one integer for each VM kind. Membership sends
// each change to the whole failure domain, so the values are coarsely rounded.
#include "fleet_need.h"

#include "core/settings.h"
#include "daemon/member_mod.h"
#include "daemon/work_mod.h"

enum {
	NEED_STEPS = 10, ///< rounding steps per server
	NEED_MAX = 0xffff, ///< largest value, in steps
	NEED_BITS = 16, ///< bits of one value
};

static enum member_key need_key(enum vm_kind kind)
{
	return kind == VM_ENGINE ? MEMBER_USER_1 : MEMBER_USER_2;
}

/* Demand in steps, rounded up. */
static int64_t need_steps(int requests, int64_t per_server)
{
	int64_t steps = (requests * NEED_STEPS + per_server - 1) / per_server;

	return steps < NEED_MAX ? steps : NEED_MAX;
}

static void need_tell(struct core *c, enum vm_kind kind, int64_t per_server)
{
	int steady, cuttable;

	work_mod_count(c, kind, &steady, &cuttable);
	member_mod_set(c, need_key(kind),
		       need_steps(steady, per_server) << NEED_BITS |
			       need_steps(cuttable, per_server));
}

void fleet_need_tell(struct core *c)
{
	const struct settings *s = core_settings(c);

	need_tell(c, VM_ENGINE, settings_int(s, S_FLEET_ENGINE_REQUESTS));
	need_tell(c, VM_SERVICE, settings_int(s, S_FLEET_SERVICE_REQUESTS));
}

static void need_add(struct core *c, const char *node, enum vm_kind kind,
		     struct fleet_need *sum)
{
	int64_t value;

	if (!member_mod_get(c, node, need_key(kind), &value))
		return;
	sum->steady += (double)(value >> NEED_BITS) / NEED_STEPS;
	sum->cuttable += (double)(value & NEED_MAX) / NEED_STEPS;
}

struct fleet_need fleet_need_sum(struct core *c, enum vm_kind kind)
{
	struct fleet_need sum = {0, 0};
	size_t n;
	const struct member_view *m = member_mod_all(c, &n);

	need_add(c, core_node(c), kind, &sum);
	for (size_t i = 0; i < n; i++)
		need_add(c, m[i].id, kind, &sum);
	return sum;
}
