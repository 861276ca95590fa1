// Module work.
#include "daemon/work_mod.h"

#include "daemon/mods.h"

static enum err work_start(struct core *c, void **state)
{
	*state = NULL;
	return ERR_OK;
}

const struct core_mod_ops work_mod_ops = {
	.name = "work",
	.start = work_start,
};
