// Reads the load reports of the servers whose steward this node is; permits
// carry them to the other nodes of the failure domain.
#include <jansson.h>
#include <stdio.h>

#include "work_mod_int.h"

enum {
	LOAD_POLL_MS = 1000,
	LOAD_TIMEOUT_MS = 2000,
	LOAD_MAX_BODY = 4096, ///< bytes
	LOAD_URL_LEN = 128, ///< bytes
};

static int load_int(const json_t *o, const char *name)
{
	json_int_t v = json_integer_value(json_object_get(o, name));

	return v < 0 || v > INT16_MAX ? 0 : (int)v;
}

static void load_take(struct core *c, struct work_server *v, const json_t *o)
{
	struct slot_report r = {
		.slots = load_int(o, "slots"),
		.running = load_int(o, "running"),
		.version = (uint64_t)json_integer_value(
			json_object_get(o, "version")),
		.as_of_ms = core_now(c) - load_int(o, "as_of_ms"),
	};

	struct work_load load = {
		.running = r.running,
		.queued = load_int(o, "queued"),
		.slots = r.slots,
		.version = r.version,
		.as_of_ms = r.as_of_ms,
	};

	work_server_load(c, v, &load);
	if (v->steward && r.slots > 0)
		slot_steward_report(v->steward, &r);
}

static void load_on_done(struct core *c, void *ctx,
			 const struct core_fetch_result *res)
{
	struct work_server *v = ctx;
	json_t *o = NULL;

	v->polling = false;
	if (res->err == ERR_OK && res->status == 200)
		o = json_loadb(res->body, res->body_len, 0, NULL);
	if (json_is_object(o))
		load_take(c, v, o);
	json_decref(o);
}

static void load_poll(struct core *c, struct work_server *v)
{
	char url[LOAD_URL_LEN];
	struct core_fetch_opts f = {
		.method = "GET",
		.url = url,
		.timeout_ms = LOAD_TIMEOUT_MS,
		.max_body = LOAD_MAX_BODY,
		.on_done = load_on_done,
		.ctx = v,
	};

	snprintf(url, sizeof(url), "http://%s/v1/load", v->addr);
	if (core_fetch(c, &f, NULL) == ERR_OK)
		v->polling = true;
}

void work_load_tick(struct core *c, int64_t now)
{
	struct work_state *s = work_state(c);

	for (size_t i = 0; i < s->n_servers; i++) {
		struct work_server *v = &s->servers[i];

		if (!v->hash || !v->steward || v->polling || !v->pool ||
		    v->pool->kind != VM_ENGINE || !v->listed ||
		    now - v->polled_ms < LOAD_POLL_MS)
			continue;
		v->polled_ms = now;
		load_poll(c, v);
	}
}
