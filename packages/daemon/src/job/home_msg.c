// Packs and reads the messages; a malformed one is refused whole.
#include "job/home_msg.h"

#include "packed_msg.h"

enum {
	ASK_FIELDS = 11,
	REPLY_FIELDS = 6,
};

void job_home_ask_pack(msgpack_sbuffer *buf, const struct home_ask *ask)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ASK_FIELDS);
	msgpack_pack_uint64(&pk, ask->seq);
	msgpack_pack_uint64(&pk, ask->kind);
	packed_text(&pk, ask->addr);
	packed_text(&pk, ask->job);
	packed_text(&pk, ask->item);
	packed_text(&pk, ask->team);
	packed_text(&pk, ask->host);
	packed_text(&pk, ask->path);
	msgpack_pack_uint64(&pk, ask->after);
	msgpack_pack_uint64(&pk, (uint64_t)ask->wait_ms);
	msgpack_pack_bin_with_body(&pk, ask->body ? ask->body : "", ask->len);
}

struct ask_read {
	struct arena *a;
	struct home_ask *ask;
};

static bool ask_take(const msgpack_object *o, void *ctx)
{
	struct ask_read *r = ctx;
	struct home_ask *ask = r->ask;
	struct arena *a = r->a;
	const msgpack_object *f = o->via.array.ptr;
	uint64_t kind, wait;

	if (!packed_is_array(o, ASK_FIELDS) ||
	    !packed_take_uint(&f[0], &ask->seq) ||
	    !packed_take_uint(&f[1], &kind) || kind > HOME_END ||
	    !packed_take_text(&f[2], a, &ask->addr) ||
	    !packed_take_text(&f[3], a, &ask->job) ||
	    !packed_take_text(&f[4], a, &ask->item) ||
	    !packed_take_text(&f[5], a, &ask->team) ||
	    !packed_take_text(&f[6], a, &ask->host) ||
	    !packed_take_text(&f[7], a, &ask->path) ||
	    !packed_take_uint(&f[8], &ask->after) ||
	    !packed_take_uint(&f[9], &wait) || wait > INT32_MAX ||
	    !packed_take_bytes(&f[10], a, &ask->body, &ask->len))
		return false;
	ask->kind = (enum home_kind)kind;
	ask->wait_ms = (int64_t)wait;
	return true;
}

enum err job_home_ask_read(const void *data, size_t len, struct arena *a,
			   struct home_ask *ask)
{
	struct ask_read r = {a, ask};

	return packed_read(data, len, ask_take, &r);
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
	packed_text(&pk, reply->ctype);
	msgpack_pack_bin_with_body(&pk, reply->body, reply->len);
}

struct reply_read {
	struct arena *a;
	struct home_reply *reply;
};

static bool reply_take(const msgpack_object *o, void *ctx)
{
	struct reply_read *r = ctx;
	struct home_reply *reply = r->reply;
	struct arena *a = r->a;
	const msgpack_object *f = o->via.array.ptr;
	uint64_t err, run, status;

	if (!packed_is_array(o, REPLY_FIELDS) ||
	    !packed_take_uint(&f[0], &reply->seq) ||
	    !packed_take_uint(&f[1], &err) || err > INT16_MAX ||
	    !packed_take_uint(&f[2], &run) || run > RUN_DONE ||
	    !packed_take_uint(&f[3], &status) || status > 599 ||
	    !packed_take_text(&f[4], a, &reply->ctype) ||
	    !packed_take_bytes(&f[5], a, &reply->body, &reply->len))
		return false;
	reply->err = (enum err)err;
	reply->run = (enum run_state)run;
	reply->status = (int)status;
	return true;
}

enum err job_home_reply_read(const void *data, size_t len, struct arena *a,
			     struct home_reply *reply)
{
	struct reply_read r = {a, reply};

	return packed_read(data, len, reply_take, &r);
}
