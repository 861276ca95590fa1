// GET /admin/usage: the record of a sealed window (`?window=N`), else all
// counters known to this node.
#include <jansson.h>
#include <stdlib.h>

#include "daemon/platform_mod.h"
#include "usage_mod_priv.h"

static void on_window(struct core *c, void *ctx, const struct kv_result *res)
{
	htab_handle h = (htab_handle)(uintptr_t)ctx;
	json_t *rec = NULL;

	if (res->err) {
		core_reply_err(c, h, res->err, RUN_NO, 0, "window");
		return;
	}
	if (res->n_items > 0)
		rec = json_loadb(res->items[0].value, res->items[0].len, 0,
				 NULL);
	if (rec)
		core_reply_json(c, h, 200, rec);
	else
		core_reply_err(c, h, ERR_PARSE, RUN_NO, 0,
			       "stored window record is malformed");
}

static void get_usage(struct core *c, struct core_req *r, void *ctx)
{
	struct usage_mod *m = ctx;
	const char *window = core_req_query(r, "window");
	struct kv_cb cb = {on_window, (void *)(uintptr_t)r->h};
	char key[USAGE_KEY_MAX];
	enum err e;

	if (!window) {
		core_reply_json(
			c, r->h, 200,
			json_pack("{s:s,s:I,s:o}", "node", core_node(c),
				  "reported", (json_int_t)m->seal.reported,
				  "runs",
				  usage_counters_to_json(&m->counters)));
		return;
	}
	usage_window_key(strtoull(window, NULL, 10), key);
	e = kv_get(c, key, cb);
	if (e)
		core_reply_err(c, r->h, e, RUN_NO, 0, NULL);
}

enum err usage_mod_admin_start(struct usage_mod *m)
{
	const struct core_route_opts route = {
		.listener = CORE_LISTENER_ADMIN,
		.method = "GET",
		.prefix = "/admin/usage",
		.fn = get_usage,
		.ctx = m,
	};

	return core_route(m->c, &route);
}
