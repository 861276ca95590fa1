// Ownership records in the key-value store.
#include <stdlib.h>
#include <string.h>

#include "daemon/platform_mod.h"
#include "rollout_mod_int.h"

struct rollout_kv_call {
	uint32_t call;
};

static void rollout_on_kv_result(struct core *c, void *ctx,
				 const struct kv_result *res)
{
	struct rollout_mod *m = rollout_mod_state(c);
	struct rollout_kv_call *call = ctx;
	struct rollout_kv kv = {
		.call = call->call,
		.err = res->err,
		.value = "",
		.rev = res->rev,
	};

	if (res->err == ERR_OK && res->n_items > 0) {
		kv.value = res->items[0].value;
		kv.len = res->items[0].len;
		kv.rev = res->items[0].rev;
	}
	free(call);
	rollout_kv_done(m->r, &kv, core_now(c));
	rollout_mod_apply_actions(m);
}

static enum err rollout_kv_start(struct core *c, const struct rollout_action *a,
				 struct kv_cb cb)
{
	if (a->kind == ROLLOUT_KV_GET)
		return kv_get(c, a->key, cb);
	return kv_put(c,
		      &(struct kv_put_opts){
			      .key = a->key,
			      .value = a->value,
			      .len = strlen(a->value),
			      .prev_rev = a->prev_rev,
		      },
		      cb);
}

void rollout_mod_start_kv(struct rollout_mod *m, const struct rollout_action *a)
{
	struct rollout_kv_call *call = malloc(sizeof(*call));
	struct rollout_kv failed = {.call = a->call, .err = ERR_KV_DOWN};

	if (call) {
		struct kv_cb cb = {rollout_on_kv_result, call};

		call->call = a->call;
		if (rollout_kv_start(m->c, a, cb) == ERR_OK)
			return;
		free(call);
	}
	rollout_kv_done(m->r, &failed, core_now(m->c));
}
