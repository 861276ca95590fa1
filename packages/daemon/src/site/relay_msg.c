// Encodes and decodes relay messages; a malformed one is rejected as a whole.
#include "site/relay_msg.h"

#include <stdlib.h>
#include <string.h>

#include "packed_msg.h"

enum {
	REQUEST_FIELDS = 3, ///< seq, addr, revs
	RESPONSE_FIELDS = 5, ///< seq, held, store up, for how long, prefixes
	PREFIX_FIELDS = 6, ///< known, age, full, rev, items, deleted
	ITEM_FIELDS = 3, ///< key, value, rev
};

void relay_request_pack(msgpack_sbuffer *buf, const struct relay_request *q)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, REQUEST_FIELDS);
	msgpack_pack_uint64(&pk, q->seq);
	packed_put_str(&pk, q->addr);
	msgpack_pack_array(&pk, RELAY_FEEDS);
	for (int i = 0; i < RELAY_FEEDS; i++)
		msgpack_pack_uint64(&pk, q->revs[i]);
}

static bool decode_request(const msgpack_object *o, void *ctx)
{
	struct relay_request *q = ctx;
	const msgpack_object *f = o->via.array.ptr;

	if (!packed_is_array(o, REQUEST_FIELDS) ||
	    !packed_get_uint(&f[0], &q->seq) ||
	    f[1].type != MSGPACK_OBJECT_STR ||
	    f[1].via.str.size >= sizeof(q->addr) ||
	    !packed_is_array(&f[2], RELAY_FEEDS))
		return false;
	memcpy(q->addr, f[1].via.str.ptr, f[1].via.str.size);
	q->addr[f[1].via.str.size] = '\0';
	for (int i = 0; i < RELAY_FEEDS; i++) {
		if (!packed_get_uint(&f[2].via.array.ptr[i], &q->revs[i]))
			return false;
	}
	return true;
}

enum err relay_request_read(const void *data, size_t len,
			    struct relay_request *q)
{
	return packed_decode(data, len, decode_request, q);
}

static bool is_included(const struct relay_item *it, bool full, uint64_t after)
{
	return full ? it->value != NULL : it->rev > after;
}

static size_t count_items(const struct relay_copy *copy, bool full,
			  uint64_t after, bool deleted)
{
	size_t n = 0;

	for (size_t i = 0; i < copy->n; i++)
		n += is_included(&copy->items[i], full, after) &&
		     !copy->items[i].value == deleted;
	return n;
}

static void pack_items(msgpack_packer *pk, const struct relay_copy *copy,
		       bool full, uint64_t after)
{
	msgpack_pack_array(pk, count_items(copy, full, after, false));
	for (size_t i = 0; i < copy->n; i++) {
		const struct relay_item *it = &copy->items[i];

		if (!is_included(it, full, after) || !it->value)
			continue;
		msgpack_pack_array(pk, ITEM_FIELDS);
		packed_put_str(pk, it->key);
		msgpack_pack_bin_with_body(pk, it->value, it->len);
		msgpack_pack_uint64(pk, it->rev);
	}
	msgpack_pack_array(pk, count_items(copy, full, after, true));
	for (size_t i = 0; i < copy->n; i++) {
		const struct relay_item *it = &copy->items[i];

		if (is_included(it, full, after) && !it->value)
			packed_put_str(pk, it->key);
	}
}

static void pack_prefix(struct core *c, msgpack_packer *pk,
			const struct feed *f, uint64_t after)
{
	bool full = relay_copy_needs_full(&f->copy, after);
	int64_t age = f->confirmed_ms ? core_now(c) - f->confirmed_ms : 0;

	msgpack_pack_array(pk, PREFIX_FIELDS);
	packed_put_bool(pk, f->listed);
	msgpack_pack_uint64(pk, (uint64_t)age);
	packed_put_bool(pk, full);
	msgpack_pack_uint64(pk, f->copy.rev);
	pack_items(pk, &f->copy, full, after);
}

