// Module platform.
#include "daemon/platform_mod.h"

#include "daemon/mods.h"

static enum err platform_start(struct core *c, void **state)
{
	*state = NULL;
	return ERR_OK;
}

const struct core_mod_ops platform_mod_ops = {
	.name = "platform",
	.start = platform_start,
};
