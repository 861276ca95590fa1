// Polls GET /v1/load of the engines that this node is the coordinator of. Permits carry
// the reports to the other nodes of the failure domain.
#include <jansson.h>
#include <stdio.h>

#include "work_mod_int.h"

enum {
	LOAD_POLL_INTERVAL_MS = 1000,
	LOAD_TIMEOUT_MS = 2000,
	LOAD_BODY_MAX_BYTES = 4096,
	LOAD_URL_LEN = 128, ///< bytes
};

static int load_int(const json_t *o, const char *name)
{
	json_int_t v = json_integer_value(json_object_get(o, name));

	return v < 0 || v > INT16_MAX ? 0 : (int)v;
}

static void load_apply(struct core *c, struct work_server *srv,
		       const json_t *report)
{
	struct slot_report r = {
		.slots = load_int(report, "slots"),
		.running = load_int(report, "running"),
		.version = (uint64_t)json_integer_value(
			json_object_get(report, "version")),
		.as_of_ms = core_now(c) - load_int(report, "as_of_ms"),
	};

	struct work_load load = {
		.running = r.running,
		.queued = load_int(report, "queued"),
		.slots = r.slots,
		.version = r.version,
		.as_of_ms = r.as_of_ms,
	};

	work_server_set_load(c, srv, &load);
	if (srv->coordinator && r.slots > 0)
		slot_coordinator_report(srv->coordinator, &r);
}

static void load_on_done(struct core *c, void *ctx,
			 const struct core_fetch_result *res)
{
	struct work_server *srv = ctx;
	json_t *report = NULL;

	srv->polling = false;
	if (res->err == ERR_OK && res->status == 200)
		report = json_loadb(res->body, res->body_len, 0, NULL);
	if (json_is_object(report))
		load_apply(c, srv, report);
	json_decref(report);
}

static void load_poll(struct core *c, struct work_server *srv)
{
	char url[LOAD_URL_LEN];
	struct core_fetch_opts f = {
		.method = "GET",
		.url = url,
		.timeout_ms = LOAD_TIMEOUT_MS,
		.max_body = LOAD_BODY_MAX_BYTES,
		.on_done = load_on_done,
		.ctx = srv,
	};

	snprintf(url, sizeof(url), "http://%s/v1/load", srv->addr);
	if (core_fetch(c, &f, NULL) == ERR_OK)
		srv->polling = true;
}

void work_load_tick(struct core *c, int64_t now)
{
	struct work_state *s = work_state(c);

	for (size_t i = 0; i < s->n_servers; i++) {
		struct work_server *srv = &s->servers[i];

		if (!srv->hash || !srv->coordinator || srv->polling ||
		    !srv->pool || srv->pool->kind != VM_ENGINE ||
		    !srv->listed ||
		    now - srv->last_poll_ms < LOAD_POLL_INTERVAL_MS)
			continue;
		srv->last_poll_ms = now;
		load_poll(c, srv);
	}
}
