// Public API: POST /v1/call/ROUTE[/PATH] and POST /v1/generate/ROUTE.
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"
#include "daemon/conf_mod.h"
#include "daemon/usage_mod.h"
#include "rollout/batch.h"
#include "work_mod_int.h"

enum {
	CALL_PATH_LEN = 1024, ///< bytes
	CALL_IDEM_KEY_MAX_BYTES = 128, ///< of an Idempotency-Key header
	CALL_COST = 1, ///< admission cost of a service call
	GENERATE_DEFAULT_TOKENS = 1024, ///< without max_tokens
};

/// Parameters of an API call, from its path, route and API key.
struct call_params {
	struct core_req *req;
	const struct conf_route *route;
	enum conf_target target;
	char team[WORK_NAME_LEN];
	const char *path; ///< path at the backend server
	const char *service;
};

static struct work_call *call_get(struct core *c, void *ctx)
{
	return htab_get(work_state(c)->calls, (htab_handle)(uintptr_t)ctx);
}

static void call_reject(struct core *c, struct core_req *r, enum err e,
			int64_t retry_after_ms)
{
	core_reply_err(c, r->h, e, RUN_NO, retry_after_ms, err_doc(e));
}

/* Split ROUTE[/PATH]. */
static bool call_split_path(const char *path_tail, char *route, size_t len,
			    const char **path)
{
	size_t n = strcspn(path_tail, "/");

	if (n == 0 || n >= len)
		return false;
	memcpy(route, path_tail, n);
	route[n] = '\0';
	*path = path_tail[n] ? path_tail + n : "/";
	return strlen(*path) < CALL_PATH_LEN;
}

static enum err call_resolve(struct core *c, const char *prefix,
			     struct call_params *params)
{
	const struct conf *conf = conf_mod_current(c);
	char name[WORK_NAME_LEN];
	const char *path;

	if (!conf)
		return ERR_CONF_NONE;
	if (!call_split_path(params->req->path + strlen(prefix), name,
			     sizeof(name), &path))
		return ERR_ROUTE_UNKNOWN;
	params->route = conf_route_find(conf, name);
	if (!params->route)
		return ERR_ROUTE_UNKNOWN;
	if (params->route->target != params->target)
		return ERR_WORK_TARGET;
	params->path = arena_strdup(&params->req->arena, path);
	params->service =
		arena_strdup(&params->req->arena, params->route->service);
	if (!params->path || !params->service)
		return ERR_NOMEM;
	return conf_mod_auth(c, params->route, params->req->bearer,
			     params->team, sizeof(params->team));
}

static int64_t call_deadline(struct core *c, const struct call_params *params)
{
	struct conf_scope scope = {
		.route = params->route->name,
		.team = params->team,
		.domain = core_domain(c),
	};
	enum conf_field f = params->target == CONF_TARGET_ENGINE
				    ? CF_GENERATE_DEADLINE
				    : CF_CALL_DEADLINE;
	int64_t ms = conf_get_int(conf_mod_current(c), f, &scope);
	const char *header = core_req_header(params->req, "X-Deadline-Ms");
	int64_t asked_ms = header ? strtoll(header, NULL, 10) : 0;

	if (asked_ms > 0 && asked_ms < ms)
		ms = asked_ms;
	return core_now(c) + ms;
}

void work_call_free(struct core *c, struct work_call *call)
{
	htab_del(work_state(c)->calls, call->h);
}

/* The caller disconnected: a call that must not be repeated runs to its end. */
static void call_on_abort(struct core *c, struct core_req *r, void *user)
{
	struct work_call *call = call_get(c, user);

	if (!call)
		return;
	call->req = 0;
	if (call->cancel_on_abort) {
		work_cancel(c, call->work);
		work_call_free(c, call);
	} else if (!call->work) {
		work_keyed_abort(c, call);
	}
}

static uint64_t call_line_tokens(const char *line, size_t len)
{
	json_t *obj = json_loadb(line, len, 0, NULL);
	uint64_t n = json_array_size(json_object_get(obj, "tokens"));

	json_decref(obj);
	return n;
}

