// Encodes and decodes request reports; a malformed one is rejected as a whole.
#include "room/room_msg.h"

#include <string.h>

#include "packed_msg.h"

enum {
	REPORT_FIELDS = 5,
	SERVER_FIELDS = 2, ///< per server, in one flat array
	STEP_FIELDS = 7,
};

static void pack_step(msgpack_packer *pk, const struct room_step *s)
{
	msgpack_pack_array(pk, STEP_FIELDS);
	packed_put_str(pk, s->model);
	msgpack_pack_uint64(pk, (uint64_t)s->step);
	msgpack_pack_uint64(pk, (uint64_t)s->waiting);
	msgpack_pack_uint64(pk, (uint64_t)s->running);
	msgpack_pack_uint64(pk, (uint64_t)s->events_left);
	msgpack_pack_uint64(pk, s->min_version);
	msgpack_pack_int64(pk, s->due_in_ms);
}

void room_report_pack(msgpack_sbuffer *buf, const struct room_report *rep,
		      const struct room_msg_server_requests *servers,
		      size_t n_servers)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, REPORT_FIELDS);
	msgpack_pack_uint64(&pk, rep->process_start_ms);
	msgpack_pack_uint64(&pk, rep->seq);
	msgpack_pack_uint64(&pk, (uint64_t)rep->sent_ms);
	msgpack_pack_array(&pk, n_servers * SERVER_FIELDS);
	for (size_t i = 0; i < n_servers; i++) {
		packed_put_str(&pk, servers[i].id);
		msgpack_pack_uint64(&pk, (uint64_t)servers[i].running);
	}
	msgpack_pack_array(&pk, rep->n_steps);
	for (size_t i = 0; i < rep->n_steps; i++)
		pack_step(&pk, &rep->steps[i]);
}

struct report_reader {
	htab_handle (*server)(void *ctx, const char *id, size_t len);
	void *ctx;
	struct room_report *out;
};

static bool take_count(const msgpack_object *o, uint64_t max, int *out)
{
	uint64_t v;

	if (!packed_get_uint(o, &v) || v > max)
		return false;
	*out = (int)v;
	return true;
}

static bool take_positive(const msgpack_object *o, int64_t *out)
{
	uint64_t v;

	if (!packed_get_uint(o, &v) || v > INT64_MAX)
		return false;
	*out = (int64_t)v;
	return true;
}

/* A time span, negative if it lies in the past. */
static bool take_signed_ms(const msgpack_object *o, int64_t *out)
{
	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER &&
	    o->via.i64 >= -INT32_MAX) {
		*out = o->via.i64;
		return true;
	}
	return packed_get_ms(o, out);
}

static bool take_name(const msgpack_object *o, char name[ROOM_NAME_MAX])
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= ROOM_NAME_MAX)
		return false;
	memcpy(name, o->via.str.ptr, o->via.str.size);
	name[o->via.str.size] = '\0';
	return true;
}

static bool take_server_requests(const struct report_reader *r,
				 const msgpack_object *f)
{
	struct room_server_requests *entry =
		&r->out->servers[r->out->n_servers++];

	if (f[0].type != MSGPACK_OBJECT_STR ||
	    !take_count(&f[1], ROOM_RUNNING_MAX, &entry->running))
		return false;
	entry->server = r->server(r->ctx, f[0].via.str.ptr, f[0].via.str.size);
	return true;
}

static bool take_step(const struct report_reader *r, const msgpack_object *o)
{
	struct room_step *s = &r->out->steps[r->out->n_steps++];
	const msgpack_object *f = o->via.array.ptr;

	return packed_is_array(o, STEP_FIELDS) && take_name(&f[0], s->model) &&
	       take_positive(&f[1], &s->step) &&
	       take_count(&f[2], ROOM_SAMPLES_MAX, &s->waiting) &&
	       take_count(&f[3], ROOM_SAMPLES_MAX, &s->running) &&
	       take_positive(&f[4], &s->events_left) &&
	       packed_get_uint(&f[5], &s->min_version) &&
	       take_signed_ms(&f[6], &s->due_in_ms);
}

static bool take_report(const msgpack_object *o, void *ctx)
{
	const struct report_reader *r = ctx;
	struct room_report *out = r->out;
	const msgpack_object *f = o->via.array.ptr;
	const msgpack_object_array *servers, *steps;

	out->n_servers = 0;
	out->n_steps = 0;
	if (!packed_is_array(o, REPORT_FIELDS) ||
	    !packed_get_uint(&f[0], &out->process_start_ms) ||
	    !packed_get_uint(&f[1], &out->seq) ||
	    !take_positive(&f[2], &out->sent_ms) ||
	    f[3].type != MSGPACK_OBJECT_ARRAY ||
	    f[4].type != MSGPACK_OBJECT_ARRAY)
		return false;
	servers = &f[3].via.array;
	steps = &f[4].via.array;
	if (servers->size % SERVER_FIELDS ||
	    servers->size / SERVER_FIELDS > ROOM_SERVERS_MAX ||
	    steps->size > ROOM_MODELS_MAX)
		return false;
	for (uint32_t i = 0; i < servers->size; i += SERVER_FIELDS) {
		if (!take_server_requests(r, &servers->ptr[i]))
			return false;
	}
	for (uint32_t i = 0; i < steps->size; i++) {
		if (!take_step(r, &steps->ptr[i]))
			return false;
	}
	return true;
}

enum err room_report_read(const void *data, size_t len,
			  htab_handle (*server)(void *ctx, const char *id,
						size_t len),
			  void *ctx, struct room_report *out)
{
	struct report_reader r = {server, ctx, out};

	return packed_decode(data, len, take_report, &r);
}
