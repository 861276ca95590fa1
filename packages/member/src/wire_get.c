// Decodes the messages, and checks every length and type.
#include "wire.h"

#include <stdlib.h>
#include <string.h>

#include "base/msgpack_check.h"

static bool get_array(const msgpack_object *o, uint32_t min, uint32_t max)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size >= min &&
	       o->via.array.size <= max;
}

static const msgpack_object *elem(const msgpack_object *o, uint32_t i)
{
	return &o->via.array.ptr[i];
}

static bool get_str(const msgpack_object *o, char *out, bool empty_ok)
{
	uint32_t len;

	if (o->type != MSGPACK_OBJECT_STR)
		return false;
	len = o->via.str.size;
	if (len >= MEMBER_ID_MAX || (len == 0 && !empty_ok) ||
	    memchr(o->via.str.ptr, '\0', len))
		return false;
	memcpy(out, o->via.str.ptr, len);
	out[len] = '\0';
	return true;
}

static bool get_bool(const msgpack_object *o, bool *out)
{
	if (o->type != MSGPACK_OBJECT_BOOLEAN)
		return false;
	*out = o->via.boolean;
	return true;
}

static bool get_u64(const msgpack_object *o, uint64_t max, uint64_t *out)
{
	*out = o->via.u64;
	return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && *out <= max;
}

static bool get_u32(const msgpack_object *o, uint32_t *out)
{
	uint64_t v;

	if (!get_u64(o, UINT32_MAX, &v))
		return false;
	*out = (uint32_t)v;
	return true;
}

static bool get_count(const msgpack_object *o, int32_t *out)
{
	uint64_t v;

	if (!get_u64(o, INT32_MAX, &v))
		return false;
	*out = (int32_t)v;
	return true;
}

static bool get_keys(const msgpack_object *o, int64_t *keys)
{
	if (!get_array(o, MEMBER_KEYS, MEMBER_KEYS))
		return false;
	for (uint32_t i = 0; i < MEMBER_KEYS; i++) {
		const msgpack_object *k = elem(o, i);

		if (k->type == MSGPACK_OBJECT_NEGATIVE_INTEGER ||
		    (k->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		     k->via.u64 <= INT64_MAX))
			keys[i] = k->via.i64;
		else
			return false;
	}
	return true;
}

static bool get_contacts(const msgpack_object *o, struct member_domain *d)
{
	if (!get_array(o, 0, MEMBER_CONTACTS))
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i++) {
		const msgpack_object *c = elem(o, i);

		if (!get_array(c, 2, 2) ||
		    !get_str(elem(c, 0), d->contacts[i].id, false) ||
		    !get_str(elem(c, 1), d->contacts[i].addr, false))
			return false;
	}
	d->n_contacts = (int)o->via.array.size;
	return true;
}

static bool get_values(const msgpack_object *o, struct member_domain *d)
{
	return get_array(o, 5, 5) && get_str(elem(o, 0), d->name, false) &&
	       get_count(elem(o, 1), &d->alive) &&
	       get_count(elem(o, 2), &d->draining) &&
	       get_keys(elem(o, 3), d->min) && get_keys(elem(o, 4), d->max);
}

static bool get_hashes(const msgpack_object *o, uint32_t max, uint32_t *out,
		       int *n)
{
	if (!get_array(o, 0, max))
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i++) {
		if (!get_u32(elem(o, i), &out[i]))
			return false;
	}
	*n = (int)o->via.array.size;
	return true;
}

static bool get_links(const msgpack_object *o, struct rec *r)
{
	return get_array(o, 6, 6) && get_str(elem(o, 0), r->id, false) &&
	       get_str(elem(o, 1), r->addr, false) &&
	       get_bool(elem(o, 2), &r->draining) &&
	       get_bool(elem(o, 3), &r->left) &&
	       get_hashes(elem(o, 4), REC_HEARD, r->heard, &r->n_heard) &&
	       get_hashes(elem(o, 5), MEMBER_DOMAINS, r->domains,
			  &r->n_domains) &&
	       rec_hash(r->id) == r->hash;
}

static bool get_reports(const msgpack_object *o, struct rec *r, bool contacts)
{
	if (!get_array(o, 0, MEMBER_DOMAINS))
		return false;
	r->reports = calloc(o->via.array.size + 1, sizeof(*r->reports));
	if (!r->reports)
		return false;
	r->n_reports = (int)o->via.array.size;
	for (int i = 0; i < r->n_reports; i++) {
		const msgpack_object *e = elem(o, (uint32_t)i);
		struct member_domain *d = &r->reports[i];
		bool ok = contacts ? get_array(e, 2, 2) &&
					     get_str(elem(e, 0), d->name,
						     false) &&
					     get_contacts(elem(e, 1), d)
				   : get_values(e, d);

		if (!ok)
			return false;
	}
	return true;
}

