// Encodes and decodes the messages of home nodes; a malformed message is rejected.
#include "job/home_msg.h"

#include "http/http.h"
#include "packed_msg.h"

enum {
	ASK_FIELDS = 11,
	REPLY_FIELDS = 6,
};

void job_home_request_pack(msgpack_sbuffer *buf,
			   const struct home_request *request)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ASK_FIELDS);
	msgpack_pack_uint64(&pk, request->seq);
	msgpack_pack_uint64(&pk, request->kind);
	packed_put_str(&pk, request->addr);
	packed_put_str(&pk, request->job);
	packed_put_str(&pk, request->item);
	packed_put_str(&pk, request->team);
	packed_put_str(&pk, request->host);
	packed_put_str(&pk, request->path);
	msgpack_pack_uint64(&pk, request->after);
	msgpack_pack_uint64(&pk, (uint64_t)request->wait_ms);
	msgpack_pack_bin_with_body(&pk, request->body ? request->body : "",
				   request->len);
}

struct request_ctx {
	struct arena *a;
	struct home_request *request;
};

static bool request_read_fields(const msgpack_object *o, void *ctx)
{
	struct request_ctx *r = ctx;
	struct home_request *request = r->request;
	struct arena *a = r->a;
	const msgpack_object *f = o->via.array.ptr;
	uint64_t kind, wait;

	if (!packed_is_array(o, ASK_FIELDS) ||
	    !packed_get_uint(&f[0], &request->seq) ||
	    !packed_get_uint(&f[1], &kind) || kind > HOME_END ||
	    !packed_get_str(&f[2], a, &request->addr) ||
	    !packed_get_str(&f[3], a, &request->job) ||
	    !packed_get_str(&f[4], a, &request->item) ||
	    !packed_get_str(&f[5], a, &request->team) ||
	    !packed_get_str(&f[6], a, &request->host) ||
	    !packed_get_str(&f[7], a, &request->path) ||
	    !packed_get_uint(&f[8], &request->after) ||
	    !packed_get_uint(&f[9], &wait) || wait > INT32_MAX ||
	    !packed_get_bytes(&f[10], a, &request->body, &request->len))
		return false;
	request->kind = (enum home_request_kind)kind;
	request->wait_ms = (int64_t)wait;
	return true;
}

enum err job_home_request_read(const void *data, size_t len, struct arena *a,
			       struct home_request *request)
{
	struct request_ctx r = {a, request};

	return packed_decode(data, len, request_read_fields, &r);
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
	packed_put_str(&pk, reply->ctype);
	msgpack_pack_bin_with_body(&pk, reply->body, reply->len);
}

struct reply_ctx {
	struct arena *a;
	struct home_reply *reply;
};

static bool reply_read_fields(const msgpack_object *o, void *ctx)
{
	struct reply_ctx *r = ctx;
	struct home_reply *reply = r->reply;
	struct arena *a = r->a;
	const msgpack_object *f = o->via.array.ptr;
	uint64_t err, run, status;

	if (!packed_is_array(o, REPLY_FIELDS) ||
	    !packed_get_uint(&f[0], &reply->seq) ||
	    !packed_get_uint(&f[1], &err) || err > INT16_MAX ||
	    !packed_get_uint(&f[2], &run) || run > RUN_DONE ||
	    !packed_get_uint(&f[3], &status) || status > 599 ||
	    !packed_get_str(&f[4], a, &reply->ctype) ||
	    !packed_get_bytes(&f[5], a, &reply->body, &reply->len))
		return false;
	reply->err = (enum err)err;
	reply->run = (enum run_state)run;
	reply->status = (int)status;
	/* An error has no status of its own, an answer has a final one. */
	return reply->err != ERR_OK || http_status_final(reply->status);
}

enum err job_home_reply_read(const void *data, size_t len, struct arena *a,
			     struct home_reply *reply)
{
	struct reply_ctx r = {a, reply};

	return packed_decode(data, len, reply_read_fields, &r);
}
