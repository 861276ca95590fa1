// Packs and parses slot requests and permits.
#include "work_mod_slot_msg.h"

#include <stdio.h>
#include <string.h>

#include "core/core.h"

enum {
	ASK_FIELDS = 10, ///< in each item
	PERMIT_FIELDS = 9, ///< in each item
	ASK_QUEUES_MAX = 64,
};

/// Buffered slot requests for one coordinator.
struct slot_ask_queue {
	char coordinator[WORK_NAME_LEN];
	struct slot_asks asks;
};

static struct slot_ask_queue ask_queues[ASK_QUEUES_MAX];
static size_t n_ask_queues;

static void pack_begin(msgpack_packer *pk, msgpack_sbuffer *sb, size_t fields)
{
	msgpack_sbuffer_init(sb);
	msgpack_packer_init(pk, sb, msgpack_sbuffer_write);
	msgpack_pack_array(pk, fields);
}

static void pack_ask(msgpack_packer *pk, const struct slot_ask_item *it)
{
	msgpack_pack_uint64(pk, it->server);
	msgpack_pack_uint32(pk, it->ask.seq);
	msgpack_pack_uint32(pk, it->ask.acked);
	msgpack_pack_uint16(pk, it->ask.want);
	msgpack_pack_uint16(pk, it->ask.in_use);
	msgpack_pack_uint32(pk, it->ask.drain_ms);
	msgpack_pack_uint16(pk, it->ask.known);
	msgpack_pack_uint32(pk, it->ask.sample.ok_count);
	msgpack_pack_uint32(pk, it->ask.sample.errors);
	msgpack_pack_uint32(pk, it->ask.sample.ok_sum_ms);
}

static void ask_queue_send(struct core *c, const struct slot_ask_queue *o)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	pack_begin(&pk, &sb, 1 + ASK_FIELDS * o->asks.n);
	msgpack_pack_uint64(&pk, work_state(c)->incarnation_hash);
	for (size_t i = 0; i < o->asks.n; i++)
		pack_ask(&pk, &o->asks.items[i]);
	work_pack_send(c, o->coordinator, PEER_SLOT_ASK, &sb);
}

static struct slot_ask_queue *ask_queue_for(const char *coordinator)
{
	for (size_t i = 0; i < n_ask_queues; i++) {
		if (strcmp(ask_queues[i].coordinator, coordinator) == 0 &&
		    ask_queues[i].asks.n < SLOT_MSG_SERVERS_MAX)
			return &ask_queues[i];
	}
	if (n_ask_queues == ASK_QUEUES_MAX)
		return NULL;
	snprintf(ask_queues[n_ask_queues].coordinator, WORK_NAME_LEN, "%s",
		 coordinator);
	ask_queues[n_ask_queues].asks.n = 0;
	return &ask_queues[n_ask_queues++];
}

void slot_asks_add(struct core *c, const char *coordinator, uint64_t server,
		   const struct slot_request *ask)
{
	struct slot_ask_queue *o = ask_queue_for(coordinator);

	if (!o) {
		slot_asks_flush(c);
		o = ask_queue_for(coordinator);
	}
	o->asks.items[o->asks.n++] = (struct slot_ask_item){server, *ask};
}

void slot_asks_flush(struct core *c)
{
	for (size_t i = 0; i < n_ask_queues; i++)
		ask_queue_send(c, &ask_queues[i]);
	n_ask_queues = 0;
}

static size_t read_count(struct work_reader *r, const void *buf, size_t len,
			 size_t n_header, size_t fields)
{
	size_t off = 0;
	size_t n;

	*r = (struct work_reader){.malformed = true};
	msgpack_unpacked_init(&r->msg);
	if (msgpack_unpack_next(&r->msg, buf, len, &off) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    off != len || r->msg.data.type != MSGPACK_OBJECT_ARRAY)
		return 0;
	n = r->msg.data.via.array.size;
	if (n < n_header || (n - n_header) % fields != 0 ||
	    (n - n_header) / fields > SLOT_MSG_SERVERS_MAX)
		return 0;
	r->malformed = false;
	return (n - n_header) / fields;
}