static bool get_payload(const msgpack_object *o, enum rec_part part,
			struct rec *r)
{
	if (part == PART_LINKS)
		return get_links(o, r);
	if (part == PART_VALUES)
		return get_keys(o, r->keys);
	return get_reports(o, r, part == PART_CONTACTS);
}

static bool get_item(const msgpack_object *o, struct wire_item *it)
{
	uint64_t part;

	it->rec = calloc(1, sizeof(*it->rec));
	if (!it->rec || !get_array(o, 5, 5) ||
	    !get_u32(elem(o, 0), &it->rec->hash) ||
	    !get_u64(elem(o, 1), UINT64_MAX, &it->rec->inc) ||
	    !get_u64(elem(o, 2), REC_PARTS - 1, &part) ||
	    !get_u32(elem(o, 3), &it->seq) || it->rec->inc == 0)
		return false;
	it->part = (enum rec_part)part;
	return get_payload(elem(o, 4), it->part, it->rec);
}

void wire_heartbeat_clear(struct wire_heartbeat *b)
{
	for (int i = 0; i < b->n_items; i++) {
		if (b->items[i].rec)
			rec_clear(b->items[i].rec);
		free(b->items[i].rec);
	}
	free(b->items);
	b->items = NULL;
	b->n_items = 0;
}

static bool get_heartbeat(const msgpack_object *o, struct wire_heartbeat *b)
{
	const msgpack_object *items;

	if (!get_array(o, 4, 4) || !get_str(elem(o, 0), b->domain, false) ||
	    !get_bool(elem(o, 1), &b->hears_you) ||
	    !get_u64(elem(o, 2), UINT64_MAX, &b->digest))
		return false;
	items = elem(o, 3);
	if (!get_array(items, 0, REC_MAX))
		return false;
	b->items = calloc(items->via.array.size + 1, sizeof(*b->items));
	if (!b->items)
		return false;
	b->n_items = (int)items->via.array.size;
	for (int i = 0; i < b->n_items; i++) {
		if (!get_item(elem(items, (uint32_t)i), &b->items[i]))
			return false;
	}
	return true;
}

static bool get_version(const msgpack_object *o, struct wire_version *v)
{
	if (!get_array(o, 2 + REC_PARTS, 2 + REC_PARTS) ||
	    !get_u32(elem(o, 0), &v->hash) ||
	    !get_u64(elem(o, 1), UINT64_MAX, &v->inc))
		return false;
	for (uint32_t k = 0; k < REC_PARTS; k++) {
		if (!get_u32(elem(o, 2 + k), &v->seq[k]))
			return false;
	}
	return true;
}

static bool get_versions(const msgpack_object *o, struct wire_versions *v)
{
	const msgpack_object *list;

	if (!get_array(o, 2, 2) || !get_str(elem(o, 0), v->domain, false))
		return false;
	list = elem(o, 1);
	if (!get_array(list, 0, REC_MAX))
		return false;
	v->v = calloc(list->via.array.size + 1, sizeof(*v->v));
	if (!v->v)
		return false;
	v->n = (int)list->via.array.size;
	for (int i = 0; i < v->n; i++) {
		if (!get_version(elem(list, (uint32_t)i), &v->v[i]))
			return false;
	}
	return true;
}

/// Unpack one object that fills the buffer.
static bool unpack(msgpack_unpacked *u, const void *buf, size_t len)
{
	size_t off = 0;

	msgpack_unpacked_init(u);
	return msgpack_is_valid(buf, len) &&
	       msgpack_unpack_next(u, buf, len, &off) ==
		       MSGPACK_UNPACK_SUCCESS &&
	       off == len;
}

enum err wire_get_heartbeat(const void *buf, size_t len,
			    struct wire_heartbeat *out)
{
	msgpack_unpacked u;
	bool ok;

	memset(out, 0, sizeof(*out));
	ok = unpack(&u, buf, len) && get_heartbeat(&u.data, out);
	msgpack_unpacked_destroy(&u);
	if (!ok)
		wire_heartbeat_clear(out);
	return ok ? ERR_OK : ERR_PARSE;
}

enum err wire_get_versions(const void *buf, size_t len,
			   struct wire_versions *out)
{
	msgpack_unpacked u;
	bool ok;

	memset(out, 0, sizeof(*out));
	ok = unpack(&u, buf, len) && get_versions(&u.data, out);
	msgpack_unpacked_destroy(&u);
	if (ok)
		return ERR_OK;
	free(out->v);
	out->v = NULL;
	return ERR_PARSE;
}

enum err wire_get_summary(const void *buf, size_t len, struct wire_summary *out)
{
	msgpack_unpacked u;
	bool ok;

	memset(out, 0, sizeof(*out));
	ok = unpack(&u, buf, len) && get_array(&u.data, 3, 3) &&
	     get_bool(elem(&u.data, 0), &out->reply) &&
	     get_values(elem(&u.data, 1), &out->d) &&
	     get_contacts(elem(&u.data, 2), &out->d);
	out->d.heard = true;
	msgpack_unpacked_destroy(&u);
	return ok ? ERR_OK : ERR_PARSE;
}
