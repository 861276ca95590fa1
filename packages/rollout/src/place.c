// Cache of ownership records: which node owns which trainer's batches.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rollout_defs.h"

struct place *place_get(struct rollout *r, const char *team,
			const char *trainer)
{
	struct place *p;

	for (size_t i = 0; i < r->n_places; i++) {
		p = r->places[i];
		if (strcmp(p->team, team) == 0 &&
		    strcmp(p->trainer, trainer) == 0)
			return p;
	}
	if (r->n_places == ROLLOUT_HOMES)
		return NULL;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	snprintf(p->team, sizeof(p->team), "%s", team);
	snprintf(p->trainer, sizeof(p->trainer), "%s", trainer);
	r->places[r->n_places++] = p;
	return p;
}

void place_read(struct rollout *r, struct place *p)
{
	if (p->call != 0 || r->now_ms < p->retry_ms)
		return;
	p->call = kv_read(r, KV_READ_PLACE, p->team, p->trainer);
}

void place_forget(struct place *p)
{
	p->known = false;
}

void place_set(struct rollout *r, const char *team, const char *trainer,
	       const struct record *rec, uint64_t rev)
{
	struct place *p = place_get(r, team, trainer);

	if (!p)
		return;
	p->known = true;
	p->found = true;
	p->rec = *rec;
	p->rev = rev;
	p->read_ms = r->now_ms;
}

/* The key-value store does not answer. Ask the peers, as the owner may be
 * one of them. */
static void place_ask_peers(struct rollout *r, const struct place *p)
{
	struct msg_who who = {0};

	memcpy(who.team, p->team, sizeof(who.team));
	memcpy(who.trainer, p->trainer, sizeof(who.trainer));
	for (size_t i = 0; i < r->n_members; i++) {
		size_t len;
		void *buf;

		if (!r->members[i].alive)
			continue;
		buf = msg_who_encode(&who, &len);
		rollout_send(r, r->members[i].id, ROLLOUT_MSG_WHO, buf, len);
	}
}

void place_answer(struct rollout *r, const struct kv_call *call,
		  const struct rollout_kv *res)
{
	struct place *p = place_get(r, call->team, call->trainer);
	struct record rec;

	if (!p)
		return;
	p->call = 0;
	if (res->err == ERR_NOT_FOUND) {
		p->known = true;
		p->found = false;
		p->rev = 0;
		p->read_ms = r->now_ms;
		return;
	}
	if (res->err == ERR_OK &&
	    record_parse(res->value, res->len, &rec) == ERR_OK) {
		place_set(r, p->team, p->trainer, &rec, res->rev);
		return;
	}
	p->retry_ms = r->now_ms + KV_RETRY_MS;
	place_ask_peers(r, p);
}

enum err place_who(struct rollout *r, const char *from, const void *buf,
		   size_t len)
{
	struct msg_who who;
	enum err e = msg_who_decode(buf, len, &who);
	const struct owner *o;
	void *answer;
	size_t n;

	if (e != ERR_OK)
		return e;
	o = owner_find(r, who.team, who.trainer);
	if (!o || !o->active)
		return ERR_OK;
	who.record = o->rec;
	answer = msg_who_encode(&who, &n);
	rollout_send(r, from, ROLLOUT_MSG_HERE, answer, n);
	return ERR_OK;
}

enum err place_here(struct rollout *r, const void *buf, size_t len)
{
	struct msg_who here;
	enum err e = msg_who_decode(buf, len, &here);
	const struct place *p;

	if (e != ERR_OK)
		return e;
	p = place_get(r, here.team, here.trainer);
	if (p && p->known && p->found && p->rec.epoch >= here.record.epoch)
		return ERR_OK;
	place_set(r, here.team, here.trainer, &here.record, 0);
	return ERR_OK;
}
