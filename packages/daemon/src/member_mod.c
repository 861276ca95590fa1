// Module member.
#include "daemon/member_mod.h"

#include "daemon/mods.h"

static enum err member_start(struct core *c, void **state)
{
	*state = NULL;
	return ERR_OK;
}

const struct core_mod_ops member_mod_ops = {
	.name = "member",
	.start = member_start,
};
