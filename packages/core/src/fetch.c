// Outgoing HTTP requests of modules, on the upstream edge.
#include <stdio.h>
#include <string.h>

#include "core.h"

enum {
	FETCH_HEADERS_MAX = 96, ///< most headers of an outgoing request
};

/// Headers of the request and the traceparent; false if too many.
static bool fetch_headers(const struct core_fetch_opts *opts,
			  const char *trace_line, const char **out)
{
	size_t n = 0;

	for (const char *const *h = opts->headers; h && *h; h++) {
		if (n + 2 >= FETCH_HEADERS_MAX)
			return false;
		out[n++] = *h;
	}
	if (trace_line)
		out[n++] = trace_line;
	out[n] = NULL;
	return true;
}

static void trace_header(struct fetch_entry *f, const struct trace_ctx *parent,
			 char *line, size_t len)
{
	char value[TRACE_PARENT_LEN + 1];

	span_begin(&f->span, parent, "fetch");
	trace_format(&f->span.ctx, value);
	snprintf(line, len, "traceparent: %s", value);
}

static struct upstream_call_opts call_opts(const struct core *c,
					   const struct core_fetch_opts *o,
					   const char *const *headers,
					   htab_handle h)
{
	const struct settings *s = c->opts.settings;

	return (struct upstream_call_opts){
		.id = h,
		.tag = o->tag,
		.method = o->method,
		.url = o->url,
		.headers = headers,
		.body = o->body,
		.body_len = o->body ? o->body_len : 0,
		.timeout_ms = o->timeout_ms,
		.connect_timeout_ms =
			o->connect_timeout_ms
				? o->connect_timeout_ms
				: settings_int(s, S_UP_CONNECT_TIMEOUT),
		.idle_timeout_ms = o->idle_timeout_ms,
		.max_idle_age_ms = settings_int(s, S_UP_MAX_IDLE_AGE),
		.max_body = o->max_body
				    ? o->max_body
				    : (size_t)settings_int(s, S_UP_MAX_BODY),
		.fresh = o->fresh,
		.send_until_ms = o->send_until_ms,
		.streamed = o->on_data != NULL,
		.want_head = o->want_head,
		.id_field = o->id_field,
	};
}

enum err core_fetch(struct core *c, const struct core_fetch_opts *opts,
		    htab_handle *h)
{
	const char *headers[FETCH_HEADERS_MAX + 1];
	char line[TRACE_PARENT_LEN + 16];
	struct upstream_call_opts up;
	htab_handle id;
	struct fetch_entry *f = htab_add(c->fetches, &id);
	enum err e = ERR_TOO_LARGE;

	if (!f)
		return ERR_FULL;
	if (c->phase == CORE_ENDED) {
		htab_del(c->fetches, id);
		return ERR_CLOSED;
	}
	f->on_head = opts->on_head;
	f->on_data = opts->on_data;
	f->on_done = opts->on_done;
	f->ctx = opts->ctx;
	if (opts->trace)
		trace_header(f, opts->trace, line, sizeof(line));
	if (fetch_headers(opts, opts->trace ? line : NULL, headers)) {
		up = call_opts(c, opts, headers, id);
		e = c->opts.upstream->call(c->up, &up, &f->call);
	}
	if (e != ERR_OK) {
		htab_del(c->fetches, id);
		return e;
	}
	if (h)
		*h = id;
	return ERR_OK;
}

void core_fetch_cancel(struct core *c, htab_handle h)
{
	struct fetch_entry *f = htab_get(c->fetches, h);

	if (!f)
		return;
	span_end(&f->span, "cancelled", NULL);
	c->opts.upstream->cancel(c->up, f->call);
	htab_del(c->fetches, h);
}

static void fetch_done(struct core *c, struct fetch_entry *f,
		       const struct upstream_event *ev)
{
	const struct upstream_result *r = ev->result;
	struct fetch_entry done = *f;
	struct core_fetch_result res = {
		.err = r->err,
		.sent = r->sent,
		.reused = r->reused,
		.framing = r->framing,
		.received = r->received,
		.surplus = r->surplus,
		.status = r->status,
		.body = r->body,
		.body_len = r->body_len,
		.ctype = r->ctype,
		.head = &r->head,
		.total_us = r->total_us,
	};
	char detail[64];

	snprintf(detail, sizeof(detail), "http=%d sent=%d", r->status, r->sent);
	span_end(&done.span, err_code(r->err), detail);
	htab_del(c->fetches, ev->id);
	if (done.on_done)
		done.on_done(c, done.ctx, &res);
	c->opts.upstream->forget(c->up, done.call);
}

void core_fetch_end_all(struct core *c)
{
	static const struct upstream_head no_head;
	static const struct core_fetch_result res = {
		.err = ERR_CLOSED,
		.sent = true,
		.ctype = "",
		.head = &no_head,
	};
	struct fetch_entry *f;
	htab_handle h;
	size_t iter = 0;

	while ((f = htab_next(c->fetches, &iter, &h))) {
		struct fetch_entry ended = *f;

		core_fetch_cancel(c, h);
		if (ended.on_done)
			ended.on_done(c, ended.ctx, &res);
	}
}

void core_on_response_heads(struct core *c,
			    void (*fn)(struct core *c, uint32_t tag, int status,
				       const struct upstream_head *head))
{
	c->on_response_head = fn;
}

static void notify_head(struct core *c, const struct upstream_event *ev)
{
	if (!c->on_response_head || !ev->tag)
		return;
	if (ev->kind == UPSTREAM_HEAD)
		c->on_response_head(c, ev->tag, ev->status, ev->head);
	else if (ev->kind == UPSTREAM_DONE && ev->result->status)
		c->on_response_head(c, ev->tag, ev->result->status,
				    &ev->result->head);
}

void core_on_upstream(struct core *c, struct upstream_event *ev)
{
	struct fetch_entry *f = htab_get(c->fetches, ev->id);

	if (f && f->call != ev->call)
		f = NULL;
	notify_head(c, ev);
	if (f && ev->kind == UPSTREAM_HEAD && f->on_head)
		f->on_head(c, f->ctx, ev->status, ev->head);
	else if (f && ev->kind == UPSTREAM_DATA && f->on_data)
		f->on_data(c, f->ctx, ev->data, ev->len);
	else if (f && ev->kind == UPSTREAM_DONE)
		fetch_done(c, f, ev);
	c->opts.upstream->event_free(ev);
}
