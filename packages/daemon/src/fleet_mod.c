// Module fleet.
#include "daemon/fleet_mod.h"

#include "daemon/mods.h"

static enum err fleet_start(struct core *c, void **state)
{
	*state = NULL;
	return ERR_OK;
}

const struct core_mod_ops fleet_mod_ops = {
	.name = "fleet",
	.start = fleet_start,
};
