// Callers' requests: routing to handlers, handles, answers.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/log.h"
#include "base/metric.h"
#include "core.h"

enum {
	REQ_ARENA_MAX = 64 * 1024 * 1024, ///< most bytes of a request's arena
	MS_PER_S = 1000,
};

static struct req_entry *entry(struct core *c, htab_handle h)
{
	return htab_get(c->reqs, h);
}

struct core_req *core_req_get(struct core *c, htab_handle h)
{
	struct req_entry *e = entry(c, h);

	return e ? &e->pub : NULL;
}

const char *core_req_header(const struct core_req *r, const char *name)
{
	return http_req_header(((const struct req_entry *)r)->http, name);
}

const struct http_pair *core_req_headers(const struct core_req *r, size_t *n)
{
	const struct http_req *http = ((const struct req_entry *)r)->http;

	*n = http->n_headers;
	return http->headers;
}

const char *core_req_query(const struct core_req *r, const char *name)
{
	return http_req_query(((const struct req_entry *)r)->http, name);
}

static enum err route_add(struct core *c, const struct core_route_opts *opts,
			  bool draining)
{
	if (c->n_routes == CORE_ROUTES_MAX)
		return ERR_FULL;
	c->route_draining[c->n_routes] = draining;
	c->routes[c->n_routes++] = *opts;
	return ERR_OK;
}

enum err core_route(struct core *c, const struct core_route_opts *opts)
{
	return route_add(c, opts, false);
}

enum err core_route_draining(struct core *c, const struct core_route_opts *opts)
{
	return route_add(c, opts, true);
}

static const struct core_route_opts *route_find(const struct core *c,
						const struct core_req *r)
{
	const struct core_route_opts *best = NULL;
	size_t best_len = 0;

	for (size_t i = 0; i < c->n_routes; i++) {
		const struct core_route_opts *o = &c->routes[i];
		size_t len = strlen(o->prefix);

		if (o->listener != r->listener || (best && len <= best_len) ||
		    strncmp(r->path, o->prefix, len) != 0)
			continue;
		if (o->method && strcmp(o->method, r->method) != 0)
			continue;
		best = o;
		best_len = len;
	}
	return best;
}

static struct req_entry *req_new(struct core *c, struct http_req *http)
{
	htab_handle h;
	struct req_entry *e = htab_add(c->reqs, &h);
	struct trace_ctx parent;

	if (!e)
		return NULL;
	http->id = h;
	e->http = http;
	e->outcome = "ok";
	e->pub = (struct core_req){
		.h = h,
		.listener = (enum core_listener)http->listener,
		.method = http->method,
		.path = http->path,
		.query = http->query,
		.bearer = http->bearer,
		.body = http->body,
		.body_len = http->body_len,
		.arrived_ms = http->arrived_ms,
	};
	arena_init(&e->pub.arena, REQ_ARENA_MAX);
	trace_parse(&parent, http_req_header(http, "traceparent"));
	span_begin(&e->pub.span, &parent, "request");
	return e;
}

static void req_end_span(struct core *c, struct req_entry *e)
{
	char detail[128];

	snprintf(detail, sizeof(detail), "node=%s method=%s path=%.64s",
		 core_node(c), e->pub.method, e->pub.path);
	span_end(&e->pub.span, e->outcome, detail);
}

static void req_free(struct core *c, struct req_entry *e)
{
	arena_free(&e->pub.arena);
	htab_del(c->reqs, e->pub.h);
}

static void req_drop(struct core *c, struct req_entry *e)
{
	req_end_span(c, e);
	c->opts.http->drop(e->http);
	req_free(c, e);
}

static void req_arrived(struct core *c, struct http_req *http)
{
	struct req_entry *e = req_new(c, http);
	const struct core_route_opts *route;

	if (!e) {
		c->opts.http->drop(http);
		return;
	}
	route = route_find(c, &e->pub);
	if (!route)
		core_reply_err(c, e->pub.h, ERR_HTTP_ROUTE, RUN_NO, 0, NULL);
	else if (core_draining(c) && !c->route_draining[route - c->routes])
		core_reply_err(c, e->pub.h, ERR_HTTP_DRAINING, RUN_NO, MS_PER_S,
			       NULL);
	else
		route->fn(c, &e->pub, route->ctx);
}