void relay_response_pack(struct core *c, msgpack_sbuffer *buf,
			 const struct relay *r,
			 const struct relay_follower *follower)
{
	int64_t up_since_ms = kv_up_since(c);
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, RESPONSE_FIELDS);
	msgpack_pack_uint64(&pk, follower->seq);
	msgpack_pack_uint64(&pk,
			    (uint64_t)(core_now(c) - follower->arrived_ms));
	packed_put_bool(&pk, up_since_ms != 0);
	msgpack_pack_uint64(
		&pk, up_since_ms ? (uint64_t)(core_now(c) - up_since_ms) : 0);
	msgpack_pack_array(&pk, RELAY_FEEDS);
	for (int i = 0; i < RELAY_FEEDS; i++)
		pack_prefix(c, &pk, r->feeds[i], follower->revs[i]);
}

static bool decode_item(struct arena *a, const msgpack_object *o,
			struct kv_item *item)
{
	const msgpack_object *f = o->via.array.ptr;

	return packed_is_array(o, ITEM_FIELDS) &&
	       packed_get_str(&f[0], a, &item->key) &&
	       packed_get_bytes(&f[1], a, &item->value, &item->len) &&
	       packed_get_uint(&f[2], &item->rev);
}

static bool decode_items(struct arena *a, const msgpack_object *o,
			 struct feed_update *news)
{
	struct kv_item *items;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	items = arena_alloc(a, (o->via.array.size + 1) * sizeof(*items));
	if (!items)
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i++) {
		if (!decode_item(a, &o->via.array.ptr[i], &items[i]))
			return false;
	}
	news->items = items;
	news->n_items = o->via.array.size;
	return true;
}

static bool decode_deleted(struct arena *a, const msgpack_object *o,
			   struct feed_update *news)
{
	const char **keys;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	keys = arena_alloc(a, (o->via.array.size + 1) * sizeof(*keys));
	if (!keys)
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i++) {
		if (!packed_get_str(&o->via.array.ptr[i], a, &keys[i]))
			return false;
	}
	news->deleted = keys;
	news->n_deleted = o->via.array.size;
	return true;
}

static bool decode_prefix(struct arena *a, const msgpack_object *o,
			  struct relay_prefix_update *p)
{
	const msgpack_object *f = o->via.array.ptr;
	if (!packed_is_array(o, PREFIX_FIELDS) ||
	    !packed_get_bool(&f[0], &p->known) ||
	    !packed_get_ms(&f[1], &p->age_ms) ||
	    !packed_get_bool(&f[2], &p->news.full) ||
	    !packed_get_uint(&f[3], &p->news.rev))
		return false;
	return decode_items(a, &f[4], &p->news) &&
	       decode_deleted(a, &f[5], &p->news);
}

struct response_decoder {
	struct arena *a;
	struct relay_status *status;
	struct relay_prefix_update *prefixes;
};

static bool decode_response(const msgpack_object *o, void *ctx)
{
	const msgpack_object *f = o->via.array.ptr;
	struct response_decoder *r = ctx;

	if (!packed_is_array(o, RESPONSE_FIELDS) ||
	    !packed_get_uint(&f[0], &r->status->seq) ||
	    !packed_get_ms(&f[1], &r->status->held_ms) ||
	    !packed_get_bool(&f[2], &r->status->store_answers) ||
	    !packed_get_ms(&f[3], &r->status->store_answers_ms) ||
	    !packed_is_array(&f[4], RELAY_FEEDS))
		return false;
	for (int i = 0; i < RELAY_FEEDS; i++) {
		if (!decode_prefix(r->a, &f[4].via.array.ptr[i],
				   &r->prefixes[i]))
			return false;
	}
	return true;
}

enum err relay_response_read(const void *data, size_t len, struct arena *a,
			     struct relay_status *status,
			     struct relay_prefix_update *prefixes)
{
	struct response_decoder r = {a, status, prefixes};

	memset(prefixes, 0, RELAY_FEEDS * sizeof(*prefixes));
	return packed_decode(data, len, decode_response, &r);
}
