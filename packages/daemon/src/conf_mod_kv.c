// Reads and watches of the document in the platform's key-value store.
#include <stdlib.h>
#include <string.h>

#include "conf_mod_priv.h"

/// A call on its way; owned by its callback.
struct kv_call {
	struct conf_mod *m;
	int64_t asked_ms;
	bool watch;
};

static void on_result(struct core *c, void *ctx, const struct kv_result *res)
{
	struct kv_call *call = ctx;
	struct conf_sync_kv kv = {
		.asked_ms = call->asked_ms,
		.err = res->err,
		.kv_rev = res->rev,
	};
	const struct kv_item *item = NULL;

	for (size_t i = 0; i < res->n_items; i++) {
		if (strcmp(res->items[i].key, CONF_MOD_KEY) == 0)
			item = &res->items[i];
	}
	if (item) {
		kv.text = item->value;
		kv.len = item->len;
	} else if (!res->err) {
		kv.unchanged = call->watch;
		kv.err = call->watch ? ERR_OK : ERR_NOT_FOUND;
	}
	conf_sync_on_kv(call->m->sync, core_now(c), &kv);
	free(call);
}

static struct kv_call *call_new(struct conf_mod *m, bool watch)
{
	struct kv_call *call = calloc(1, sizeof(*call));

	if (!call)
		return NULL;
	call->m = m;
	call->asked_ms = core_now(m->c);
	call->watch = watch;
	return call;
}

void conf_mod_kv_watch(void *ctx, uint64_t after, int64_t wait_ms)
{
	struct conf_mod *m = ctx;
	struct kv_call *call = call_new(m, true);
	struct kv_cb cb = {on_result, call};

	if (call && kv_watch(m->c, CONF_MOD_KEY, after, wait_ms, cb))
		free(call); /* the sync takes it as lost and starts another */
}

void conf_mod_kv_read(void *ctx)
{
	struct conf_mod *m = ctx;
	struct kv_call *call = call_new(m, false);
	struct kv_cb cb = {on_result, call};

	if (call && kv_list(m->c, CONF_MOD_KEY, cb))
		free(call);
}