static void req_aborted(struct core *c, struct http_req *http)
{
	struct req_entry *e = entry(c, http->id);

	if (!e || e->http != http)
		return;
	metric_add(M_HTTP_ABORTED, 1);
	e->outcome = "aborted";
	if (e->pub.on_abort)
		e->pub.on_abort(c, &e->pub, e->pub.user);
	if (entry(c, http->id) != e)
		return;
	req_drop(c, e);
}

void core_on_http(struct core *c, struct http_event *ev)
{
	struct http_req *http = ev->req;

	if (ev->kind == HTTP_REQ) {
		/* Answering may free the request, which contains the event. */
		req_arrived(c, http);
		return;
	}
	req_aborted(c, http);
	c->opts.http->release_gone(http);
}

void core_reply_header(struct core *c, htab_handle h, const char *name,
		       const char *value)
{
	struct req_entry *e = entry(c, h);

	if (e)
		c->opts.http->header(e->http, name, value);
}

void core_reply_end_by_close(struct core *c, htab_handle h)
{
	struct req_entry *e = entry(c, h);

	if (e)
		c->opts.http->end_by_close(e->http);
}

void core_reply(struct core *c, htab_handle h, int status, const char *ctype,
		const void *body, size_t len)
{
	struct req_entry *e = entry(c, h);

	if (!e)
		return;
	/* What is no answer must not reach a caller as one, whoever passed it on. */
	if (!http_status_final(status)) {
		core_reply_err(c, h, ERR_UP_GARBLED, RUN_MAYBE, 0, NULL);
		return;
	}
	req_end_span(c, e);
	c->opts.http->answer(e->http, status, ctype, body, len);
	/* Freed after answering: the body may be in the request's arena. */
	req_free(c, e);
}

void core_reply_json(struct core *c, htab_handle h, int status,
		     struct json_t *obj)
{
	char *text = json_dumps(obj, JSON_COMPACT);

	json_decref(obj);
	if (!text) {
		core_reply_err(c, h, ERR_NOMEM, RUN_MAYBE, 0, NULL);
		return;
	}
	core_reply(c, h, status, "application/json", text, strlen(text));
	free(text);
}

/* Whole seconds, rounded up, as HTTP requires; callers of an external platform expect
 * fractions of a second. */
static void retry_after_text(const struct core *c, int64_t ms, char *buf,
			     size_t len)
{
	if (core_wire(c))
		snprintf(buf, len, "%.2f", (double)ms / MS_PER_S);
	else
		snprintf(buf, len, "%lld",
			 (long long)((ms + MS_PER_S - 1) / MS_PER_S));
}

void core_reply_err(struct core *c, htab_handle h, enum err e,
		    enum run_state run, int64_t retry_after_ms,
		    const char *detail)
{
	struct req_entry *r = entry(c, h);
	char seconds[24];
	char *text;

	if (!r)
		return;
	metric_add(M_HTTP_REFUSED, 1);
	r->outcome = err_code(e);
	core_reply_header(c, h, "Catkin-Run", run_state_name(run));
	if (retry_after_ms > 0) {
		retry_after_text(c, retry_after_ms, seconds, sizeof(seconds));
		core_reply_header(c, h, "Retry-After", seconds);
	}
	text = http_err_body(e, run, retry_after_ms, detail);
	core_reply(c, h, err_http(e), "application/json", text ? text : "",
		   text ? strlen(text) : 0);
	free(text);
}

void core_stream_begin(struct core *c, htab_handle h, int status,
		       const char *ctype)
{
	struct req_entry *e = entry(c, h);

	if (!e || e->streaming)
		return;
	e->streaming = true;
	c->opts.http->stream_begin(e->http, status, ctype);
}

enum err core_stream_write(struct core *c, htab_handle h, const void *data,
			   size_t len)
{
	struct req_entry *e = entry(c, h);
	enum err res;

	if (!e)
		return ERR_STALE_HANDLE;
	res = c->opts.http->stream_write(e->http, data, len);
	return res == ERR_CLOSED ? ERR_STALE_HANDLE : res;
}

void core_stream_end(struct core *c, htab_handle h, bool complete)
{
	struct req_entry *e = entry(c, h);

	if (!e)
		return;
	if (!complete)
		e->outcome = "broken";
	req_end_span(c, e);
	c->opts.http->stream_end(e->http, complete);
	req_free(c, e);
}

void core_drop_requests(struct core *c)
{
	struct req_entry *e;
	size_t iter = 0;

	while ((e = htab_next(c->reqs, &iter, NULL))) {
		e->outcome = "dropped";
		req_drop(c, e);
	}
}
