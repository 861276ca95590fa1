// Receiving side of forwarding: runs a request for a node of another failure
// domain, under this domain's own limits, and returns the answer.
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "work_mod_peer.h"

enum {
	LINE_FIELDS = 4,
	REF_FIELDS = 2,
	IN_RETRY_AFTER_MS = 500, ///< of a rejection without a delay
	IN_BODY_TIMEOUT_MS = 30000, ///< then an incomplete request is dropped
};

/// Request from another node.
struct work_inbound {
	htab_handle h;
	struct core_peer_run from;
	struct work_ref ref; ///< its id there, numbered anew by each process
	struct work_open open; ///< `chunk` is no longer valid
	struct work_buf body;
	struct trace_ctx trace;
	htab_handle work; ///< 0 until the body is complete
	uint64_t lines; ///< streamed lines returned
	int64_t received_ms;
	htab_handle next_in_bucket; ///< 0 at the end
};

static struct work_inbound *in_get(struct core *c, void *ctx)
{
	return htab_get(work_state(c)->inbound_requests,
			(htab_handle)(uintptr_t)ctx);
}

/* Head of the request's hash chain. */
static htab_handle *in_bucket(struct work_state *s,
			      const struct core_peer_run *from,
			      const struct work_ref *ref)
{
	uint64_t hash =
		XXH64(from->node, strlen(from->node), ref->id ^ from->run);

	return &s->inbound_buckets[hash % WORK_INBOUND_MAX];
}

/* A request of the process whose message is being handled. */
static struct work_inbound *in_find(struct core *c, const struct work_ref *ref)
{
	struct work_state *s = work_state(c);
	struct core_peer_run from = core_peer_sender(c);
	struct work_inbound *in =
		htab_get(s->inbound_requests, *in_bucket(s, &from, ref));

	while (in) {
		if (in->ref.h == ref->h && in->ref.id == ref->id &&
		    in->from.run == from.run &&
		    strcmp(in->from.node, from.node) == 0)
			return in;
		in = htab_get(s->inbound_requests, in->next_in_bucket);
	}
	return NULL;
}

static void in_free(struct core *c, struct work_inbound *in)
{
	struct work_state *s = work_state(c);
	htab_handle *link = in_bucket(s, &in->from, &in->ref);

	while (*link != in->h) {
		struct work_inbound *other =
			htab_get(s->inbound_requests, *link);

		link = &other->next_in_bucket;
	}
	*link = in->next_in_bucket;
	work_buf_free(&in->body);
	htab_del(s->inbound_requests, in->h);
}

static void in_send_done(struct core *c, const struct core_peer_run *to,
			 const struct work_ref *ref, uint64_t lines,
			 const struct work_result *res)
{
	size_t len = res->body_len <= WORK_BODY_MAX_BYTES ? res->body_len : 0;
	struct work_done m = {
		.ref = *ref,
		.err = len == res->body_len ? res->err : ERR_TOO_LARGE,
		.run = res->run,
		.status = res->status,
		.retry_after_ms = res->retry_after_ms,
		.lines = lines,
		.body_len = len,
		.chunk = res->body,
		.chunk_len = len < WORK_CHUNK_BYTES ? len : WORK_CHUNK_BYTES,
	};

	snprintf(m.server, sizeof(m.server), "%s",
		 res->server ? res->server : "");
	snprintf(m.ctype, sizeof(m.ctype), "%s", res->ctype ? res->ctype : "");
	if (work_done_send(c, to, &m) == ERR_OK)
		work_send_chunks(c, to, PEER_WORK_DONE_CHUNK, ref, res->body,
				 len);
}

static void in_reject(struct core *c, const struct core_peer_run *to,
		      const struct work_ref *ref, enum err e,
		      enum run_state run, int64_t retry_after_ms)
{
	struct work_result res = {
		.err = e,
		.run = run,
		.retry_after_ms =
			retry_after_ms ? retry_after_ms : IN_RETRY_AFTER_MS,
	};

	in_send_done(c, to, ref, 0, &res);
}

static void in_on_line(struct core *c, void *ctx, const char *line, size_t len)
{
	struct work_inbound *in = in_get(c, ctx);
	msgpack_sbuffer sb;
	msgpack_packer pk;

	if (!in)
		return;
	work_pack_begin(&pk, &sb, LINE_FIELDS, &in->ref);
	msgpack_pack_uint64(&pk, in->lines++);
	work_pack_bin(&pk, line, len);
	work_pack_reply(c, &in->from, PEER_WORK_LINE, &sb);
}

static void in_on_done(struct core *c, void *ctx, const struct work_result *res)
{
	struct work_inbound *in = in_get(c, ctx);

	if (!in)
		return;
	in_send_done(c, &in->from, &in->ref, in->lines, res);
	in_free(c, in);
}

static void in_submit(struct core *c, struct work_inbound *in)
{
	struct work_open *m = &in->open;
	int64_t retry_after_ms = 0;
	struct work_opts o = {
		.cls = m->cls,
		.kind = m->kind,
		.service = m->service,
		.team = m->team,
		.method = m->method,
		.path = m->path,
		.body = in->body.data,
		.body_len = in->body.len,
		.ctype = m->ctype,
		.idempotent = m->idempotent,
		.deadline_ms = in->received_ms + m->remaining_ms,
		.cost = m->cost,
		.prefix = m->prefix,
		.preemptible = m->preemptible,
		.trace = &in->trace,
		.on_line = m->streamed ? in_on_line : NULL,
		.on_done = in_on_done,
		.ctx = (void *)(uintptr_t)in->h,
	};
	enum err e = work_submit_from(c, &o, true, &in->work, &retry_after_ms);

	if (e == ERR_OK)
		return;
	in_reject(c, &in->from, &in->ref, e, RUN_NO, retry_after_ms);
	in_free(c, in);
}

