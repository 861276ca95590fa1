// Packs and reads the relay's messages; a malformed one is refused whole.
#include "site/relay_msg.h"

#include <stdlib.h>
#include <string.h>

enum {
	ASK_FIELDS = 3, ///< seq, addr, revs
	NEWS_FIELDS = 2, ///< seq, parts
	PART_FIELDS = 6, ///< known, age, full, rev, items, deleted
	ITEM_FIELDS = 3, ///< key, value, rev
};

static void pack_text(msgpack_packer *pk, const char *text)
{
	msgpack_pack_str_with_body(pk, text, strlen(text));
}

void relay_ask_pack(msgpack_sbuffer *buf, const struct relay_question *q)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ASK_FIELDS);
	msgpack_pack_uint64(&pk, q->seq);
	pack_text(&pk, q->addr);
	msgpack_pack_array(&pk, RELAY_FEEDS);
	for (int i = 0; i < RELAY_FEEDS; i++)
		msgpack_pack_uint64(&pk, q->revs[i]);
}

static bool is_array(const msgpack_object *o, uint32_t n)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size == n;
}

static bool take_uint(const msgpack_object *o, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
	return true;
}

static bool take_bool(const msgpack_object *o, bool *out)
{
	if (o->type != MSGPACK_OBJECT_BOOLEAN)
		return false;
	*out = o->via.boolean;
	return true;
}

static bool ask_take(const msgpack_object *o, struct relay_question *q)
{
	const msgpack_object *f = o->via.array.ptr;

	if (!is_array(o, ASK_FIELDS) || !take_uint(&f[0], &q->seq) ||
	    f[1].type != MSGPACK_OBJECT_STR ||
	    f[1].via.str.size >= sizeof(q->addr) ||
	    !is_array(&f[2], RELAY_FEEDS))
		return false;
	memcpy(q->addr, f[1].via.str.ptr, f[1].via.str.size);
	q->addr[f[1].via.str.size] = '\0';
	for (int i = 0; i < RELAY_FEEDS; i++) {
		if (!take_uint(&f[2].via.array.ptr[i], &q->revs[i]))
			return false;
	}
	return true;
}

enum err relay_ask_read(const void *data, size_t len, struct relay_question *q)
{
	msgpack_unpacked u;
	size_t off = 0;
	bool ok;

	msgpack_unpacked_init(&u);
	ok = msgpack_unpack_next(&u, data, len, &off) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     ask_take(&u.data, q);
	msgpack_unpacked_destroy(&u);
	return ok ? ERR_OK : ERR_PARSE;
}

static bool wanted(const struct relay_item *it, bool all, uint64_t after)
{
	return all ? it->value != NULL : it->rev > after;
}

static size_t count(const struct relay_copy *copy, bool all, uint64_t after,
		    bool deleted)
{
	size_t n = 0;

	for (size_t i = 0; i < copy->n; i++)
		n += wanted(&copy->items[i], all, after) &&
		     !copy->items[i].value == deleted;
	return n;
}

static void pack_items(msgpack_packer *pk, const struct relay_copy *copy,
		       bool all, uint64_t after)
{
	msgpack_pack_array(pk, count(copy, all, after, false));
	for (size_t i = 0; i < copy->n; i++) {
		const struct relay_item *it = &copy->items[i];

		if (!wanted(it, all, after) || !it->value)
			continue;
		msgpack_pack_array(pk, ITEM_FIELDS);
		pack_text(pk, it->key);
		msgpack_pack_bin_with_body(pk, it->value, it->len);
		msgpack_pack_uint64(pk, it->rev);
	}
	msgpack_pack_array(pk, count(copy, all, after, true));
	for (size_t i = 0; i < copy->n; i++) {
		const struct relay_item *it = &copy->items[i];

		if (wanted(it, all, after) && !it->value)
			pack_text(pk, it->key);
	}
}