static void call_on_line(struct core *c, void *ctx, const char *line,
			 size_t len)
{
	struct work_call *call = call_get(c, ctx);
	char *out;

	if (!call || !call->req || call->stream_failed)
		return;
	if (!call->streaming) {
		core_reply_header(c, call->req, "Catkin-Run", "done");
		core_stream_begin(c, call->req, 200, "application/x-ndjson");
		call->streaming = true;
	}
	out = malloc(len + 1);
	if (!out) {
		call->stream_failed = true;
		return;
	}
	memcpy(out, line, len);
	out[len] = '\n';
	if (core_stream_write(c, call->req, out, len + 1) != ERR_OK)
		call->stream_failed = true;
	else
		call->tokens += call_line_tokens(line, len);
	free(out);
}

static void call_send_reply(struct core *c, const struct work_call *call,
			    const struct work_result *res)
{
	if (call->streaming) {
		core_stream_end(c, call->req,
				res->err == ERR_OK && !call->stream_failed);
		return;
	}
	if (res->err != ERR_OK) {
		core_reply_err(c, call->req, res->err, res->run,
			       res->retry_after_ms, err_doc(res->err));
		return;
	}
	core_reply_header(c, call->req, "Catkin-Run", "done");
	core_reply(c, call->req, res->status, res->ctype, res->body,
		   res->body_len);
}

static void call_on_done(struct core *c, void *ctx,
			 const struct work_result *res)
{
	struct work_call *call = call_get(c, ctx);
	struct work_call done;

	if (!call)
		return;
	done = *call;
	work_call_free(c, call);
	if (done.keyed)
		work_keyed_end(c, &done, res);
	if (res->err == ERR_OK)
		usage_mod_add(c, done.team, USAGE_REQUESTS, 1);
	if (done.tokens > 0)
		usage_mod_add(c, done.team, USAGE_TOKENS, done.tokens);
	if (done.req)
		call_send_reply(c, &done, res);
}

bool work_call_submit(struct core *c, struct work_call *call)
{
	int64_t retry_after_ms = 0;
	htab_handle req = call->req;
	enum err e;

	e = work_key_check(c, call);
	if (e == ERR_OK)
		e = work_submit(c, &call->opts, &call->work, &retry_after_ms);
	if (e == ERR_OK)
		return true;
	work_call_free(c, call);
	core_reply_err(c, req, e, RUN_NO, retry_after_ms, err_doc(e));
	return false;
}

static void call_begin(struct core *c, const struct call_params *params,
		       const struct work_opts *o)
{
	struct core_req *r = params->req;
	htab_handle h;
	struct work_call *call = htab_add(work_state(c)->calls, &h);

	if (!call) {
		call_reject(c, r, ERR_ADMIT_FULL, ATTEMPT_RETRY_AFTER_MS);
		return;
	}
	call->h = h;
	call->req = r->h;
	call->opts = *o;
	call->opts.ctx = (void *)(uintptr_t)h;
	call->opts.on_done = call_on_done;
	call->cancel_on_abort = o->on_line != NULL;
	memcpy(call->team, params->team, sizeof(call->team));
	work_key_record(call, r, params->route->name);
	call->opts.team = call->team;
	r->user = call->opts.ctx;
	r->on_abort = call_on_abort;
	if (o->idem_key && !o->idempotent)
		work_keyed_begin(c, call, params->route->name);
	else
		work_call_submit(c, call);
}

static const char *call_ctype(const struct core_req *r)
{
	const char *t = core_req_header(r, "Content-Type");

	return t ? t : "application/octet-stream";
}

static void call_on_service_call(struct core *c, struct core_req *r, void *ctx)
{
	struct call_params params = {.req = r, .target = CONF_TARGET_SERVICE};
	enum err e = call_resolve(c, "/v1/call/", &params);
	const char *key = core_req_header(r, "Idempotency-Key");
	struct work_opts o;

	if (e == ERR_OK && key && strlen(key) > CALL_IDEM_KEY_MAX_BYTES)
		e = ERR_TOO_LARGE;
	if (e != ERR_OK) {
		call_reject(c, r, e, 0);
		return;
	}
	o = (struct work_opts){
		.cls = WORK_BOOKING,
		.kind = VM_SERVICE,
		.service = params.service,
		.method = "POST",
		.path = params.path,
		.body = r->body,
		.body_len = r->body_len,
		.ctype = call_ctype(r),
		.idempotent = params.route->idempotent,
		.idem_key = key,
		.deadline_ms = call_deadline(c, &params),
		.cost = CALL_COST,
		.trace = &r->span.ctx,
	};
	call_begin(c, &params, &o);
}

