// Packs and reads the messages; a malformed one is refused whole.
#include "proxy_msg.h"

#include <string.h>

enum {
	ASK_FIELDS = 9, ///< seq, addr, op, key, from, value, rev, lease, ms
	REPLY_FIELDS = 8, ///< seq, err, rev, more, lease, ttl, items, deleted
	ITEM_FIELDS = 3, ///< key, value, rev
};

static void pack_text(msgpack_packer *pk, const char *text)
{
	text = text ? text : "";
	msgpack_pack_str_with_body(pk, text, strlen(text));
}

void proxy_ask_pack(msgpack_sbuffer *buf, const struct proxy_ask *ask)
{
	const struct kv_call *call = &ask->call;
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ASK_FIELDS);
	msgpack_pack_uint64(&pk, ask->seq);
	pack_text(&pk, ask->addr);
	msgpack_pack_uint64(&pk, call->op);
	pack_text(&pk, call->key);
	pack_text(&pk, call->from);
	msgpack_pack_bin_with_body(&pk, call->value ? call->value : "",
				   call->len);
	msgpack_pack_uint64(&pk, call->rev);
	msgpack_pack_uint64(&pk, call->lease);
	msgpack_pack_uint64(&pk, (uint64_t)call->ms);
}

static bool take_uint(const msgpack_object *o, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
	return true;
}

static bool take_ms(const msgpack_object *o, int64_t *out)
{
	uint64_t v;

	if (!take_uint(o, &v) || v > INT32_MAX)
		return false;
	*out = (int64_t)v;
	return true;
}

static bool take_text(const msgpack_object *o, struct arena *a,
		      const char **out)
{
	if (o->type != MSGPACK_OBJECT_STR ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size))
		return false;
	*out = arena_strndup(a, o->via.str.ptr, o->via.str.size);
	return *out != NULL;
}

static bool take_bytes(const msgpack_object *o, struct arena *a,
		       const char **out, size_t *len)
{
	if (o->type != MSGPACK_OBJECT_BIN)
		return false;
	*len = o->via.bin.size;
	*out = arena_strndup(a, o->via.bin.ptr, *len);
	return *out != NULL;
}

static bool is_array(const msgpack_object *o, uint32_t n)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size == n;
}

static bool ask_take(const msgpack_object *o, struct arena *a,
		     struct proxy_ask *ask)
{
	const msgpack_object *f = o->via.array.ptr;
	struct kv_call *call = &ask->call;
	uint64_t op;

	if (!is_array(o, ASK_FIELDS) || !take_uint(&f[0], &ask->seq) ||
	    !take_text(&f[1], a, &ask->addr) || !take_uint(&f[2], &op) ||
	    op >= KV_OPS || !take_text(&f[3], a, &call->key) ||
	    !take_text(&f[4], a, &call->from) ||
	    !take_bytes(&f[5], a, &call->value, &call->len) ||
	    !take_uint(&f[6], &call->rev) || !take_uint(&f[7], &call->lease) ||
	    !take_ms(&f[8], &call->ms))
		return false;
	call->op = (enum kv_op)op;
	if (!*call->from)
		call->from = NULL;
	return true;
}

enum err proxy_ask_read(const void *data, size_t len, struct arena *a,
			struct proxy_ask *ask)
{
	msgpack_unpacked u;
	size_t off = 0;
	bool ok;

	msgpack_unpacked_init(&u);
	ok = msgpack_unpack_next(&u, data, len, &off) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     ask_take(&u.data, a, ask);
	msgpack_unpacked_destroy(&u);
	return ok ? ERR_OK : ERR_PARSE;
}

void proxy_reply_pack(msgpack_sbuffer *buf, uint64_t seq,
		      const struct kv_result *res)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, REPLY_FIELDS);
	msgpack_pack_uint64(&pk, seq);
	msgpack_pack_uint64(&pk, res->err);
	msgpack_pack_uint64(&pk, res->rev);
	msgpack_pack_uint64(&pk, res->more);
	msgpack_pack_uint64(&pk, res->lease);
	msgpack_pack_uint64(&pk, (uint64_t)res->ttl_ms);
	msgpack_pack_array(&pk, res->n_items);
	for (size_t i = 0; i < res->n_items; i++) {
		msgpack_pack_array(&pk, ITEM_FIELDS);
		pack_text(&pk, res->items[i].key);
		msgpack_pack_bin_with_body(&pk, res->items[i].value,
					   res->items[i].len);
		msgpack_pack_uint64(&pk, res->items[i].rev);
	}
	msgpack_pack_array(&pk, res->n_deleted);
	for (size_t i = 0; i < res->n_deleted; i++)
		pack_text(&pk, res->deleted[i]);
}

static bool take_items(const msgpack_object *o, struct arena *a,
		       struct kv_result *res)
{
	struct kv_item *items;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	items = arena_alloc(a, (o->via.array.size + 1) * sizeof(*items));
	for (uint32_t i = 0; items && i < o->via.array.size; i++) {
		const msgpack_object *row = &o->via.array.ptr[i];
		const msgpack_object *f = row->via.array.ptr;

		if (!is_array(row, ITEM_FIELDS) ||
		    !take_text(&f[0], a, &items[i].key) ||
		    !take_bytes(&f[1], a, &items[i].value, &items[i].len) ||
		    !take_uint(&f[2], &items[i].rev))
			return false;
	}
	res->items = items;
	res->n_items = o->via.array.size;
	return items != NULL;
}

static bool take_deleted(const msgpack_object *o, struct arena *a,
			 struct kv_result *res)
{
	const char **keys;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	keys = arena_alloc(a, (o->via.array.size + 1) * sizeof(*keys));
	for (uint32_t i = 0; keys && i < o->via.array.size; i++) {
		if (!take_text(&o->via.array.ptr[i], a, &keys[i]))
			return false;
	}
	res->deleted = keys;
	res->n_deleted = o->via.array.size;
	return keys != NULL;
}

static bool reply_take(const msgpack_object *o, struct arena *a, uint64_t *seq,
		       struct kv_result *res)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t err, more;

	if (!is_array(o, REPLY_FIELDS) || !take_uint(&f[0], seq) ||
	    !take_uint(&f[1], &err) || err > INT16_MAX ||
	    !take_uint(&f[2], &res->rev) || !take_uint(&f[3], &more) ||
	    !take_uint(&f[4], &res->lease) || !take_ms(&f[5], &res->ttl_ms))
		return false;
	res->err = (enum err)err;
	res->more = more != 0;
	return take_items(&f[6], a, res) && take_deleted(&f[7], a, res);
}

enum err proxy_reply_read(const void *data, size_t len, struct arena *a,
			  uint64_t *seq, struct kv_result *res)
{
	msgpack_unpacked u;
	size_t off = 0;
	bool ok;

	memset(res, 0, sizeof(*res));
	msgpack_unpacked_init(&u);
	ok = msgpack_unpack_next(&u, data, len, &off) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     reply_take(&u.data, a, seq, res);
	msgpack_unpacked_destroy(&u);
	return ok ? ERR_OK : ERR_PARSE;
}
