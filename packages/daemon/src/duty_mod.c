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

enum err duty_mod_want(struct core *c, const char *name)
{
	return ERR_OK;
}

bool duty_mod_held(struct core *c, const char *name, uint64_t *epoch)
{
	return false;
}

enum err duty_mod_send(struct core *c, const char *name, const char *path,
		       const char *body, size_t len,
		       void (*fn)(struct core *c, void *ctx, enum err e,
				  int status, const char *body, size_t len),
		       void *ctx)
{
	return ERR_DUTY_NOT_HELD;
}
