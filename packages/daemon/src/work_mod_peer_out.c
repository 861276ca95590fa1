// Forwarding, the sending end: hands a request to a node of another failure
// domain and takes its answer.
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "daemon/member_mod.h"
#include "work_mod_peer.h"

enum {
	LINE_FIELDS = 4,
	REF_FIELDS = 2,
};

static struct work_ref out_ref(const struct work *w)
{
	return (struct work_ref){w->h, w->id};
}

/* The request that a message speaks of, if it still runs at that node. */
static struct work *out_work(struct core *c, const char *from,
			     const struct work_ref *ref)
{
	struct work *w = htab_get(work_state(c)->works, ref->h);

	if (!w || w->id != ref->id || w->via != WORK_VIA_PEER)
		return NULL;
	return strcmp(w->target, from) == 0 ? w : NULL;
}

static void out_fill(struct core *c, const struct work *w, struct work_open *m)
{
	*m = (struct work_open){
		.ref = out_ref(w),
		.cls = w->o.cls,
		.kind = w->o.kind,
		.idempotent = w->o.idempotent,
		.may_cut = w->o.may_cut,
		.streamed = w->o.on_line != NULL,
		.left_ms = w->o.deadline_ms - core_now(c),
		.cost = w->o.cost,
		.prefix = w->o.prefix,
		.body_len = w->o.body_len,
		.chunk = w->o.body,
		.chunk_len =
			w->o.body_len < WORK_CHUNK ? w->o.body_len : WORK_CHUNK,
	};
	snprintf(m->service, sizeof(m->service), "%s", w->o.service);
	snprintf(m->team, sizeof(m->team), "%s", w->o.team);
	snprintf(m->method, sizeof(m->method), "%s", w->o.method);
	snprintf(m->path, sizeof(m->path), "%s", w->o.path);
	snprintf(m->ctype, sizeof(m->ctype), "%s", w->o.ctype);
	trace_format(&w->span.ctx, m->trace);
}

enum err work_peer_open(struct core *c, struct work *w, const char *node)
{
	struct work_ref ref = out_ref(w);
	struct work_open m;
	enum err e;

	if (strlen(w->o.path) >= WORK_PATH_LEN ||
	    strlen(w->o.ctype) >= WORK_CTYPE_LEN)
		return ERR_TOO_LARGE;
	snprintf(w->target, sizeof(w->target), "%s", node);
	w->next_line = 0;
	w->probe_ms = core_now(c);
	w->peer_total = 0;
	out_fill(c, w, &m);
	e = work_open_send(c, w->target, &m);
	if (e != ERR_OK)
		return e;
	e = work_send_chunks(c, w->target, PEER_WORK_CHUNK, &ref, w->o.body,
			     w->o.body_len);
	if (e == ERR_OK)
		metric_add(M_WORK_FORWARDED, 1);
	return e;
}

static void out_send_ref(struct core *c, const struct work *w,
			 enum core_peer_msg type)
{
	struct work_ref ref = out_ref(w);
	msgpack_sbuffer sb;
	msgpack_packer pk;

	work_pack_begin(&pk, &sb, REF_FIELDS, &ref);
	work_pack_send(c, w->target, type, &sb);
}

void work_peer_cancel(struct core *c, struct work *w)
{
	out_send_ref(c, w, PEER_WORK_CANCEL);
}

static void out_end(struct core *c, struct work *w, struct work_result *res)
{
	struct attempt_outcome out = {
		.err = res->err,
		.sent = true,
		.not_run = res->err != ERR_OK && res->run == RUN_NO,
		.delivered = w->delivered,
		.status = res->status,
		.retry_after_ms = res->retry_after_ms,
	};
	struct work_buf body = w->part;

	w->part = (struct work_buf){0};
	res->body = body.data;
	res->body_len = body.len;
	work_attempt_end(c, w, &out, res);
	work_buf_free(&body);
}

static void out_broken(struct core *c, struct work *w, enum err e)
{
	struct work_result res = {.err = e, .run = RUN_MAYBE, .ctype = ""};

	work_buf_free(&w->part);
	out_end(c, w, &res);
}

static void out_bad(const char *from, const char *what)
{
	log_event(EV_WORK_PEER_BAD, "from=%s message=%s", from, what);
}

