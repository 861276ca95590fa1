// Reads and watches the document in the platform's key-value store.
#include <string.h>

#include "conf_mod_priv.h"

/// A call in flight.
struct conf_mod_kv_call {
	int64_t sent_ms;
	bool watch;
};

enum err conf_mod_kv_start(struct conf_mod *m)
{
	m->calls = htab_new(CONF_MOD_KV_CALLS_MAX,
			    sizeof(struct conf_mod_kv_call));
	return m->calls ? ERR_OK : ERR_NOMEM;
}

static void on_result(struct core *c, void *ctx, const struct kv_result *res)
{
	struct conf_mod *m = conf_mod_state(c);
	htab_handle h = (htab_handle)(uintptr_t)ctx;
	struct conf_mod_kv_call call =
		*(struct conf_mod_kv_call *)htab_get(m->calls, h);
	struct conf_sync_kv_result kv = {
		.asked_ms = call.sent_ms,
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
		kv.unchanged = call.watch;
		kv.err = call.watch ? ERR_OK : ERR_NOT_FOUND;
	}
	htab_del(m->calls, h);
	conf_sync_on_kv(m->sync, core_now(c), &kv);
}

/// Register a call.
///
/// @return its handle, 0 if CONF_MOD_KV_CALLS_MAX are in flight
static htab_handle call_new(struct conf_mod *m, bool watch)
{
	htab_handle h;
	struct conf_mod_kv_call *call = htab_add(m->calls, &h);

	if (!call)
		return 0;
	call->sent_ms = core_now(m->c);
	call->watch = watch;
	return h;
}

/* If a call can't start, conf_sync times it out and starts another. */

void conf_mod_kv_watch(void *ctx, uint64_t after, int64_t wait_ms)
{
	struct conf_mod *m = ctx;
	htab_handle h = call_new(m, true);
	struct kv_cb cb = {on_result, (void *)(uintptr_t)h};

	if (h && kv_watch(m->c, CONF_MOD_KEY, after, wait_ms, cb))
		htab_del(m->calls, h);
}

void conf_mod_kv_read(void *ctx)
{
	struct conf_mod *m = ctx;
	htab_handle h = call_new(m, false);
	struct kv_cb cb = {on_result, (void *)(uintptr_t)h};

	if (h && kv_list(m->c, CONF_MOD_KEY, cb))
		htab_del(m->calls, h);
}
