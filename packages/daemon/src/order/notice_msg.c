// Encodes and decodes notices of load orders; a malformed one is rejected.
#include "order/notice_msg.h"

#include "packed_msg.h"

enum {
	NOTICE_FIELDS = 6,
};

void order_notice_pack(msgpack_sbuffer *buf, const struct order_notice *n)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, NOTICE_FIELDS);
	packed_put_str(&pk, n->server);
	msgpack_pack_uint64(&pk, n->started_ms);
	packed_put_str(&pk, n->model);
	msgpack_pack_uint64(&pk, n->version);
	msgpack_pack_uint64(&pk, (uint64_t)n->since_sent_ms);
	msgpack_pack_uint64(&pk, n->state);
}

struct notice_reader {
	struct arena *a;
	struct order_notice *n;
};

static bool take_notice(const msgpack_object *o, void *ctx)
{
	struct notice_reader *r = ctx;
	struct order_notice *n = r->n;
	struct arena *a = r->a;
	const msgpack_object *f = o->via.array.ptr;
	uint64_t state;

	if (!packed_is_array(o, NOTICE_FIELDS) ||
	    !packed_get_str(&f[0], a, &n->server) ||
	    !packed_get_uint(&f[1], &n->started_ms) ||
	    n->started_ms > INT64_MAX || !packed_get_str(&f[2], a, &n->model) ||
	    !packed_get_uint(&f[3], &n->version) || !n->version ||
	    !packed_get_ms(&f[4], &n->since_sent_ms) ||
	    !packed_get_uint(&f[5], &state) || state > SITE_ORDER_PRESENT)
		return false;
	n->state = (enum site_order_state)state;
	return true;
}

enum err order_notice_read(const void *data, size_t len, struct arena *a,
			   struct order_notice *n)
{
	struct notice_reader r = {a, n};

	return packed_decode(data, len, take_notice, &r);
}
