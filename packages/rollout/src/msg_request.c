// Codec of forwarded requests and their replies.
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "msg.h"

static void put_names(struct pack *p, const struct slot_names *names)
{
	pack_u64(p, names->n);
	for (size_t i = 0; i < names->n; i++)
		pack_str(p, names->v[i]);
}

static void get_names(struct unpack *u, struct slot_names *names)
{
	uint64_t n = unpack_u64(u);
	char name[BATCH_SLOT_NAME_SIZE];

	for (uint64_t i = 0; i < n && !u->bad; i++) {
		unpack_str(u, name, sizeof(name));
		if (slot_names_add(names, name) != ERR_OK)
			u->bad = true;
	}
}

static void put_pull(struct pack *p, const struct pull *pull)
{
	pack_str(p, pull->team);
	pack_str(p, pull->trainer);
	pack_str(p, pull->route);
	pack_str(p, pull->batch);
	pack_u64(p, pull->session);
	pack_u64(p, pull->version);
	pack_u64(p, pull->max);
	pack_u64(p, (uint64_t)pull->wait_ms);
	put_names(p, &pull->acks);
	put_names(p, &pull->lost);
}

static void get_pull(struct unpack *u, struct pull *pull)
{
	unpack_str(u, pull->team, sizeof(pull->team));
	unpack_str(u, pull->trainer, sizeof(pull->trainer));
	unpack_str(u, pull->route, sizeof(pull->route));
	unpack_str(u, pull->batch, sizeof(pull->batch));
	pull->session = unpack_u64(u);
	pull->version = unpack_u64(u);
	pull->max = unpack_u64(u);
	pull->wait_ms = (int64_t)unpack_u64(u);
	get_names(u, &pull->acks);
	get_names(u, &pull->lost);
}

void *msg_request_encode(const struct msg_request *m, size_t *len)
{
	struct pack p;

	pack_init(&p);
	pack_u64(&p, m->take_over);
	pack_u64(&p, m->batch != NULL);
	if (m->batch)
		codec_put_batch(&p, m->batch);
	else
		put_pull(&p, &m->pull);
	return pack_end(&p, len);
}

enum err msg_request_decode(const void *buf, size_t len, struct msg_request *m)
{
	struct unpack u;
	enum err e;

	memset(m, 0, sizeof(*m));
	unpack_init(&u, buf, len);
	m->take_over = unpack_u64(&u) != 0;
	if (unpack_u64(&u))
		m->batch = codec_get_batch(&u);
	else
		get_pull(&u, &m->pull);
	e = unpack_end(&u);
	if (e != ERR_OK)
		msg_request_clear(m);
	return e;
}

void msg_request_clear(struct msg_request *m)
{
	batch_free(m->batch);
	m->batch = NULL;
	pull_clear(&m->pull);
}

void *msg_reply_encode(const struct msg_reply *m, size_t *len)
{
	struct pack p;

	pack_init(&p);
	pack_u64(&p, m->err);
	pack_u64(&p, m->not_owner);
	pack_u64(&p, m->state_lost);
	pack_u64(&p, m->slots);
	pack_u64(&p, m->known);
	pack_u64(&p, m->pull.left);
	pack_u64(&p, m->pull.done);
	put_names(&p, &m->pull.expired);
	pack_u64(&p, m->pull.n);
	for (size_t i = 0; i < m->pull.n; i++) {
		pack_str(&p, m->pull.items[i].slot);
		pack_u64(&p, m->pull.items[i].seed);
		codec_put_sample(&p, &m->pull.items[i].sample);
	}
	return pack_end(&p, len);
}

static void get_items(struct unpack *u, struct pull_reply *r)
{
	uint64_t n = unpack_u64(u);

	if (u->bad || n > BATCH_MAX_SLOTS) {
		u->bad = true;
		return;
	}
	r->items = calloc(n + 1, sizeof(*r->items));
	if (!r->items) {
		u->bad = true;
		return;
	}
	for (uint64_t i = 0; i < n && !u->bad; i++) {
		struct pull_item *item = &r->items[r->n++];

		unpack_str(u, item->slot, sizeof(item->slot));
		item->seed = unpack_u64(u);
		codec_get_sample(u, &item->sample);
	}
}

enum err msg_reply_decode(const void *buf, size_t len, struct msg_reply *m)
{
	struct unpack u;
	enum err e;

	memset(m, 0, sizeof(*m));
	unpack_init(&u, buf, len);
	m->err = (enum err)unpack_u64(&u);
	m->not_owner = unpack_u64(&u) != 0;
	m->state_lost = unpack_u64(&u) != 0;
	m->slots = unpack_u64(&u);
	m->known = unpack_u64(&u) != 0;
	m->pull.left = unpack_u64(&u);
	m->pull.done = unpack_u64(&u) != 0;
	get_names(&u, &m->pull.expired);
	get_items(&u, &m->pull);
	e = unpack_end(&u);
	if (e != ERR_OK)
		msg_reply_clear(m);
	return e;
}

void msg_reply_clear(struct msg_reply *m)
{
	pull_reply_clear(&m->pull);
}
