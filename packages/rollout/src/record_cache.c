// Cache of ownership records.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rollout_defs.h"

struct rcache_entry *rcache_get(struct rollout *r, const char *team,
				const char *trainer)
{
	struct rcache_entry *p;

	for (size_t i = 0; i < r->n_rcache; i++) {
		p = r->rcache[i];
		if (strcmp(p->team, team) == 0 &&
		    strcmp(p->trainer, trainer) == 0)
			return p;
	}
	if (r->n_rcache == ROLLOUT_MAX_TRAINERS)
		return NULL;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	snprintf(p->team, sizeof(p->team), "%s", team);
	snprintf(p->trainer, sizeof(p->trainer), "%s", trainer);
	r->rcache[r->n_rcache++] = p;
	return p;
}

void rcache_read(struct rollout *r, struct rcache_entry *p)
{
	if (p->pending_call != 0 || r->now_ms < p->retry_ms)
		return;
	p->pending_call = kv_read(r, KV_READ_RCACHE, p->team, p->trainer);
}

void rcache_invalidate(struct rcache_entry *p)
{
	p->valid = false;
}

void rcache_set(struct rollout *r, const char *team, const char *trainer,
		const struct record *rec, uint64_t rev)
{
	struct rcache_entry *p = rcache_get(r, team, trainer);

	if (!p)
		return;
	p->valid = true;
	p->exists = true;
	p->rec = *rec;
	p->rev = rev;
	p->read_ms = r->now_ms;
}

/* The key-value store failed; the owner may be among the peers. */
static void rcache_query_peers(struct rollout *r, const struct rcache_entry *p)
{
	struct msg_owner query = {0};

	memcpy(query.team, p->team, sizeof(query.team));
	memcpy(query.trainer, p->trainer, sizeof(query.trainer));
	for (size_t i = 0; i < r->n_members; i++) {
		size_t len;
		void *buf;

		if (!r->members[i].alive)
			continue;
		buf = msg_owner_encode(&query, &len);
		rollout_send(r, r->members[i].id, ROLLOUT_MSG_OWNER_QUERY, buf,
			     len);
	}
}

void rcache_read_done(struct rollout *r, const struct kv_call *call,
		      const struct rollout_kv *res)
{
	struct rcache_entry *p = rcache_get(r, call->team, call->trainer);
	struct record rec;

	if (!p)
		return;
	p->pending_call = 0;
	if (res->err == ERR_NOT_FOUND) {
		p->valid = true;
		p->exists = false;
		p->rev = 0;
		p->read_ms = r->now_ms;
		return;
	}
	if (res->err == ERR_OK &&
	    record_parse(res->value, res->len, &rec) == ERR_OK) {
		rcache_set(r, p->team, p->trainer, &rec, res->rev);
		return;
	}
	p->retry_ms = r->now_ms + KV_RETRY_MS;
	rcache_query_peers(r, p);
}

enum err rcache_recv_owner_query(struct rollout *r, const char *from,
				 const void *buf, size_t len)
{
	struct msg_owner query;
	enum err e = msg_owner_decode(buf, len, &query);
	const struct owner *o;
	void *answer;
	size_t n;

	if (e != ERR_OK)
		return e;
	o = owner_find(r, query.team, query.trainer);
	if (!o || !o->active)
		return ERR_OK;
	query.record = o->rec;
	answer = msg_owner_encode(&query, &n);
	rollout_send(r, from, ROLLOUT_MSG_OWNER_REPLY, answer, n);
	return ERR_OK;
}

enum err rcache_recv_owner_reply(struct rollout *r, const void *buf, size_t len)
{
	struct msg_owner reply;
	enum err e = msg_owner_decode(buf, len, &reply);
	const struct rcache_entry *p;

	if (e != ERR_OK)
		return e;
	p = rcache_get(r, reply.team, reply.trainer);
	if (p && p->valid && p->exists && p->rec.epoch >= reply.record.epoch)
		return ERR_OK;
	rcache_set(r, reply.team, reply.trainer, &reply.record, 0);
	return ERR_OK;
}
