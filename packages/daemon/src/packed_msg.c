// Reads and writes single fields of msgpack messages.
#include "packed_msg.h"

#include <string.h>

void packed_put_str(msgpack_packer *pk, const char *text)
{
	text = text ? text : "";
	msgpack_pack_str_with_body(pk, text, strlen(text));
}

void packed_put_bool(msgpack_packer *pk, bool v)
{
	if (v)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

bool packed_is_array(const msgpack_object *o, uint32_t n)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size == n;
}

bool packed_get_uint(const msgpack_object *o, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
	return true;
}

bool packed_get_bool(const msgpack_object *o, bool *out)
{
	if (o->type != MSGPACK_OBJECT_BOOLEAN)
		return false;
	*out = o->via.boolean;
	return true;
}

bool packed_get_ms(const msgpack_object *o, int64_t *out)
{
	uint64_t v;

	if (!packed_get_uint(o, &v) || v > INT32_MAX)
		return false;
	*out = (int64_t)v;
	return true;
}

bool packed_get_str(const msgpack_object *o, struct arena *a, const char **out)
{
	if (o->type != MSGPACK_OBJECT_STR ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size))
		return false;
	*out = arena_strndup(a, o->via.str.ptr, o->via.str.size);
	return *out != NULL;
}

bool packed_get_bytes(const msgpack_object *o, struct arena *a,
		      const char **out, size_t *len)
{
	if (o->type != MSGPACK_OBJECT_BIN)
		return false;
	*len = o->via.bin.size;
	*out = arena_strndup(a, o->via.bin.ptr, *len);
	return *out != NULL;
}

enum err packed_decode(const void *data, size_t len,
		       bool (*take)(const msgpack_object *o, void *ctx),
		       void *ctx)
{
	msgpack_unpacked u;
	size_t off = 0;
	bool ok;

	msgpack_unpacked_init(&u);
	ok = msgpack_unpack_next(&u, data, len, &off) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     take(&u.data, ctx);
	msgpack_unpacked_destroy(&u);
	return ok ? ERR_OK : ERR_PARSE;
}