/* Hash of the prompt prefix that engines cache, as for rollouts. */
static uint64_t generate_prefix(const json_t *prompt)
{
	size_t n = json_array_size(prompt);
	uint32_t *tokens = calloc(n + 1, sizeof(*tokens));
	uint64_t hash;

	if (!tokens)
		return 0;
	for (size_t i = 0; i < n; i++)
		tokens[i] =
			(uint32_t)json_integer_value(json_array_get(prompt, i));
	hash = batch_prefix_hash(tokens, n);
	free(tokens);
	return hash;
}

/* Body of the engine's request: the caller's fields and an id of this node. */
static char *generate_body(struct core *c, const struct core_req *r,
			   uint64_t *cost, uint64_t *prefix)
{
	json_t *in = json_loadb(r->body ? r->body : "", r->body_len, 0, NULL);
	json_t *prompt = json_object_get(in, "prompt");
	json_t *max = json_object_get(in, "max_tokens");
	json_t *seed = json_object_get(in, "seed");
	json_int_t tokens =
		max ? json_integer_value(max) : GENERATE_DEFAULT_TOKENS;
	char id[80];
	json_t *out;
	char *text = NULL;

	if (!json_is_array(prompt) || tokens < 1 ||
	    (seed && !json_is_integer(seed)))
		goto out;
	snprintf(id, sizeof(id), "%s-g%llu", core_incarnation(c),
		 (unsigned long long)++work_state(c)->next_id);
	out = json_pack("{s:s, s:O, s:I, s:i, s:I}", "id", id, "prompt", prompt,
			"max_tokens", tokens, "priority", 5, "seed",
			json_integer_value(seed));
	text = json_dumps(out, JSON_COMPACT);
	json_decref(out);
	*cost = (uint64_t)tokens;
	*prefix = generate_prefix(prompt);
out:
	json_decref(in);
	return text;
}

static void call_on_generate(struct core *c, struct core_req *r, void *ctx)
{
	struct call_params params = {.req = r, .target = CONF_TARGET_ENGINE};
	enum err e = call_resolve(c, "/v1/generate/", &params);
	uint64_t cost = 0;
	uint64_t prefix = 0;
	char *body = NULL;
	struct work_opts o;

	if (e == ERR_OK) {
		body = generate_body(c, r, &cost, &prefix);
		e = body ? ERR_OK : ERR_PARSE;
	}
	if (e != ERR_OK) {
		call_reject(c, r, e, 0);
		return;
	}
	o = (struct work_opts){
		.cls = WORK_INTERACTIVE,
		.kind = VM_ENGINE,
		.method = "POST",
		.path = "/v1/generate",
		.body = body,
		.body_len = strlen(body),
		.ctype = "application/json",
		.idempotent = true,
		.deadline_ms = call_deadline(c, &params),
		.cost = cost,
		.prefix = prefix,
		.preemptible = true,
		.trace = &r->span.ctx,
		.on_line = call_on_line,
	};
	call_begin(c, &params, &o);
	free(body);
}

enum err work_call_start(struct core *c, struct work_state *s)
{
	const struct core_route_opts call = {
		.listener = CORE_LISTENER_PUBLIC,
		.method = "POST",
		.prefix = "/v1/call/",
		.fn = call_on_service_call,
	};
	const struct core_route_opts generate = {
		.listener = CORE_LISTENER_PUBLIC,
		.method = "POST",
		.prefix = "/v1/generate/",
		.fn = call_on_generate,
	};
	enum err e;

	s->calls = htab_new(WORK_CALLS_MAX, sizeof(struct work_call));
	if (!s->calls)
		return ERR_NOMEM;
	e = work_key_start(c);
	if (e != ERR_OK)
		return e;
	e = core_route(c, &call);
	return e == ERR_OK ? core_route(c, &generate) : e;
}