static void pack_part(struct core *c, msgpack_packer *pk, const struct feed *f,
		      uint64_t after)
{
	bool all = relay_copy_needs_all(&f->copy, after);
	int64_t age = f->confirmed_ms ? core_now(c) - f->confirmed_ms : 0;

	msgpack_pack_array(pk, PART_FIELDS);
	if (f->listed)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
	msgpack_pack_uint64(pk, (uint64_t)age);
	if (all)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
	msgpack_pack_uint64(pk, f->copy.rev);
	pack_items(pk, &f->copy, all, after);
}

void relay_news_pack(struct core *c, msgpack_sbuffer *buf,
		     const struct relay *r, const struct relay_ask *ask)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, NEWS_FIELDS);
	msgpack_pack_uint64(&pk, ask->seq);
	msgpack_pack_array(&pk, RELAY_FEEDS);
	for (int i = 0; i < RELAY_FEEDS; i++)
		pack_part(c, &pk, r->feeds[i], ask->revs[i]);
}

static char *text_in(struct arena *a, const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_STR)
		return NULL;
	return arena_strndup(a, o->via.str.ptr, o->via.str.size);
}

static bool take_item(struct arena *a, const msgpack_object *o,
		      struct kv_item *item)
{
	const msgpack_object *f = o->via.array.ptr;

	if (!is_array(o, ITEM_FIELDS) || f[1].type != MSGPACK_OBJECT_BIN ||
	    !take_uint(&f[2], &item->rev))
		return false;
	item->key = text_in(a, &f[0]);
	item->len = f[1].via.bin.size;
	item->value = arena_strndup(a, f[1].via.bin.ptr, item->len);
	return item->key && item->value;
}

static bool take_items(struct arena *a, const msgpack_object *o,
		       struct feed_news *news)
{
	struct kv_item *items;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	items = arena_alloc(a, (o->via.array.size + 1) * sizeof(*items));
	if (!items)
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i++) {
		if (!take_item(a, &o->via.array.ptr[i], &items[i]))
			return false;
	}
	news->items = items;
	news->n_items = o->via.array.size;
	return true;
}

static bool take_deleted(struct arena *a, const msgpack_object *o,
			 struct feed_news *news)
{
	const char **keys;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	keys = arena_alloc(a, (o->via.array.size + 1) * sizeof(*keys));
	if (!keys)
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i++) {
		keys[i] = text_in(a, &o->via.array.ptr[i]);
		if (!keys[i])
			return false;
	}
	news->deleted = keys;
	news->n_deleted = o->via.array.size;
	return true;
}

static bool take_part(struct arena *a, const msgpack_object *o,
		      struct relay_part *p)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t age;

	if (!is_array(o, PART_FIELDS) || !take_bool(&f[0], &p->known) ||
	    !take_uint(&f[1], &age) || age > INT32_MAX ||
	    !take_bool(&f[2], &p->news.full) || !take_uint(&f[3], &p->news.rev))
		return false;
	p->age_ms = (int64_t)age;
	return take_items(a, &f[4], &p->news) &&
	       take_deleted(a, &f[5], &p->news);
}

static bool news_take(const msgpack_object *o, struct arena *a, uint64_t *seq,
		      struct relay_part *parts)
{
	const msgpack_object *f = o->via.array.ptr;

	if (!is_array(o, NEWS_FIELDS) || !take_uint(&f[0], seq) ||
	    !is_array(&f[1], RELAY_FEEDS))
		return false;
	for (int i = 0; i < RELAY_FEEDS; i++) {
		if (!take_part(a, &f[1].via.array.ptr[i], &parts[i]))
			return false;
	}
	return true;
}

enum err relay_news_read(const void *data, size_t len, struct arena *a,
			 uint64_t *seq, struct relay_part *parts)
{
	msgpack_unpacked u;
	size_t off = 0;
	bool ok;

	memset(parts, 0, RELAY_FEEDS * sizeof(*parts));
	msgpack_unpacked_init(&u);
	ok = msgpack_unpack_next(&u, data, len, &off) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     news_take(&u.data, a, seq, parts);
	msgpack_unpacked_destroy(&u);
	return ok ? ERR_OK : ERR_PARSE;
}
