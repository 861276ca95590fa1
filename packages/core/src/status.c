// Handlers of the core's own paths: health, readiness, metrics, status.
#include <jansson.h>

#include "base/histogram.h"
#include "base/metric.h"
#include "core.h"

enum {
	METRICS_MAX = 131072, ///< bytes of the metrics text
};

static void on_health(struct core *c, struct core_req *r, void *ctx)
{
	core_reply(c, r->h, 200, "text/plain", "ok\n", 3);
}

bool core_ready(const struct core *c)
{
	if (core_draining(c))
		return false;
	for (int i = 0; i < c->n_started_mods; i++) {
		const struct core_mod_ops *m = c->mods[i];

		if (m->ready && !m->ready((struct core *)c, c->mod_states[i]))
			return false;
	}
	return true;
}

static void on_ready(struct core *c, struct core_req *r, void *ctx)
{
	json_t *obj = json_object();
	json_t *waiting = json_array();

	if (core_draining(c))
		json_array_append_new(waiting, json_string("draining"));
	for (int i = 0; i < c->n_started_mods; i++) {
		const struct core_mod_ops *m = c->mods[i];

		if (m->ready && !m->ready(c, c->mod_states[i]))
			json_array_append_new(waiting, json_string(m->name));
	}
	json_object_set_new(obj, "ready",
			    json_boolean(json_array_size(waiting) == 0));
	json_object_set(obj, "waiting", waiting);
	core_reply_json(c, r->h, json_array_size(waiting) ? 503 : 200, obj);
	json_decref(waiting);
}

static void on_metrics(struct core *c, struct core_req *r, void *ctx)
{
	char *text = arena_alloc(&r->arena, METRICS_MAX);
	size_t len;

	if (!text) {
		core_reply_err(c, r->h, ERR_NOMEM, RUN_NO, 0, NULL);
		return;
	}
	len = metric_render(text, METRICS_MAX);
	len += histogram_render(text + len, METRICS_MAX - len);
	core_reply(c, r->h, 200, "text/plain; version=0.0.4", text, len);
}

static void on_status(struct core *c, struct core_req *r, void *ctx)
{
	json_t *obj = json_pack(
		"{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I}", "node", core_node(c),
		"domain", core_domain(c), "incarnation", core_incarnation(c),
		"version", CATKIN_VERSION, "draining", (int)core_draining(c),
		"requests", (json_int_t)htab_count(c->reqs), "open",
		(json_int_t)c->opts.http->open(c->http), "fetches",
		(json_int_t)htab_count(c->fetches));

	for (int i = 0; i < c->n_started_mods; i++) {
		const struct core_mod_ops *m = c->mods[i];
		json_t *part;

		if (!m->status)
			continue;
		part = json_object();
		m->status(c, c->mod_states[i], part);
		json_object_set_new(obj, m->name, part);
	}
	core_reply_json(c, r->h, 200, obj);
}

enum err core_status_routes(struct core *c)
{
	static const struct core_route_opts routes[] = {
		{CORE_LISTENER_PUBLIC, "GET", "/healthz", on_health, NULL},
		{CORE_LISTENER_PUBLIC, "GET", "/readyz", on_ready, NULL},
		{CORE_LISTENER_ADMIN, "GET", "/healthz", on_health, NULL},
		{CORE_LISTENER_ADMIN, "GET", "/readyz", on_ready, NULL},
		{CORE_LISTENER_ADMIN, "GET", "/metrics", on_metrics, NULL},
		{CORE_LISTENER_ADMIN, "GET", "/admin/status", on_status, NULL},
	};

	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		enum err e;

		/* With an adapter all paths of the public listener are the callers'. */
		if (c->opts.wire && routes[i].listener == CORE_LISTENER_PUBLIC)
			continue;
		e = core_route_draining(c, &routes[i]);

		if (e != ERR_OK)
			return e;
	}
	return ERR_OK;
}
