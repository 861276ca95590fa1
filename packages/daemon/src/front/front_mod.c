// Routes callers' requests, checks their keys and forwards or answers them.
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/rng.h"
#include "core/memory.h"
#include "daemon/job_mod.h"
#include "daemon/mods.h"
#include "daemon/platform_mod.h"
#include "front/front.h"
#include "front/stopping.h"

enum {
	FRONT_MAX_FORWARDS = 4096, ///< requests being forwarded
};

struct front *front_of(const struct core *c)
{
	return core_mod_state(c, MOD_FRONT);
}

static void refuse(struct core *c, struct core_req *req, const char *id,
		   enum err e)
{
	int64_t retry_after_ms = err_http(e) == 503 ? kv_retry_after(c) : 0;

	log_event(EV_FRONT_REFUSED,
		  "request=%s method=%s path=%.80s error=%s run=no conf=%llu "
		  "conf_age_ms=%lld",
		  id ? id : "-", req->method, req->path, err_code(e),
		  site_mod_conf(c)
			  ? (unsigned long long)site_mod_conf(c)->version
			  : 0ULL,
		  (long long)site_mod_conf_age_ms(c));
	core_reply_err(c, req->h, e, RUN_NO, retry_after_ms, NULL);
}

static void on_api_call(struct core *c, struct core_req *req,
			const struct front_call *call,
			const struct front_fields *fields)
{
	const char *team;
	enum err e = site_mod_auth(c, NULL, req->bearer, &team);

	if (e == ERR_OK)
		job_mod_call(c, req, call, fields->wait_ms, team);
	else
		refuse(c, req, fields->id, e);
}

/* What can be sent to no server: an id that answers can't be matched with, or a body over all
 * that outgoing requests may hold. */
static enum err check_forward(struct core *c, const struct core_req *req,
			      const struct front_fields *fields)
{
	if (fields->id && strlen(fields->id) >= FRONT_ID_BYTES)
		return ERR_HTTP_FIELD;
	return req->body_len > front_of(c)->body_max ? ERR_TOO_LARGE : ERR_OK;
}

static void on_routed_request(struct core *c, struct core_req *req,
			      const struct front_fields *fields)
{
	const struct site_conf *conf = site_mod_conf(c);
	const struct site_route *route =
		conf ? site_conf_route(conf, fields->host, req->path) : NULL;
	const char *team = "";
	enum err e = ERR_CONF_NONE;

	/* An old configuration may lack a route that was added since. */
	if (conf && !route)
		e = site_mod_keys_fresh(c) ? ERR_HTTP_ROUTE : ERR_CONF_CUT_OFF;
	else if (route)
		e = site_mod_auth(c, route, req->bearer, &team);
	if (e == ERR_OK && route->kind == SITE_BATCH && !fields->id)
		e = ERR_BATCH_INVALID;
	if (e == ERR_OK && route->kind != SITE_BATCH)
		e = check_forward(c, req, fields);
	if (e != ERR_OK)
		refuse(c, req, fields->id, e);
	else if (route->kind == SITE_BATCH)
		job_mod_submit(c, req, fields->id, fields->host, team);
	else
		forward_begin(c, req, route, fields, team);
}

/* Whether even a short call may be cut off with the process. */
static bool ends_soon(struct core *c)
{
	struct stopping s;

	s.end_ms = core_end_ms(c, &s.begun_ms);
	return !stopping_takes(&s, core_now(c), 0, true);
}

static void on_request(struct core *c, struct core_req *req, void *ctx)
{
	struct front *f = front_of(c);
	const struct http_pair *headers;
	struct front_fields fields;
	struct front_call call;
	enum err e;
	size_t n;

	headers = core_req_headers(req, &n);
	f->wire->front->fields(headers, n, &req->arena, &fields);
	if (ends_soon(c)) {
		refuse(c, req, fields.id, ERR_HTTP_DRAINING);
		return;
	}
	e = f->wire->front->call(req->method, req->path, req->query, &call);
	if (e != ERR_OK)
		refuse(c, req, fields.id, e);
	else if (call.kind == FRONT_FORWARD)
		on_routed_request(c, req, &fields);
	else
		on_api_call(c, req, &call, &fields);
}

static void on_ready(struct core *c, struct core_req *req, void *ctx)
{
	bool ready = core_ready(c);

	core_reply(c, req->h, ready ? 200 : 503, "text/plain",
		   ready ? "ready\n" : "not ready\n", ready ? 6 : 10);
}

static enum err front_routes(struct core *c, const struct front *f)
{
	const struct core_route_opts all = {
		.listener = CORE_LISTENER_PUBLIC,
		.prefix = "/",
		.fn = on_request,
	};
	const struct core_route_opts ready = {
		.listener = CORE_LISTENER_ADMIN,
		.method = "GET",
		.prefix = f->wire->front->ready_path,
		.fn = on_ready,
	};
	enum err e = core_route_draining(c, &all);

	return e == ERR_OK ? core_route_draining(c, &ready) : e;
}

static enum err front_start(struct core *c, void **state)
{
	struct front *f = calloc(1, sizeof(*f));

	if (!f)
		return ERR_NOMEM;
	f->wire = core_wire(c);
	f->forwards = htab_new(FRONT_MAX_FORWARDS, sizeof(struct forward));
	f->body_max = memory_share(core_settings(c), MEMORY_UPSTREAM);
	randombytes_buf(&f->rng.state, sizeof(f->rng.state));
	*state = f;
	return f->forwards ? front_routes(c, f) : ERR_NOMEM;
}

static void front_tick(struct core *c, void *state, int64_t now_ms)
{
	forward_step_all(c);
}

static bool front_idle(struct core *c, void *state)
{
	struct front *f = state;

	return htab_count(f->forwards) == 0;
}

static void front_stop(struct core *c, void *state)
{
	struct front *f = state;
	struct forward *fwd;
	size_t iter = 0;

	while ((fwd = htab_next(f->forwards, &iter, NULL)))
		free(fwd->team);
	htab_free(f->forwards);
	free(f);
}

const struct core_mod_ops front_mod_ops = {
	.name = "front",
	.start = front_start,
	.tick = front_tick,
	.idle = front_idle,
	.stop = front_stop,
};
