// Key-value store calls. Results are matched to calls by handle.
#include <stdio.h>
#include <string.h>

#include "rollout_defs.h"

static uint32_t kv_call_new(struct rollout *r, enum kv_purpose purpose,
			    const char *team, const char *trainer)
{
	htab_handle h;
	struct kv_call *call = htab_add(r->kv_calls, &h);

	if (!call)
		return 0;
	call->purpose = purpose;
	snprintf(call->team, sizeof(call->team), "%s", team);
	snprintf(call->trainer, sizeof(call->trainer), "%s", trainer);
	return h;
}

uint32_t kv_read(struct rollout *r, enum kv_purpose purpose, const char *team,
		 const char *trainer)
{
	uint32_t h = kv_call_new(r, purpose, team, trainer);
	struct rollout_action *a;

	if (h == 0)
		return 0;
	a = rollout_add_action(r, ROLLOUT_KV_GET);
	a->call = h;
	record_key(team, trainer, a->key);
	return h;
}

uint32_t kv_write(struct rollout *r, const struct owner *o)
{
	const struct home *home = o->home;
	uint32_t h = kv_call_new(r, KV_PUT_OWNER, home->team, home->trainer);
	struct rollout_action *a;

	if (h == 0)
		return 0;
	a = rollout_add_action(r, ROLLOUT_KV_PUT);
	a->call = h;
	a->prev_rev = o->rev;
	a->value = record_format(&o->proposed);
	record_key(home->team, home->trainer, a->key);
	return h;
}
