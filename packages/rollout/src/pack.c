// Items are packed first; pack_end() puts the array header before them.
#include "pack.h"

#include <stdlib.h>
#include <string.h>

void pack_init(struct pack *p)
{
	msgpack_sbuffer_init(&p->items);
	msgpack_packer_init(&p->packer, &p->items, msgpack_sbuffer_write);
	p->n = 0;
}

void pack_u64(struct pack *p, uint64_t v)
{
	msgpack_pack_uint64(&p->packer, v);
	p->n++;
}

void pack_str(struct pack *p, const char *s)
{
	size_t len = strlen(s);

	msgpack_pack_str(&p->packer, len);
	msgpack_pack_str_body(&p->packer, s, len);
	p->n++;
}

void pack_bin(struct pack *p, const void *data, size_t len)
{
	msgpack_pack_bin(&p->packer, len);
	if (len > 0)
		msgpack_pack_bin_body(&p->packer, data, len);
	p->n++;
}

void pack_slots(struct pack *p, const struct slots *s)
{
	pack_bin(p, s->v, s->n * sizeof(*s->v));
}

void *pack_end(struct pack *p, size_t *len)
{
	msgpack_sbuffer out;
	msgpack_packer head;

	msgpack_sbuffer_init(&out);
	msgpack_packer_init(&head, &out, msgpack_sbuffer_write);
	msgpack_pack_array(&head, p->n);
	msgpack_sbuffer_write(&out, p->items.data, p->items.size);
	msgpack_sbuffer_destroy(&p->items);
	*len = out.size;
	return msgpack_sbuffer_release(&out);
}

static uint64_t unpack_big_endian(const uint8_t *p, size_t n)
{
	uint64_t v = 0;

	while (n-- > 0)
		v = v << 8 | *p++;
	return v;
}

/* Encoded size of an integer, string or binary item; 0 for other types. */
static uint64_t unpack_item_len(const uint8_t *p, size_t len)
{
	size_t head = 1;

	if (*p < 0x80)
		return 1;
	if ((*p & 0xe0) == 0xa0)
		return 1 + (uint64_t)(*p & 0x1f);
	if (*p >= 0xcc && *p <= 0xcf)
		return 1 + ((uint64_t)1 << (*p - 0xcc));
	if (*p >= 0xc4 && *p <= 0xc6)
		head += (size_t)1 << (*p - 0xc4);
	else if (*p >= 0xd9 && *p <= 0xdb)
		head += (size_t)1 << (*p - 0xd9);
	if (head == 1 || head > len)
		return 0;
	return head + unpack_big_endian(p + 1, head - 1);
}

/* msgpack allocates what a message claims to hold, so the claimed sizes are
 * validated first: one flat array whose items fill the message exactly. */
static bool unpack_is_flat(const uint8_t *p, size_t len)
{
	size_t head = 1;
	uint64_t n;

	if (len == 0)
		return false;
	if (*p == 0xdc || *p == 0xdd)
		head += *p == 0xdc ? 2 : 4;
	else if ((*p & 0xf0) != 0x90)
		return false;
	if (head > len)
		return false;
	n = head > 1 ? unpack_big_endian(p + 1, head - 1) : *p & 0x0f;
	p += head;
	len -= head;
	for (; n > 0 && len > 0; n--) {
		uint64_t item = unpack_item_len(p, len);

		if (item == 0 || item > len)
			return false;
		p += item;
		len -= item;
	}
	return n == 0 && len == 0;
}

void unpack_init(struct unpack *u, const void *buf, size_t len)
{
	size_t off = 0;

	msgpack_unpacked_init(&u->un);
	u->next = 0;
	u->bad = !unpack_is_flat(buf, len) ||
		 msgpack_unpack_next(&u->un, buf, len, &off) !=
			 MSGPACK_UNPACK_SUCCESS ||
		 u->un.data.type != MSGPACK_OBJECT_ARRAY || off != len;
}

static const msgpack_object *unpack_item(struct unpack *u,
					 msgpack_object_type type)
{
	const msgpack_object *o;

	if (u->bad || u->next >= u->un.data.via.array.size) {
		u->bad = true;
		return NULL;
	}
	o = &u->un.data.via.array.ptr[u->next++];
	if (o->type == type)
		return o;
	u->bad = true;
	return NULL;
}

uint64_t unpack_u64(struct unpack *u)
{
	const msgpack_object *o =
		unpack_item(u, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

void unpack_str(struct unpack *u, char *dst, size_t cap)
{
	const msgpack_object *o = unpack_item(u, MSGPACK_OBJECT_STR);

	dst[0] = '\0';
	if (!o || o->via.str.size == 0)
		return;
	if (o->via.str.size >= cap ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size)) {
		u->bad = true;
		return;
	}
	memcpy(dst, o->via.str.ptr, o->via.str.size);
	dst[o->via.str.size] = '\0';
}

const void *unpack_bin(struct unpack *u, size_t *len)
{
	const msgpack_object *o = unpack_item(u, MSGPACK_OBJECT_BIN);

	*len = o ? o->via.bin.size : 0;
	if (!o)
		return NULL;
	return *len > 0 ? o->via.bin.ptr : "";
}

void unpack_slots(struct unpack *u, struct slots *out)
{
	size_t len;
	const void *data = unpack_bin(u, &len);

	if (!data || len % sizeof(*out->v) != 0) {
		u->bad = true;
		return;
	}
	if (len > 0 && slots_add_all(out, data, len) != ERR_OK)
		u->bad = true;
}

enum err unpack_end(struct unpack *u)
{
	bool bad = u->bad || u->next != u->un.data.via.array.size;

	msgpack_unpacked_destroy(&u->un);
	return bad ? ERR_PARSE : ERR_OK;
}
