// Module usage.
#include "daemon/usage_mod.h"

#include "daemon/mods.h"

static enum err usage_start(struct core *c, void **state)
{
	*state = NULL;
	return ERR_OK;
}

const struct core_mod_ops usage_mod_ops = {
	.name = "usage",
	.start = usage_start,
};

void usage_mod_add(struct core *c, const char *team, enum usage_unit u,
		   uint64_t n)
{
}
