// Module rollout.
#include "daemon/rollout_mod.h"

#include "daemon/mods.h"

static enum err rollout_start(struct core *c, void **state)
{
	*state = NULL;
	return ERR_OK;
}

const struct core_mod_ops rollout_mod_ops = {
	.name = "rollout",
	.start = rollout_start,
};