static void read_ask(struct work_reader *r, struct slot_ask_item *it)
{
	it->server = work_read_u64(r, UINT64_MAX);
	it->ask.seq = (uint32_t)work_read_u64(r, UINT32_MAX);
	it->ask.acked = (uint32_t)work_read_u64(r, UINT32_MAX);
	it->ask.want = (uint16_t)work_read_u64(r, UINT16_MAX);
	it->ask.in_use = (uint16_t)work_read_u64(r, UINT16_MAX);
	it->ask.drain_ms = (uint32_t)work_read_u64(r, UINT32_MAX);
	it->ask.known = (uint16_t)work_read_u64(r, UINT16_MAX);
	it->ask.sample.ok_count = (uint32_t)work_read_u64(r, UINT32_MAX);
	it->ask.sample.errors = (uint32_t)work_read_u64(r, UINT32_MAX);
	it->ask.sample.ok_sum_ms = (uint32_t)work_read_u64(r, UINT32_MAX);
}

bool slot_asks_read(const void *buf, size_t len, struct slot_asks *m)
{
	struct work_reader r;
	bool ok;

	m->n = read_count(&r, buf, len, 1, ASK_FIELDS);
	m->node = work_read_u64(&r, UINT64_MAX);
	for (size_t i = 0; i < m->n; i++)
		read_ask(&r, &m->items[i]);
	ok = !r.malformed && m->node != 0;
	work_read_end(&r);
	return ok;
}

static void pack_permit(struct core *c, msgpack_packer *pk,
			const struct slot_permit_item *it)
{
	int64_t age = core_now(c) - it->load.as_of_ms;

	msgpack_pack_uint64(pk, it->server);
	msgpack_pack_uint32(pk, it->permit.seq);
	msgpack_pack_uint16(pk, it->permit.slots);
	msgpack_pack_uint16(pk, it->permit.limit);
	msgpack_pack_uint16(pk, (uint16_t)it->load.running);
	msgpack_pack_uint16(pk, (uint16_t)it->load.queued);
	msgpack_pack_uint16(pk, (uint16_t)it->load.slots);
	msgpack_pack_uint64(pk, it->load.version);
	msgpack_pack_uint64(pk, age > 0 ? (uint64_t)age : 0);
}

void slot_permits_send(struct core *c, const struct core_peer_run *to,
		       const struct slot_permits *m)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	pack_begin(&pk, &sb, PERMIT_FIELDS * m->n);
	for (size_t i = 0; i < m->n; i++)
		pack_permit(c, &pk, &m->items[i]);
	work_pack_reply(c, to, PEER_SLOT_PERMIT, &sb);
}

static void read_permit(struct core *c, struct work_reader *r,
			struct slot_permit_item *it)
{
	it->server = work_read_u64(r, UINT64_MAX);
	it->permit.seq = (uint32_t)work_read_u64(r, UINT32_MAX);
	it->permit.slots = (uint16_t)work_read_u64(r, UINT16_MAX);
	it->permit.limit = (uint16_t)work_read_u64(r, UINT16_MAX);
	it->load.running = (int)work_read_u64(r, UINT16_MAX);
	it->load.queued = (int)work_read_u64(r, UINT16_MAX);
	it->load.slots = (int)work_read_u64(r, UINT16_MAX);
	it->load.version = work_read_u64(r, UINT64_MAX);
	it->load.as_of_ms = core_now(c) - (int64_t)work_read_u64(r, INT64_MAX);
}

bool slot_permits_read(struct core *c, const void *buf, size_t len,
		       struct slot_permits *m)
{
	struct work_reader r;
	bool ok;

	m->n = read_count(&r, buf, len, 0, PERMIT_FIELDS);
	for (size_t i = 0; i < m->n; i++)
		read_permit(c, &r, &m->items[i]);
	ok = !r.malformed;
	work_read_end(&r);
	return ok;
}
