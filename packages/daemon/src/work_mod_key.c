// Withdrawn API keys: a queued call is rejected, an idempotent one in flight is
// cancelled, and one in flight that must not be repeated runs to its end.
#include <stdio.h>

#include "daemon/conf_mod.h"
#include "work_mod_int.h"

static enum err call_api_key_ok(struct core *c, const struct work_call *call)
{
	const struct conf *conf = conf_mod_current(c);

	if (!conf)
		return ERR_CONF_NONE;
	return conf_mod_check_key(c, conf_route_find(conf, call->route),
				  call->key_id);
}

static void call_check_api_key(struct core *c, const struct work_call *call)
{
	struct work *w = htab_get(work_state(c)->requests, call->work);
	enum err e;

	if (!w)
		return; /* checked when it is submitted */
	e = call_api_key_ok(c, call);
	if (e == ERR_OK)
		return;
	if (w->target_kind == WORK_TARGET_NONE || call->opts.idempotent)
		work_give_up(c, w, e);
}

static void on_change(struct core *c, void *ctx)
{
	struct htab *calls = work_state(c)->calls;
	size_t iter = 0;
	const struct work_call *call;

	while ((call = htab_next(calls, &iter, NULL)))
		call_check_api_key(c, call);
}

void work_key_record(struct work_call *call, const struct core_req *r,
		     const char *route)
{
	snprintf(call->route, sizeof(call->route), "%s", route);
	conf_mod_key_id(r->bearer, call->key_id);
}

enum err work_key_check(struct core *c, const struct work_call *call)
{
	return call_api_key_ok(c, call);
}

enum err work_key_start(struct core *c)
{
	return conf_mod_on_change(c, on_change, NULL);
}
