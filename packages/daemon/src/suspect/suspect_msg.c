// Encodes and decodes news of requests under which servers ended; a malformed message is
// rejected.
#include "suspect/suspect_msg.h"

#include "packed_msg.h"

enum {
	NEWS_FIELDS = 7, ///< per event, in one flat array
};

void suspect_msg_pack(msgpack_sbuffer *buf, const struct suspect_news *list,
		      size_t n)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, n * NEWS_FIELDS);
	for (size_t i = 0; i < n; i++) {
		msgpack_pack_uint64(&pk, list[i].kind);
		msgpack_pack_uint64(&pk, list[i].id.high);
		msgpack_pack_uint64(&pk, list[i].id.low);
		packed_put_str(&pk, list[i].server);
		msgpack_pack_uint64(&pk, list[i].started_ms);
		msgpack_pack_uint64(&pk, (uint64_t)list[i].age_ms);
		msgpack_pack_uint64(&pk, (uint64_t)list[i].seen_age_ms);
	}
}

struct reader {
	struct arena *a;
	struct suspect_news *list;
	size_t *n;
};

static bool take_news(const msgpack_object *f, struct arena *a,
		      struct suspect_news *out)
{
	uint64_t kind;

	if (!packed_get_uint(&f[0], &kind) || kind >= SUSPECT_NEWS_KINDS)
		return false;
	out->kind = (enum suspect_news_kind)kind;
	return packed_get_uint(&f[1], &out->id.high) &&
	       packed_get_uint(&f[2], &out->id.low) &&
	       packed_get_str(&f[3], a, &out->server) &&
	       packed_get_uint(&f[4], &out->started_ms) &&
	       packed_get_ms(&f[5], &out->age_ms) &&
	       packed_get_ms(&f[6], &out->seen_age_ms);
}

static bool take_list(const msgpack_object *o, void *ctx)
{
	struct reader *r = ctx;

	*r->n = 0;
	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size % NEWS_FIELDS ||
	    o->via.array.size / NEWS_FIELDS > SUSPECT_MSG_NEWS_MAX)
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i += NEWS_FIELDS) {
		if (!take_news(&o->via.array.ptr[i], r->a, &r->list[*r->n]))
			return false;
		(*r->n)++;
	}
	return true;
}

enum err suspect_msg_read(const void *data, size_t len, struct arena *a,
			  struct suspect_news *list, size_t *n)
{
	struct reader r = {a, list, n};

	return packed_decode(data, len, take_list, &r);
}
