// Packs and unpacks proxy messages; a malformed one is rejected as a whole.
#include "proxy_msg.h"

#include <string.h>

#include "packed_msg.h"

enum {
	REQUEST_FIELDS = 9, ///< seq, addr, op, key, from, value, rev, lease, ms
	REPLY_FIELDS = 8, ///< seq, err, rev, more, lease, ttl, items, deleted
	ITEM_FIELDS = 3, ///< key, value, rev
};

void proxy_request_pack(msgpack_sbuffer *buf,
			const struct proxy_request *request)
{
	const struct kv_call *call = &request->call;
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, REQUEST_FIELDS);
	msgpack_pack_uint64(&pk, request->seq);
	packed_put_str(&pk, request->addr);
	msgpack_pack_uint64(&pk, call->op);
	packed_put_str(&pk, call->key);
	packed_put_str(&pk, call->from);
	msgpack_pack_bin_with_body(&pk, call->value ? call->value : "",
				   call->len);
	msgpack_pack_uint64(&pk, call->rev);
	msgpack_pack_uint64(&pk, call->lease);
	msgpack_pack_uint64(&pk, (uint64_t)call->ms);
}

struct request_unpack {
	struct arena *a;
	struct proxy_request *request;
};

static bool request_decode(const msgpack_object *o, void *ctx)
{
	struct request_unpack *r = ctx;
	struct proxy_request *request = r->request;
	struct arena *a = r->a;
	const msgpack_object *f = o->via.array.ptr;
	struct kv_call *call = &request->call;
	uint64_t op;

	if (!packed_is_array(o, REQUEST_FIELDS) ||
	    !packed_get_uint(&f[0], &request->seq) ||
	    !packed_get_str(&f[1], a, &request->addr) ||
	    !packed_get_uint(&f[2], &op) || op >= KV_OP_COUNT ||
	    !packed_get_str(&f[3], a, &call->key) ||
	    !packed_get_str(&f[4], a, &call->from) ||
	    !packed_get_bytes(&f[5], a, &call->value, &call->len) ||
	    !packed_get_uint(&f[6], &call->rev) ||
	    !packed_get_uint(&f[7], &call->lease) ||
	    !packed_get_ms(&f[8], &call->ms))
		return false;
	call->op = (enum kv_op)op;
	if (!*call->from)
		call->from = NULL;
	return true;
}

enum err proxy_request_unpack(const void *data, size_t len, struct arena *a,
			      struct proxy_request *request)
{
	struct request_unpack r = {a, request};

	return packed_decode(data, len, request_decode, &r);
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
		packed_put_str(&pk, res->items[i].key);
		msgpack_pack_bin_with_body(&pk, res->items[i].value,
					   res->items[i].len);
		msgpack_pack_uint64(&pk, res->items[i].rev);
	}
	msgpack_pack_array(&pk, res->n_deleted);
	for (size_t i = 0; i < res->n_deleted; i++)
		packed_put_str(&pk, res->deleted[i]);
}

static bool decode_items(const msgpack_object *o, struct arena *a,
			 struct kv_result *res)
{
	struct kv_item *items;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	items = arena_alloc(a, (o->via.array.size + 1) * sizeof(*items));
	for (uint32_t i = 0; items && i < o->via.array.size; i++) {
		const msgpack_object *row = &o->via.array.ptr[i];
		const msgpack_object *f = row->via.array.ptr;

		if (!packed_is_array(row, ITEM_FIELDS) ||
		    !packed_get_str(&f[0], a, &items[i].key) ||
		    !packed_get_bytes(&f[1], a, &items[i].value,
				      &items[i].len) ||
		    !packed_get_uint(&f[2], &items[i].rev))
			return false;
	}
	res->items = items;
	res->n_items = o->via.array.size;
	return items != NULL;
}

static bool decode_deleted(const msgpack_object *o, struct arena *a,
			   struct kv_result *res)
{
	const char **keys;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	keys = arena_alloc(a, (o->via.array.size + 1) * sizeof(*keys));
	for (uint32_t i = 0; keys && i < o->via.array.size; i++) {
		if (!packed_get_str(&o->via.array.ptr[i], a, &keys[i]))
			return false;
	}
	res->deleted = keys;
	res->n_deleted = o->via.array.size;
	return keys != NULL;
}

struct reply_unpack {
	struct arena *a;
	uint64_t *seq;
	struct kv_result *res;
};

static bool reply_decode(const msgpack_object *o, void *ctx)
{
	struct reply_unpack *r = ctx;
	struct kv_result *res = r->res;
	struct arena *a = r->a;
	const msgpack_object *f = o->via.array.ptr;
	uint64_t err, more;

	if (!packed_is_array(o, REPLY_FIELDS) ||
	    !packed_get_uint(&f[0], r->seq) || !packed_get_uint(&f[1], &err) ||
	    err > INT16_MAX || !packed_get_uint(&f[2], &res->rev) ||
	    !packed_get_uint(&f[3], &more) ||
	    !packed_get_uint(&f[4], &res->lease) ||
	    !packed_get_ms(&f[5], &res->ttl_ms))
		return false;
	res->err = (enum err)err;
	res->more = more != 0;
	return decode_items(&f[6], a, res) && decode_deleted(&f[7], a, res);
}

enum err proxy_reply_unpack(const void *data, size_t len, struct arena *a,
			    uint64_t *seq, struct kv_result *res)
{
	struct reply_unpack r = {a, seq, res};

	memset(res, 0, sizeof(*res));
	return packed_decode(data, len, reply_decode, &r);
}
