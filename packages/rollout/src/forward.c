// Forwards requests to the owner and replies back, split into parts.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rollout_defs.h"

static void forward_send_parts(struct rollout *r, const char *node,
			       uint64_t run, enum rollout_msg type, uint64_t id,
			       const char *buf, size_t len)
{
	struct msg_part m = {
		.id = id,
		.parts = len / ROLLOUT_PART_BYTES + 1,
	};

	for (m.part = 0; m.part < m.parts; m.part++) {
		size_t off = m.part * ROLLOUT_PART_BYTES;
		size_t n;
		void *part;

		m.buf = buf + off;
		m.len = len - off < ROLLOUT_PART_BYTES ? len - off
						       : ROLLOUT_PART_BYTES;
		part = msg_part_encode(&m, &n);
		rollout_reply(r, node, run, type, part, n);
	}
}

void forward_request(struct rollout *r, struct request *q, const char *node,
		     bool take_over)
{
	struct msg_request m = {
		.take_over = take_over,
		.batch = q->batch,
		.pull = q->pull,
	};
	size_t len;
	void *buf;

	m.pull.wait_ms =
		q->wait_end_ms > r->now_ms ? q->wait_end_ms - r->now_ms : 0;
	buf = msg_request_encode(&m, &len);
	q->state = REQUEST_FORWARDED;
	snprintf(q->forwarded_to, sizeof(q->forwarded_to), "%s", node);
	forward_send_parts(r, node, 0, ROLLOUT_MSG_REQUEST, q->h, buf, len);
	free(buf);
}

void forward_reply(struct rollout *r, const struct request *q,
		   const struct msg_reply *reply)
{
	size_t len;
	void *buf = msg_reply_encode(reply, &len);

	forward_send_parts(r, q->from, q->from_run, ROLLOUT_MSG_REPLY,
			   q->from_id, buf, len);
	free(buf);
}

static struct reassembly *reassembly_find(struct rollout *r, const char *from,
					  enum rollout_msg type, uint64_t id)
{
	for (size_t i = 0; i < r->n_reassemblies; i++) {
		struct reassembly *reasm = &r->reassemblies[i];

		if (reasm->type == type && reasm->id == id &&
		    reasm->run == r->sender_run &&
		    strcmp(reasm->from, from) == 0)
			return reasm;
	}
	return NULL;
}

static void reassembly_del(struct rollout *r, struct reassembly *reasm)
{
	free(reasm->buf);
	*reasm = r->reassemblies[--r->n_reassemblies];
}

static struct reassembly *reassembly_new(struct rollout *r, const char *from,
					 enum rollout_msg type, uint64_t id)
{
	struct reassembly *reasm;

	if (r->n_reassemblies == ROLLOUT_MAX_REASSEMBLIES)
		return NULL;
	reasm = &r->reassemblies[r->n_reassemblies++];
	memset(reasm, 0, sizeof(*reasm));
	snprintf(reasm->from, sizeof(reasm->from), "%s", from);
	reasm->run = r->sender_run;
	reasm->type = type;
	reasm->id = id;
	return reasm;
}

/* Append a part; out is the complete message, else NULL. */
static enum err reassembly_add(struct rollout *r, const char *from,
			       enum rollout_msg type, const struct msg_part *m,
			       char **out, size_t *len)
{
	struct reassembly *reasm = reassembly_find(r, from, type, m->id);
	char *buf;

	*out = NULL;
	if (!reasm && m->part == 0)
		reasm = reassembly_new(r, from, type, m->id);
	if (!reasm || m->part != reasm->next_part)
		return ERR_OK;
	buf = realloc(reasm->buf, reasm->len + m->len + 1);
	if (!buf)
		return ERR_NOMEM;
	memcpy(buf + reasm->len, m->buf, m->len);
	reasm->buf = buf;
	reasm->len += m->len;
	reasm->next_part++;
	reasm->last_part_ms = r->now_ms;
	if (reasm->next_part < m->parts)
		return ERR_OK;
	*out = reasm->buf;
	*len = reasm->len;
	reasm->buf = NULL;
	reassembly_del(r, reasm);
	return ERR_OK;
}

static enum err forward_recv_part(struct rollout *r, const char *from,
				  enum rollout_msg type, const void *buf,
				  size_t len, uint64_t *id, char **out,
				  size_t *n)
{
	struct unpack u;
	struct msg_part m;
	enum err e = msg_part_decode(&u, buf, len, &m);

	*out = NULL;
	if (e == ERR_OK) {
		*id = m.id;
		e = reassembly_add(r, from, type, &m, out, n);
	}
	unpack_end(&u);
	return e;
}

enum err forward_recv_request(struct rollout *r, const char *from,
			      const void *buf, size_t len)
{
	struct msg_request m;
	struct request *q;
	uint64_t id;
	char *message;
	size_t n;
	enum err e = forward_recv_part(r, from, ROLLOUT_MSG_REQUEST, buf, len,
				       &id, &message, &n);

	if (!message)
		return e;
	e = msg_request_decode(message, n, &m);
	free(message);
	if (e != ERR_OK)
		return e;
	q = request_new(r, m.pull.wait_ms);
	if (!q) {
		msg_request_clear(&m);
		return ERR_FULL;
	}
	snprintf(q->from, sizeof(q->from), "%s", from);
	q->from_run = r->sender_run;
	q->from_id = id;
	q->take_over = m.take_over;
	q->batch = m.batch;
	q->pull = m.pull;
	request_route(r, q);
	return ERR_OK;
}

/* The other node is not the owner: route the request again. */
static void forward_reroute(struct rollout *r, struct request *q,
			    bool state_lost)
{
	const char *team = q->batch ? q->batch->team : q->pull.team;
	const char *trainer = q->batch ? q->batch->trainer : q->pull.trainer;
	struct rcache_entry *p = rcache_get(r, team, trainer);

	q->state = REQUEST_ROUTING;
	q->take_over = false;
	if (!p)
		return;
	if (state_lost && strcmp(p->rec.owner, q->forwarded_to) == 0) {
		p->stateless_epoch = p->rec.epoch;
		return;
	}
	rcache_invalidate(p);
}

enum err forward_recv_reply(struct rollout *r, const char *from,
			    const void *buf, size_t len)
{
	struct msg_reply m;
	struct request *q;
	uint64_t id;
	char *message;
	size_t n;
	enum err e = forward_recv_part(r, from, ROLLOUT_MSG_REPLY, buf, len,
				       &id, &message, &n);

	if (!message)
		return e;
	e = msg_reply_decode(message, n, &m);
	free(message);
	if (e != ERR_OK)
		return e;
	q = htab_get(r->requests, (htab_handle)id);
	if (!q || q->state != REQUEST_FORWARDED ||
	    strcmp(q->forwarded_to, from) != 0) {
		msg_reply_clear(&m);
		return ERR_OK;
	}
	if (m.err == ERR_OK && !m.not_owner) {
		q->reply = m;
		request_answer(r, q);
		return ERR_OK;
	}
	if (m.not_owner)
		forward_reroute(r, q, m.state_lost);
	else
		request_refuse(r, q, m.err, 0);
	msg_reply_clear(&m);
	return ERR_OK;
}

void forward_expire(struct rollout *r)
{
	for (size_t i = r->n_reassemblies; i-- > 0;) {
		if (r->now_ms - r->reassemblies[i].last_part_ms >=
		    ROLLOUT_REASSEMBLY_MS)
			reassembly_del(r, &r->reassemblies[i]);
	}
}
