// Sending side of forwarding: sends a request to a node of another failure
// domain, probes it, and receives the answer.
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

/* Request that a message refers to, if it still runs at that node. */
static struct work *out_find(struct core *c, const char *from,
			     const struct work_ref *ref)
{
	struct work *w = htab_get(work_state(c)->requests, ref->h);

	if (!w || w->id != ref->id || w->target_kind != WORK_TARGET_PEER)
		return NULL;
	return strcmp(w->target, from) == 0 ? w : NULL;
}

static void out_fill_open(struct core *c, const struct work *w,
			  struct work_open *m)
{
	*m = (struct work_open){
		.ref = out_ref(w),
		.cls = w->opts.cls,
		.kind = w->opts.kind,
		.idempotent = w->opts.idempotent,
		.preemptible = w->opts.preemptible,
		.streamed = w->opts.on_line != NULL,
		.remaining_ms = w->opts.deadline_ms - core_now(c),
		.cost = w->opts.cost,
		.prefix = w->opts.prefix,
		.body_len = w->opts.body_len,
		.chunk = w->opts.body,
		.chunk_len = w->opts.body_len < WORK_CHUNK_BYTES
				     ? w->opts.body_len
				     : WORK_CHUNK_BYTES,
	};
	snprintf(m->service, sizeof(m->service), "%s", w->opts.service);
	snprintf(m->team, sizeof(m->team), "%s", w->opts.team);
	snprintf(m->method, sizeof(m->method), "%s", w->opts.method);
	snprintf(m->path, sizeof(m->path), "%s", w->opts.path);
	snprintf(m->ctype, sizeof(m->ctype), "%s", w->opts.ctype);
	trace_format(&w->span.ctx, m->trace);
}

enum err work_peer_open(struct core *c, struct work *w, const char *node)
{
	struct core_peer_run to = {.run = 0};
	struct work_ref ref = out_ref(w);
	struct work_open m;
	enum err e;

	if (strlen(w->opts.path) >= WORK_PATH_LEN ||
	    strlen(w->opts.ctype) >= WORK_CTYPE_LEN)
		return ERR_TOO_LARGE;
	snprintf(w->target, sizeof(w->target), "%s", node);
	w->next_line_seq = 0;
	w->last_probe_ms = core_now(c);
	w->peer_body_len = 0;
	out_fill_open(c, w, &m);
	e = work_open_send(c, w->target, &m);
	if (e != ERR_OK)
		return e;
	snprintf(to.node, sizeof(to.node), "%s", node);
	e = work_send_chunks(c, &to, PEER_WORK_CHUNK, &ref, w->opts.body,
			     w->opts.body_len);
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

static void out_finish(struct core *c, struct work *w, struct work_result *res)
{
	struct attempt_outcome out = {
		.err = res->err,
		.sent = true,
		.not_run = res->err != ERR_OK && res->run == RUN_NO,
		.delivered = w->delivered,
		.status = res->status,
		.retry_after_ms = res->retry_after_ms,
	};
	struct work_buf body = w->partial;

	w->partial = (struct work_buf){0};
	res->body = body.data;
	res->body_len = body.len;
	work_attempt_end(c, w, &out, res);
	work_buf_free(&body);
}

static void out_fail(struct core *c, struct work *w, enum err e)
{
	struct work_result res = {.err = e, .run = RUN_MAYBE, .ctype = ""};

	work_buf_free(&w->partial);
	out_finish(c, w, &res);
}

static void out_log_malformed(const char *from, const char *what)
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
	w = r.malformed ? NULL : out_find(c, from, &ref);
	if (r.malformed) {
		out_log_malformed(from, "line");
	} else if (w && w->opts.on_line && number == w->next_line_seq) {
		w->next_line_seq++;
		w->delivered = true;
		w->last_probe_ms = core_now(c);
		w->opts.on_line(c, w->opts.ctx, line, n);
	} else if (w) {
		out_fail(c, w, ERR_WORK_BROKEN);
	}
	work_read_end(&r);
}

static void out_handle_done(struct core *c, struct work *w,
			    const struct work_done *m)
{
	enum err e;

	if (m->lines != w->next_line_seq) {
		out_fail(c, w, ERR_WORK_BROKEN);
		return;
	}
	w->peer_ctype = arena_strdup(&w->arena, m->ctype);
	w->peer_result = (struct work_result){
		.err = m->err,
		.run = m->run,
		.status = m->status,
		.ctype = w->peer_ctype ? w->peer_ctype : "",
		.retry_after_ms = m->retry_after_ms,
		.server = arena_strdup(&w->arena, m->server),
	};
	w->peer_body_len = m->body_len;
	e = work_buf_add(&w->partial, m->chunk, m->chunk_len,
			 WORK_BODY_MAX_BYTES);
	if (e != ERR_OK)
		out_fail(c, w, e);
	else if (w->partial.len == w->peer_body_len)
		out_finish(c, w, &w->peer_result);
}

static void out_on_done(struct core *c, void *ctx, const char *from,
			const void *buf, size_t len)
{
	struct work_reader r;
	struct work_done m;
	struct work *w;

	if (!work_done_read(&r, buf, len, &m)) {
		out_log_malformed(from, "done");
	} else {
		w = out_find(c, from, &m.ref);
		if (w && w->peer_body_len == 0)
			out_handle_done(c, w, &m);
	}
	work_read_end(&r);
}

static void out_on_done_chunk(struct core *c, void *ctx, const char *from,
			      const void *buf, size_t len)
{
	struct work_reader r;
	struct work_chunk chunk;
	struct work *w = NULL;

	if (work_read_chunk(&r, buf, len, &chunk))
		w = out_find(c, from, &chunk.ref);
	else
		out_log_malformed(from, "done-chunk");
	if (w && (chunk.offset != w->partial.len ||
		  chunk.len > w->peer_body_len - chunk.offset))
		out_fail(c, w, ERR_WORK_BROKEN);
	else if (w && work_buf_add(&w->partial, chunk.data, chunk.len,
				   WORK_BODY_MAX_BYTES))
		out_fail(c, w, ERR_NOMEM);
	else if (w && w->partial.len == w->peer_body_len)
		out_finish(c, w, &w->peer_result);
	work_read_end(&r);
}

static bool out_peer_dead(struct core *c, const char *node)
{
	size_t n;
	const struct member_view *all = member_mod_members(c, &n);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(all[i].id, node) == 0)
			return all[i].state == MEMBER_DEAD;
	}
	return true;
}

static void out_check_peer(struct core *c, struct work *w, int64_t now)
{
	if (out_peer_dead(c, w->target)) {
		out_fail(c, w, ERR_WORK_PEER_LOST);
		return;
	}
	if (now - w->last_probe_ms >= WORK_PROBE_INTERVAL_MS) {
		w->last_probe_ms = now;
		out_send_ref(c, w, PEER_WORK_PROBE);
	}
}

void work_peer_tick(struct core *c, int64_t now)
{
	struct work_state *s = work_state(c);
	struct work *w;
	size_t iter = 0;

	while ((w = htab_next(s->requests, &iter, NULL))) {
		if (w->target_kind == WORK_TARGET_PEER)
			out_check_peer(c, w, now);
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
