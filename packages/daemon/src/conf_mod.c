// Module conf.
#include "daemon/conf_mod.h"

#include "daemon/mods.h"

static enum err conf_start(struct core *c, void **state)
{
	*state = NULL;
	return ERR_OK;
}

const struct core_mod_ops conf_mod_ops = {
	.name = "conf",
	.start = conf_start,
};
