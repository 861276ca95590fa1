// Encodes and decodes the handover message; a malformed message is rejected.
#include "job/handover_msg.h"

#include "packed_msg.h"

enum {
	HANDOVER_FIELDS = 7,
};

void handover_pack(msgpack_sbuffer *buf, const struct handover *h)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, HANDOVER_FIELDS);
	packed_put_str(&pk, h->job);
	msgpack_pack_uint64(&pk, h->rev);
	packed_put_str(&pk, h->run);
	packed_put_str(&pk, h->team);
	msgpack_pack_uint64(&pk, h->total);
	msgpack_pack_uint64(&pk, h->at_ms);
	msgpack_pack_uint64(&pk, h->age_ms);
}

struct read_ctx {
	struct arena *a;
	struct handover *h;
};

static bool read_fields(const msgpack_object *o, void *ctx)
{
	const struct read_ctx *r = ctx;
	struct handover *h = r->h;
	const msgpack_object *f = o->via.array.ptr;

	return packed_is_array(o, HANDOVER_FIELDS) &&
	       packed_get_str(&f[0], r->a, &h->job) && h->job[0] &&
	       packed_get_uint(&f[1], &h->rev) && h->rev &&
	       packed_get_str(&f[2], r->a, &h->run) &&
	       packed_get_str(&f[3], r->a, &h->team) &&
	       packed_get_uint(&f[4], &h->total) &&
	       packed_get_uint(&f[5], &h->at_ms) && h->at_ms <= INT64_MAX &&
	       packed_get_uint(&f[6], &h->age_ms) && h->age_ms <= INT32_MAX;
}

enum err handover_read(const void *data, size_t len, struct arena *a,
		       struct handover *h)
{
	struct read_ctx r = {a, h};

	return packed_decode(data, len, read_fields, &r);
}
