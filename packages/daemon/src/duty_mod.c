// Module duty.
#include "daemon/duty_mod.h"

#include "daemon/mods.h"

static enum err duty_start(struct core *c, void **state)
{
	*state = NULL;
	return ERR_OK;
}

const struct core_mod_ops duty_mod_ops = {
	.name = "duty",
	.start = duty_start,
};
