// Codec of chunks, acknowledgements, message parts and owner queries.
#include "msg.h"

#include <string.h>

void *msg_op_encode(const struct msg_op *m, size_t *len)
{
	struct pack p;

	pack_init(&p);
	pack_str(&p, m->team);
	pack_str(&p, m->trainer);
	pack_u64(&p, m->epoch);
	pack_u64(&p, m->stream);
	pack_u64(&p, m->seq);
	pack_u64(&p, m->last);
	pack_bin(&p, m->buf, m->len);
	return pack_end(&p, len);
}

enum err msg_op_decode(struct unpack *u, const void *buf, size_t len,
		       struct msg_op *m)
{
	unpack_init(u, buf, len);
	unpack_str(u, m->team, sizeof(m->team));
	unpack_str(u, m->trainer, sizeof(m->trainer));
	m->epoch = unpack_u64(u);
	m->stream = unpack_u64(u);
	m->seq = unpack_u64(u);
	m->last = unpack_u64(u) != 0;
	m->buf = unpack_bin(u, &m->len);
	return u->bad ? ERR_PARSE : ERR_OK;
}

void *msg_ack_encode(const struct msg_ack *m, size_t *len)
{
	struct pack p;

	pack_init(&p);
	pack_str(&p, m->team);
	pack_str(&p, m->trainer);
	pack_u64(&p, m->stream);
	pack_u64(&p, m->acked);
	pack_u64(&p, m->status);
	return pack_end(&p, len);
}

enum err msg_ack_decode(const void *buf, size_t len, struct msg_ack *m)
{
	struct unpack u;

	unpack_init(&u, buf, len);
	unpack_str(&u, m->team, sizeof(m->team));
	unpack_str(&u, m->trainer, sizeof(m->trainer));
	m->stream = unpack_u64(&u);
	m->acked = unpack_u64(&u);
	m->status = (enum copy_status)unpack_u64(&u);
	if (m->status > COPY_FENCED)
		u.bad = true;
	return unpack_end(&u);
}

void *msg_part_encode(const struct msg_part *m, size_t *len)
{
	struct pack p;

	pack_init(&p);
	pack_u64(&p, m->id);
	pack_u64(&p, m->part);
	pack_u64(&p, m->parts);
	pack_bin(&p, m->buf, m->len);
	return pack_end(&p, len);
}

enum err msg_part_decode(struct unpack *u, const void *buf, size_t len,
			 struct msg_part *m)
{
	unpack_init(u, buf, len);
	m->id = unpack_u64(u);
	m->part = unpack_u64(u);
	m->parts = unpack_u64(u);
	m->buf = unpack_bin(u, &m->len);
	if (m->part >= m->parts)
		u->bad = true;
	return u->bad ? ERR_PARSE : ERR_OK;
}

void *msg_owner_encode(const struct msg_owner *m, size_t *len)
{
	struct pack p;

	pack_init(&p);
	pack_str(&p, m->team);
	pack_str(&p, m->trainer);
	pack_u64(&p, m->record.epoch);
	pack_str(&p, m->record.owner);
	pack_str(&p, m->record.owner_inc);
	pack_str(&p, m->record.backup);
	return pack_end(&p, len);
}

enum err msg_owner_decode(const void *buf, size_t len, struct msg_owner *m)
{
	struct unpack u;

	unpack_init(&u, buf, len);
	unpack_str(&u, m->team, sizeof(m->team));
	unpack_str(&u, m->trainer, sizeof(m->trainer));
	m->record.epoch = unpack_u64(&u);
	unpack_str(&u, m->record.owner, sizeof(m->record.owner));
	unpack_str(&u, m->record.owner_inc, sizeof(m->record.owner_inc));
	unpack_str(&u, m->record.backup, sizeof(m->record.backup));
	return unpack_end(&u);
}
