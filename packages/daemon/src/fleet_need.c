// A node's demand as one small integer for each kind, in tenths of a server.
#include "fleet_need.h"

#include <math.h>

#include "daemon/member_mod.h"

enum {
	NEED_STEPS = 10, ///< in a server
	NEED_MAX = 0xffff, ///< steps
	NEED_BITS = 16,
};

static enum member_key need_key(enum vm_kind kind)
{
	return kind == VM_ENGINE ? MEMBER_USER_1 : MEMBER_USER_2;
}

static int64_t need_steps(double servers)
{
	return (int64_t)fmin(NEED_MAX, ceil(fmax(0, servers) * NEED_STEPS));
}

void fleet_mod_need(struct core *c, const struct fleet_need *need)
{
	int64_t value = need_steps(need->steady) << NEED_BITS |
			need_steps(need->cuttable);

	member_mod_set(c, need_key(need->kind), value);
}

static void need_add(struct core *c, const char *node, struct fleet_need *sum)
{
	int64_t value;

	if (!member_mod_get(c, node, need_key(sum->kind), &value))
		return;
	sum->steady += (double)(value >> NEED_BITS) / NEED_STEPS;
	sum->cuttable += (double)(value & NEED_MAX) / NEED_STEPS;
}

void fleet_need_sum(struct core *c, struct fleet_need *need)
{
	size_t n;
	const struct member_view *m = member_mod_all(c, &n);

	need->steady = 0;
	need->cuttable = 0;
	need_add(c, core_node(c), need);
	for (size_t i = 0; i < n; i++)
		need_add(c, m[i].id, need);
}
