// Encodes and decodes messages about servers' limits; a malformed one is rejected.
#include "site/limit_msg.h"

#include "packed_msg.h"

enum {
	ENTRY_FIELDS = 7, ///< per entry, in one flat array
	US_PER_MS = 1000,
	MILLI = 1000,
	SPAN_MAX_US = INT32_MAX,
};

static uint64_t micro(double ms)
{
	double us = ms * US_PER_MS;

	return us <= 0 ? 0 : us < SPAN_MAX_US ? (uint64_t)us : SPAN_MAX_US;
}

/* Thousandths; a limit never becomes 0. */
static uint64_t milli(double per_s)
{
	double v = per_s * MILLI;

	if (per_s <= 0)
		return 0;
	return v < 1 ? 1 : v < SPAN_MAX_US ? (uint64_t)v : SPAN_MAX_US;
}

void limit_msg_pack(msgpack_sbuffer *buf, const struct limit_msg_entry *list,
		    size_t n)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, n * ENTRY_FIELDS);
	for (size_t i = 0; i < n; i++) {
		packed_put_str(&pk, list[i].server);
		msgpack_pack_uint64(&pk, list[i].started_ms);
		msgpack_pack_uint64(&pk, milli(list[i].per_s));
		msgpack_pack_uint64(&pk, (uint64_t)list[i].age_ms);
		msgpack_pack_uint64(&pk, list[i].count);
		msgpack_pack_uint64(&pk, micro(list[i].wait_ms));
		msgpack_pack_uint64(&pk, micro(list[i].interval_ms));
	}
}

struct reader {
	struct arena *a;
	struct limit_msg_entry *list;
	size_t *n;
};

static bool take_span(const msgpack_object *o, double per, double *out)
{
	uint64_t v;

	if (!packed_get_uint(o, &v) || v > SPAN_MAX_US)
		return false;
	*out = (double)v / per;
	return true;
}

static bool take_entry(const msgpack_object *f, struct arena *a,
		       struct limit_msg_entry *e)
{
	return packed_get_str(&f[0], a, &e->server) &&
	       packed_get_uint(&f[1], &e->started_ms) &&
	       take_span(&f[2], MILLI, &e->per_s) &&
	       packed_get_ms(&f[3], &e->age_ms) &&
	       packed_get_uint(&f[4], &e->count) &&
	       take_span(&f[5], US_PER_MS, &e->wait_ms) &&
	       take_span(&f[6], US_PER_MS, &e->interval_ms);
}

static bool take_list(const msgpack_object *o, void *ctx)
{
	struct reader *r = ctx;

	*r->n = 0;
	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size % ENTRY_FIELDS ||
	    o->via.array.size / ENTRY_FIELDS > LIMIT_MSG_ENTRIES_MAX)
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i += ENTRY_FIELDS) {
		if (!take_entry(&o->via.array.ptr[i], r->a, &r->list[*r->n]))
			return false;
		(*r->n)++;
	}
	return true;
}

enum err limit_msg_read(const void *data, size_t len, struct arena *a,
			struct limit_msg_entry *list, size_t *n)
{
	struct reader r = {a, list, n};

	return packed_decode(data, len, take_list, &r);
}
