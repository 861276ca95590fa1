// Packs and validates peer messages that are msgpack arrays.
#include "work_mod_msg.h"

#include <string.h>

#include "core/core.h"

enum {
	CHUNK_FIELDS = 4,
};

bool work_read_begin(struct work_reader *r, const void *buf, size_t len,
		     size_t fields)
{
	size_t off = 0;

	*r = (struct work_reader){.malformed = true};
	msgpack_unpacked_init(&r->msg);
	if (msgpack_unpack_next(&r->msg, buf, len, &off) !=
	    MSGPACK_UNPACK_SUCCESS)
		return false;
	if (off != len || r->msg.data.type != MSGPACK_OBJECT_ARRAY ||
	    r->msg.data.via.array.size != fields)
		return false;
	r->malformed = false;
	return true;
}

static const msgpack_object *read_next(struct work_reader *r, int type)
{
	const msgpack_object *o;

	if (r->malformed || r->next >= r->msg.data.via.array.size)
		goto bad;
	o = &r->msg.data.via.array.ptr[r->next++];
	if ((int)o->type == type)
		return o;
bad:
	r->malformed = true;
	return NULL;
}

uint64_t work_read_u64(struct work_reader *r, uint64_t max)
{
	const msgpack_object *o = read_next(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (o && o->via.u64 <= max)
		return o->via.u64;
	r->malformed = true;
	return 0;
}

void work_read_str(struct work_reader *r, char *out, size_t len)
{
	const msgpack_object *o = read_next(r, MSGPACK_OBJECT_STR);

	out[0] = '\0';
	if (!o || o->via.str.size >= len ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size)) {
		r->malformed = true;
		return;
	}
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
}

const char *work_read_bin(struct work_reader *r, size_t *len)
{
	const msgpack_object *o = read_next(r, MSGPACK_OBJECT_BIN);

	*len = o ? o->via.bin.size : 0;
	return o ? o->via.bin.ptr : NULL;
}

void work_read_ref(struct work_reader *r, struct work_ref *ref)
{
	ref->h = (uint32_t)work_read_u64(r, UINT32_MAX);
	ref->id = work_read_u64(r, UINT64_MAX);
}

void work_read_end(struct work_reader *r)
{
	msgpack_unpacked_destroy(&r->msg);
}

void work_pack_str(msgpack_packer *pk, const char *s)
{
	size_t len = strlen(s);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, s, len);
}

void work_pack_bin(msgpack_packer *pk, const void *data, size_t len)
{
	msgpack_pack_bin(pk, len);
	msgpack_pack_bin_body(pk, len ? data : "", len);
}

void work_pack_begin(msgpack_packer *pk, msgpack_sbuffer *sb, size_t fields,
		     const struct work_ref *ref)
{
	msgpack_sbuffer_init(sb);
	msgpack_packer_init(pk, sb, msgpack_sbuffer_write);
	msgpack_pack_array(pk, fields);
	msgpack_pack_uint32(pk, ref->h);
	msgpack_pack_uint64(pk, ref->id);
}

enum err work_pack_send(struct core *c, const char *node,
			enum core_peer_msg type, msgpack_sbuffer *sb)
{
	enum err e = core_peer_send(c, node, type, sb->data, sb->size);

	msgpack_sbuffer_destroy(sb);
	return e;
}

enum err work_pack_reply(struct core *c, const struct core_peer_run *to,
			 enum core_peer_msg type, msgpack_sbuffer *sb)
{
	enum err e = core_peer_reply(c, to, type, sb->data, sb->size);

	msgpack_sbuffer_destroy(sb);
	return e;
}

static enum err send_chunk(struct core *c, const struct core_peer_run *to,
			   enum core_peer_msg type,
			   const struct work_chunk *chunk)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	work_pack_begin(&pk, &sb, CHUNK_FIELDS, &chunk->ref);
	msgpack_pack_uint64(&pk, chunk->offset);
	work_pack_bin(&pk, chunk->data, chunk->len);
	return work_pack_reply(c, to, type, &sb);
}

enum err work_send_chunks(struct core *c, const struct core_peer_run *to,
			  enum core_peer_msg type, const struct work_ref *ref,
			  const char *body, size_t len)
{
	for (size_t off = WORK_CHUNK_BYTES; off < len;
	     off += WORK_CHUNK_BYTES) {
		size_t remaining = len - off;
		struct work_chunk chunk = {
			.ref = *ref,
			.offset = off,
			.data = body + off,
			.len = remaining < WORK_CHUNK_BYTES ? remaining
							    : WORK_CHUNK_BYTES,
		};
		enum err e = send_chunk(c, to, type, &chunk);

		if (e != ERR_OK)
			return e;
	}
	return ERR_OK;
}

bool work_read_chunk(struct work_reader *r, const void *buf, size_t len,
		     struct work_chunk *chunk)
{
	work_read_begin(r, buf, len, CHUNK_FIELDS);
	work_read_ref(r, &chunk->ref);
	chunk->offset = work_read_u64(r, WORK_BODY_MAX_BYTES);
	chunk->data = work_read_bin(r, &chunk->len);
	return !r->malformed;
}
