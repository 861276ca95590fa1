// Replication: streams to the backups of this node's trainers, and the copies
// that this node holds for other owners.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rollout_defs.h"

static void copy_send(void *ctx, const struct stream *s, uint64_t seq,
		      const struct stream_chunk *chunk)
{
	const struct owner *o = ctx;
	struct msg_op m = {
		.epoch = s->epoch,
		.stream = s->id,
		.seq = seq,
		.last = chunk->last,
		.buf = chunk->buf,
		.len = chunk->len,
	};
	size_t len;
	void *buf;

	memcpy(m.team, o->home->team, sizeof(m.team));
	memcpy(m.trainer, o->home->trainer, sizeof(m.trainer));
	buf = msg_op_encode(&m, &len);
	o->r->stats.copy_bytes += len;
	rollout_send(o->r, s->node, ROLLOUT_MSG_OP, buf, len);
}

void copy_send_pending(struct owner *o)
{
	if (o->backup)
		stream_pump(o->backup, o->r->now_ms, copy_send, o);
	if (o->next_backup)
		stream_pump(o->next_backup, o->r->now_ms, copy_send, o);
}

struct copy_snapshot {
	struct stream *s;
	int64_t now_ms;
};

static void copy_snapshot_op(void *ctx, const struct op *op)
{
	const struct copy_snapshot *f = ctx;
	size_t len;
	void *buf = op_encode(op, &len);

	if (buf)
		stream_put(f->s, buf, len, f->now_ms);
	free(buf);
}

struct stream *copy_start_stream(struct owner *o, const char *node,
				 uint64_t epoch)
{
	struct rollout *r = o->r;
	struct stream *s =
		stream_new(node, ++r->last_stream_id, epoch, r->now_ms);
	struct copy_snapshot f = {s, r->now_ms};

	if (!s)
		return NULL;
	home_snapshot(o->home, copy_snapshot_op, &f);
	s->snapshot_seq = s->last_seq;
	return s;
}

struct replica *copy_find(struct rollout *r, const char *team,
			  const char *trainer, const char *owner)
{
	for (size_t i = 0; i < r->n_replicas; i++) {
		struct replica *rep = r->replicas[i];

		if (strcmp(rep->team, team) == 0 &&
		    strcmp(rep->trainer, trainer) == 0 &&
		    strcmp(rep->owner, owner) == 0)
			return rep;
	}
	return NULL;
}

void copy_drop(struct rollout *r, struct replica *rep)
{
	for (size_t i = 0; i < r->n_replicas; i++) {
		if (r->replicas[i] == rep)
			r->replicas[i] = r->replicas[--r->n_replicas];
	}
	replica_free(rep);
}

/* Copy that a chunk belongs to; the first chunk of a new stream resets it. */
static struct replica *copy_for_chunk(struct rollout *r, const char *from,
				      const struct msg_op *m)
{
	struct replica *rep = copy_find(r, m->team, m->trainer, from);

	if (rep && rep->stream == m->stream)
		return rep;
	if (m->seq != 1 || (rep && m->epoch < rep->epoch))
		return NULL;
	if (!rep) {
		if (r->n_replicas == ROLLOUT_MAX_TRAINERS)
			return NULL;
		rep = replica_new(m->team, m->trainer, from);
		if (!rep)
			return NULL;
		r->replicas[r->n_replicas++] = rep;
	}
	replica_restart(rep, m->epoch, m->stream);
	return rep;
}

static void copy_send_ack(struct rollout *r, const char *to,
			  const struct msg_op *m, uint64_t acked,
			  enum copy_status status)
{
	struct msg_ack ack = {
		.stream = m->stream,
		.acked = acked,
		.status = status,
	};
	size_t len;
	void *buf;

	memcpy(ack.team, m->team, sizeof(ack.team));
	memcpy(ack.trainer, m->trainer, sizeof(ack.trainer));
	buf = msg_ack_encode(&ack, &len);
	rollout_reply(r, to, r->sender_run, ROLLOUT_MSG_ACK, buf, len);
}

static enum err copy_apply(struct rollout *r, const char *from,
			   const struct msg_op *m)
{
	struct replica *rep = copy_for_chunk(r, from, m);
	enum err e = ERR_OK;

	if (rep && !rep->broken && !rep->fenced && m->seq == rep->acked + 1)
		e = replica_apply_chunk(rep, m->buf, m->len, m->last);
	if (!rep && r->opts.flaw == ROLLOUT_FLAW_NO_FENCE)
		copy_send_ack(r, from, m, m->seq, COPY_OK);
	else if (!rep || rep->broken)
		copy_send_ack(r, from, m, 0, COPY_UNKNOWN_STREAM);
	else if (rep->fenced)
		copy_send_ack(r, from, m, 0, COPY_FENCED);
	else
		copy_send_ack(r, from, m, rep->acked, COPY_OK);
	return e;
}

enum err copy_recv_op(struct rollout *r, const char *from, const void *buf,
		      size_t len)
{
	struct unpack u;
	struct msg_op m;
	enum err e = msg_op_decode(&u, buf, len, &m);

	if (e == ERR_OK)
		e = copy_apply(r, from, &m);
	unpack_end(&u);
	return e;
}

static void copy_apply_ack(struct stream *s, const char *from,
			   const struct msg_ack *ack, int64_t now_ms)
{
	if (!s || s->id != ack->stream || strcmp(s->node, from) != 0)
		return;
	if (ack->status == COPY_OK)
		stream_ack(s, ack->acked, now_ms);
	else
		s->failed = true;
}

enum err copy_recv_ack(struct rollout *r, const char *from, const void *buf,
		       size_t len)
{
	struct msg_ack ack;
	struct owner *o;
	enum err e = msg_ack_decode(buf, len, &ack);

	if (e != ERR_OK)
		return e;
	o = owner_find(r, ack.team, ack.trainer);
	if (!o)
		return ERR_OK;
	copy_apply_ack(o->backup, from, &ack, r->now_ms);
	copy_apply_ack(o->next_backup, from, &ack, r->now_ms);
	claim_step(o);
	return ERR_OK;
}

/* The record has a newer epoch, so nobody will take over from this copy. */
static bool copy_is_outdated(struct rollout *r, const struct replica *rep)
{
	const struct rcache_entry *p = rcache_get(r, rep->team, rep->trainer);

	return p && p->valid && p->exists && p->rev > 0 &&
	       p->rec.epoch > rep->epoch;
}

void copy_drop_outdated(struct rollout *r)
{
	for (size_t i = r->n_replicas; i-- > 0;) {
		if (copy_is_outdated(r, r->replicas[i]))
			copy_drop(r, r->replicas[i]);
	}
}