static void in_append_body(struct core *c, struct work_inbound *in,
			   const char *data, size_t len)
{
	enum err e = work_buf_add(&in->body, data, len, in->open.body_len);

	if (e != ERR_OK) {
		in_reject(c, &in->from, &in->ref, e, RUN_NO, 0);
		in_free(c, in);
	} else if (in->body.len == in->open.body_len) {
		in_submit(c, in);
	}
}

static void in_open(struct core *c, const struct work_open *m)
{
	struct work_state *s = work_state(c);
	struct core_peer_run from = core_peer_sender(c);
	struct work_inbound *in;
	htab_handle h;

	if (in_find(c, &m->ref))
		return;
	in = core_draining(c) ? NULL : htab_add(s->inbound_requests, &h);
	if (!in) {
		in_reject(c, &from, &m->ref, ERR_ADMIT_FULL, RUN_NO, 0);
		return;
	}
	in->h = h;
	in->ref = m->ref;
	in->open = *m;
	in->received_ms = core_now(c);
	in->from = from;
	in->next_in_bucket = *in_bucket(s, &from, &m->ref);
	*in_bucket(s, &from, &m->ref) = h;
	trace_parse(&in->trace, m->trace);
	in_append_body(c, in, m->chunk, m->chunk_len);
}

static void in_on_open(struct core *c, void *ctx, const char *from,
		       const void *buf, size_t len)
{
	struct work_reader r;
	struct work_open m;

	if (work_open_read(&r, buf, len, &m))
		in_open(c, &m);
	else
		log_event(EV_WORK_PEER_BAD, "from=%s message=open", from);
	work_read_end(&r);
}

static void in_on_chunk(struct core *c, void *ctx, const char *from,
			const void *buf, size_t len)
{
	struct work_reader r;
	struct work_chunk chunk;
	struct work_inbound *in = NULL;

	if (work_read_chunk(&r, buf, len, &chunk))
		in = in_find(c, &chunk.ref);
	else
		log_event(EV_WORK_PEER_BAD, "from=%s message=chunk", from);
	if (in && !in->work && chunk.offset == in->body.len)
		in_append_body(c, in, chunk.data, chunk.len);
	work_read_end(&r);
}

static bool in_read_ref(const char *from, const void *buf, size_t len,
			struct work_ref *ref)
{
	struct work_reader r;
	bool ok;

	work_read_begin(&r, buf, len, REF_FIELDS);
	work_read_ref(&r, ref);
	ok = !r.malformed;
	work_read_end(&r);
	if (!ok)
		log_event(EV_WORK_PEER_BAD, "from=%s message=ref", from);
	return ok;
}

static void in_on_cancel(struct core *c, void *ctx, const char *from,
			 const void *buf, size_t len)
{
	struct work_ref ref;
	struct work_inbound *in;

	if (!in_read_ref(from, buf, len, &ref))
		return;
	in = in_find(c, &ref);
	if (!in)
		return;
	if (in->work)
		work_cancel(c, in->work);
	in_free(c, in);
}

/* A probe of an unknown request: its open or done message was lost. */
static void in_on_probe(struct core *c, void *ctx, const char *from,
			const void *buf, size_t len)
{
	struct core_peer_run sender = core_peer_sender(c);
	struct work_ref ref;

	if (in_read_ref(from, buf, len, &ref) && !in_find(c, &ref))
		in_reject(c, &sender, &ref, ERR_WORK_PEER_LOST, RUN_MAYBE, 0);
}

void work_peer_in_tick(struct core *c, int64_t now)
{
	struct work_inbound *in;
	size_t iter = 0;

	while ((in = htab_next(work_state(c)->inbound_requests, &iter, NULL))) {
		if (!in->work && now - in->received_ms > IN_BODY_TIMEOUT_MS)
			in_free(c, in);
	}
}

enum err work_peer_in_start(struct core *c, struct work_state *s)
{
	enum err e;

	s->inbound_requests =
		htab_new(WORK_INBOUND_MAX, sizeof(struct work_inbound));
	if (!s->inbound_requests)
		return ERR_NOMEM;
	e = core_peer_on(c, PEER_WORK_OPEN, in_on_open, NULL);
	if (e == ERR_OK)
		e = core_peer_on(c, PEER_WORK_CHUNK, in_on_chunk, NULL);
	if (e == ERR_OK)
		e = core_peer_on(c, PEER_WORK_CANCEL, in_on_cancel, NULL);
	if (e == ERR_OK)
		e = core_peer_on(c, PEER_WORK_PROBE, in_on_probe, NULL);
	return e;
}

void work_peer_in_stop(struct work_state *s)
{
	struct work_inbound *in;
	size_t iter = 0;

	while (s->inbound_requests &&
	       (in = htab_next(s->inbound_requests, &iter, NULL)))
		work_buf_free(&in->body);
	htab_free(s->inbound_requests);
}
