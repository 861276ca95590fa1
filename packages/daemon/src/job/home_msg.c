// Packs and reads the messages; a malformed one is refused whole.
#include "job/home_msg.h"

#include <string.h>

enum {
	ASK_FIELDS = 11,
	REPLY_FIELDS = 6,
};

static void pack_text(msgpack_packer *pk, const char *text)
{
	text = text ? text : "";
	msgpack_pack_str_with_body(pk, text, strlen(text));
}

void job_home_ask_pack(msgpack_sbuffer *buf, const struct home_ask *ask)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ASK_FIELDS);
	msgpack_pack_uint64(&pk, ask->seq);
	msgpack_pack_uint64(&pk, ask->kind);
	pack_text(&pk, ask->addr);
	pack_text(&pk, ask->job);
	pack_text(&pk, ask->item);
	pack_text(&pk, ask->team);
	pack_text(&pk, ask->host);
	pack_text(&pk, ask->path);
	msgpack_pack_uint64(&pk, ask->after);
	msgpack_pack_uint64(&pk, (uint64_t)ask->wait_ms);
	msgpack_pack_bin_with_body(&pk, ask->body ? ask->body : "", ask->len);
}

static bool take_uint(const msgpack_object *o, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
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
		     struct home_ask *ask)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t kind, wait;

	if (!is_array(o, ASK_FIELDS) || !take_uint(&f[0], &ask->seq) ||
	    !take_uint(&f[1], &kind) || kind > HOME_END ||
	    !take_text(&f[2], a, &ask->addr) ||
	    !take_text(&f[3], a, &ask->job) ||
	    !take_text(&f[4], a, &ask->item) ||
	    !take_text(&f[5], a, &ask->team) ||
	    !take_text(&f[6], a, &ask->host) ||
	    !take_text(&f[7], a, &ask->path) ||
	    !take_uint(&f[8], &ask->after) || !take_uint(&f[9], &wait) ||
	    wait > INT32_MAX || !take_bytes(&f[10], a, &ask->body, &ask->len))
		return false;
	ask->kind = (enum home_kind)kind;
	ask->wait_ms = (int64_t)wait;
	return true;
}

enum err job_home_ask_read(const void *data, size_t len, struct arena *a,
			   struct home_ask *ask)
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

void job_home_reply_pack(msgpack_sbuffer *buf, const struct home_reply *reply)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, REPLY_FIELDS);
	msgpack_pack_uint64(&pk, reply->seq);
	msgpack_pack_uint64(&pk, reply->err);
	msgpack_pack_uint64(&pk, reply->run);
	msgpack_pack_uint64(&pk, (uint64_t)reply->status);
	pack_text(&pk, reply->ctype);
	msgpack_pack_bin_with_body(&pk, reply->body, reply->len);
}

static bool reply_take(const msgpack_object *o, struct arena *a,
		       struct home_reply *reply)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t err, run, status;

	if (!is_array(o, REPLY_FIELDS) || !take_uint(&f[0], &reply->seq) ||
	    !take_uint(&f[1], &err) || err > INT16_MAX ||
	    !take_uint(&f[2], &run) || run > RUN_DONE ||
	    !take_uint(&f[3], &status) || status > 599 ||
	    !take_text(&f[4], a, &reply->ctype) ||
	    !take_bytes(&f[5], a, &reply->body, &reply->len))
		return false;
	reply->err = (enum err)err;
	reply->run = (enum run_state)run;
	reply->status = (int)status;
	return true;
}

enum err job_home_reply_read(const void *data, size_t len, struct arena *a,
			     struct home_reply *reply)
{
	msgpack_unpacked u;
	size_t off = 0;
	bool ok;

	msgpack_unpacked_init(&u);
	ok = msgpack_unpack_next(&u, data, len, &off) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     reply_take(&u.data, a, reply);
	msgpack_unpacked_destroy(&u);
	return ok ? ERR_OK : ERR_PARSE;
}