static void out_on_line(struct core *c, void *ctx, const char *from,
			const void *buf, size_t len)
{
	struct work_reader r;
	struct work_ref ref;
	struct work *w;
	uint64_t number;
	const char *line;
	size_t n;

	work_read_begin(&r, buf, len, LINE_FIELDS);
	work_read_ref(&r, &ref);
	number = work_read_u64(&r, UINT64_MAX);
	line = work_read_bin(&r, &n);
	w = r.bad ? NULL : out_work(c, from, &ref);
	if (r.bad) {
		out_bad(from, "line");
	} else if (w && w->o.on_line && number == w->next_line) {
		w->next_line++;
		w->delivered = true;
		w->probe_ms = core_now(c);
		w->o.on_line(c, w->o.ctx, line, n);
	} else if (w) {
		out_broken(c, w, ERR_WORK_BROKEN);
	}
	work_read_end(&r);
}

static void out_take_done(struct core *c, struct work *w,
			  const struct work_done *m)
{
	enum err e;

	if (m->lines != w->next_line) {
		out_broken(c, w, ERR_WORK_BROKEN);
		return;
	}
	w->peer_ctype = arena_strdup(&w->arena, m->ctype);
	w->peer_res = (struct work_result){
		.err = m->err,
		.run = m->run,
		.status = m->status,
		.ctype = w->peer_ctype ? w->peer_ctype : "",
		.retry_after_ms = m->retry_after_ms,
		.server = arena_strdup(&w->arena, m->server),
	};
	w->peer_total = m->body_len;
	e = work_buf_add(&w->part, m->chunk, m->chunk_len, WORK_BODY_MAX);
	if (e != ERR_OK)
		out_broken(c, w, e);
	else if (w->part.len == w->peer_total)
		out_end(c, w, &w->peer_res);
}

static void out_on_done(struct core *c, void *ctx, const char *from,
			const void *buf, size_t len)
{
	struct work_reader r;
	struct work_done m;
	struct work *w;

	if (!work_done_read(&r, buf, len, &m)) {
		out_bad(from, "done");
	} else {
		w = out_work(c, from, &m.ref);
		if (w && w->peer_total == 0)
			out_take_done(c, w, &m);
	}
	work_read_end(&r);
}

static void out_on_done_chunk(struct core *c, void *ctx, const char *from,
			      const void *buf, size_t len)
{
	struct work_reader r;
	struct work_chunk k;
	struct work *w = NULL;

	if (work_read_chunk(&r, buf, len, &k))
		w = out_work(c, from, &k.ref);
	else
		out_bad(from, "done-chunk");
	if (w && (k.offset != w->part.len || k.len > w->peer_total - k.offset))
		out_broken(c, w, ERR_WORK_BROKEN);
	else if (w && work_buf_add(&w->part, k.data, k.len, WORK_BODY_MAX))
		out_broken(c, w, ERR_NOMEM);
	else if (w && w->part.len == w->peer_total)
		out_end(c, w, &w->peer_res);
	work_read_end(&r);
}

static bool out_peer_dead(struct core *c, const char *node)
{
	size_t n;
	const struct member_view *all = member_mod_all(c, &n);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(all[i].id, node) == 0)
			return all[i].state == MEMBER_DEAD;
	}
	return true;
}

static void out_check(struct core *c, struct work *w, int64_t now)
{
	if (out_peer_dead(c, w->target)) {
		out_broken(c, w, ERR_WORK_PEER_LOST);
		return;
	}
	if (now - w->probe_ms >= WORK_PROBE_MS) {
		w->probe_ms = now;
		out_send_ref(c, w, PEER_WORK_PROBE);
	}
}

void work_peer_tick(struct core *c, int64_t now)
{
	struct work_state *s = work_state(c);
	struct work *w;
	size_t iter = 0;

	while ((w = htab_next(s->works, &iter, NULL))) {
		if (w->via == WORK_VIA_PEER)
			out_check(c, w, now);
	}
}

enum err work_peer_out_start(struct core *c)
{
	enum err e = core_peer_on(c, PEER_WORK_LINE, out_on_line, NULL);

	if (e == ERR_OK)
		e = core_peer_on(c, PEER_WORK_DONE, out_on_done, NULL);
	if (e == ERR_OK)
		e = core_peer_on(c, PEER_WORK_DONE_CHUNK, out_on_done_chunk,
				 NULL);
	return e;
}
