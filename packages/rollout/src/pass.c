// Forwards requests to the owner and replies back, split into parts.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rollout_defs.h"

static void pass_parts(struct rollout *r, const char *node,
		       enum rollout_msg type, uint64_t id, const char *buf,
		       size_t len)
{
	struct msg_part m = {
		.id = id,
		.parts = len / ROLLOUT_PART + 1,
	};

	for (m.part = 0; m.part < m.parts; m.part++) {
		size_t off = m.part * ROLLOUT_PART;
		size_t n;
		void *part;

		m.buf = buf + off;
		m.len = len - off < ROLLOUT_PART ? len - off : ROLLOUT_PART;
		part = msg_part_encode(&m, &n);
		rollout_send(r, node, type, part, n);
	}
}

void pass_on(struct rollout *r, struct request *q, const char *node,
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
	q->state = REQUEST_SENT;
	snprintf(q->sent_to, sizeof(q->sent_to), "%s", node);
	pass_parts(r, node, ROLLOUT_MSG_REQUEST, q->h, buf, len);
	free(buf);
}

void pass_back(struct rollout *r, const struct request *q,
	       const struct msg_reply *reply)
{
	size_t len;
	void *buf = msg_reply_encode(reply, &len);

	pass_parts(r, q->from, ROLLOUT_MSG_REPLY, q->from_id, buf, len);
	free(buf);
}

static struct join *pass_join_find(struct rollout *r, const char *from,
				   enum rollout_msg type, uint64_t id)
{
	for (size_t i = 0; i < r->n_joins; i++) {
		struct join *j = &r->joins[i];

		if (j->type == type && j->id == id &&
		    strcmp(j->from, from) == 0)
			return j;
	}
	return NULL;
}

static void pass_join_del(struct rollout *r, struct join *j)
{
	free(j->buf);
	*j = r->joins[--r->n_joins];
}

static struct join *pass_join_new(struct rollout *r, const char *from,
				  enum rollout_msg type, uint64_t id)
{
	struct join *j;

	if (r->n_joins == ROLLOUT_JOINS)
		return NULL;
	j = &r->joins[r->n_joins++];
	memset(j, 0, sizeof(*j));
	snprintf(j->from, sizeof(j->from), "%s", from);
	j->type = type;
	j->id = id;
	return j;
}

/* Append a part; returns the message in out once it is complete. */
static enum err pass_join(struct rollout *r, const char *from,
			  enum rollout_msg type, const struct msg_part *m,
			  char **out, size_t *len)
{
	struct join *j = pass_join_find(r, from, type, m->id);
	char *buf;

	*out = NULL;
	if (!j && m->part == 0)
		j = pass_join_new(r, from, type, m->id);
	if (!j || m->part != j->next)
		return ERR_OK;
	buf = realloc(j->buf, j->len + m->len + 1);
	if (!buf)
		return ERR_NOMEM;
	memcpy(buf + j->len, m->buf, m->len);
	j->buf = buf;
	j->len += m->len;
	j->next++;
	j->at_ms = r->now_ms;
	if (j->next < m->parts)
		return ERR_OK;
	*out = j->buf;
	*len = j->len;
	j->buf = NULL;
	pass_join_del(r, j);
	return ERR_OK;
}

static enum err pass_whole(struct rollout *r, const char *from,
			   enum rollout_msg type, const void *buf, size_t len,
			   uint64_t *id, char **out, size_t *n)
{
	struct unpack u;
	struct msg_part m;
	enum err e = msg_part_decode(&u, buf, len, &m);

	*out = NULL;
	if (e == ERR_OK) {
		*id = m.id;
		e = pass_join(r, from, type, &m, out, n);
	}
	unpack_end(&u);
	return e;
}

enum err pass_take_request(struct rollout *r, const char *from, const void *buf,
			   size_t len)
{
	struct msg_request m;
	struct request *q;
	uint64_t id;
	char *whole;
	size_t n;
	enum err e = pass_whole(r, from, ROLLOUT_MSG_REQUEST, buf, len, &id,
				&whole, &n);

	if (!whole)
		return e;
	e = msg_request_decode(whole, n, &m);
	free(whole);
	if (e != ERR_OK)
		return e;
	q = request_new(r, m.pull.wait_ms);
	if (!q) {
		msg_request_clear(&m);
		return ERR_FULL;
	}
	snprintf(q->from, sizeof(q->from), "%s", from);
	q->from_id = id;
	q->take_over = m.take_over;
	q->batch = m.batch;
	q->pull = m.pull;
	request_route(r, q);
	return ERR_OK;
}

/* The other node is not the owner: route the request again. */
static void pass_again(struct rollout *r, struct request *q, bool lost)
{
	const char *team = q->batch ? q->batch->team : q->pull.team;
	const char *trainer = q->batch ? q->batch->trainer : q->pull.trainer;
	struct place *p = place_get(r, team, trainer);

	q->state = REQUEST_ROUTE;
	q->take_over = false;
	if (!p)
		return;
	if (lost && strcmp(p->rec.owner, q->sent_to) == 0) {
		p->lost_epoch = p->rec.epoch;
		return;
	}
	place_forget(p);
}

enum err pass_take_reply(struct rollout *r, const char *from, const void *buf,
			 size_t len)
{
	struct msg_reply m;
	struct request *q;
	uint64_t id;
	char *whole;
	size_t n;
	enum err e = pass_whole(r, from, ROLLOUT_MSG_REPLY, buf, len, &id,
				&whole, &n);

	if (!whole)
		return e;
	e = msg_reply_decode(whole, n, &m);
	free(whole);
	if (e != ERR_OK)
		return e;
	q = htab_get(r->requests, (htab_handle)id);
	if (!q || q->state != REQUEST_SENT || strcmp(q->sent_to, from) != 0) {
		msg_reply_clear(&m);
		return ERR_OK;
	}
	if (m.err == ERR_OK && !m.not_owner) {
		q->reply = m;
		request_answer(r, q);
		return ERR_OK;
	}
	if (m.not_owner)
		pass_again(r, q, m.lost);
	else
		request_refuse(r, q, m.err, 0);
	msg_reply_clear(&m);
	return ERR_OK;
}

void pass_sweep(struct rollout *r)
{
	for (size_t i = r->n_joins; i-- > 0;) {
		if (r->now_ms - r->joins[i].at_ms >= ROLLOUT_JOIN_MS)
			pass_join_del(r, &r->joins[i]);
	}
}
