// Packs and parses the open and done messages of forwarding.
#include "work_mod_peer.h"

#include "core/core.h"

enum {
	OPEN_FIELDS = 18,
	DONE_FIELDS = 11,
	DEADLINE_MAX_MS = 24 * 3600 * 1000,
};

static void pack_bool(msgpack_packer *pk, bool v)
{
	msgpack_pack_uint8(pk, v);
}

enum err work_open_send(struct core *c, const char *node,
			const struct work_open *m)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	work_pack_begin(&pk, &sb, OPEN_FIELDS, &m->ref);
	msgpack_pack_uint8(&pk, (uint8_t)m->cls);
	msgpack_pack_uint8(&pk, (uint8_t)m->kind);
	work_pack_str(&pk, m->service);
	work_pack_str(&pk, m->team);
	work_pack_str(&pk, m->method);
	work_pack_str(&pk, m->path);
	work_pack_str(&pk, m->ctype);
	work_pack_str(&pk, m->trace);
	pack_bool(&pk, m->idempotent);
	pack_bool(&pk, m->preemptible);
	pack_bool(&pk, m->streamed);
	msgpack_pack_uint64(&pk, (uint64_t)m->remaining_ms);
	msgpack_pack_uint64(&pk, m->cost);
	msgpack_pack_uint64(&pk, m->prefix);
	msgpack_pack_uint64(&pk, m->body_len);
	work_pack_bin(&pk, m->chunk, m->chunk_len);
	return work_pack_send(c, node, PEER_WORK_OPEN, &sb);
}

bool work_open_read(struct work_reader *r, const void *buf, size_t len,
		    struct work_open *m)
{
	work_read_begin(r, buf, len, OPEN_FIELDS);
	work_read_ref(r, &m->ref);
	m->cls = (enum work_class)work_read_u64(r, WORK_CLASSES - 1);
	m->kind = (enum vm_kind)work_read_u64(r, VM_SERVICE);
	work_read_str(r, m->service, sizeof(m->service));
	work_read_str(r, m->team, sizeof(m->team));
	work_read_str(r, m->method, sizeof(m->method));
	work_read_str(r, m->path, sizeof(m->path));
	work_read_str(r, m->ctype, sizeof(m->ctype));
	work_read_str(r, m->trace, sizeof(m->trace));
	m->idempotent = work_read_u64(r, 1) != 0;
	m->preemptible = work_read_u64(r, 1) != 0;
	m->streamed = work_read_u64(r, 1) != 0;
	m->remaining_ms = (int64_t)work_read_u64(r, DEADLINE_MAX_MS);
	m->cost = work_read_u64(r, UINT64_MAX);
	m->prefix = work_read_u64(r, UINT64_MAX);
	m->body_len = work_read_u64(r, WORK_BODY_MAX_BYTES);
	m->chunk = work_read_bin(r, &m->chunk_len);
	return !r->malformed && m->chunk_len <= m->body_len;
}

enum err work_done_send(struct core *c, const struct core_peer_run *to,
			const struct work_done *m)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	work_pack_begin(&pk, &sb, DONE_FIELDS, &m->ref);
	msgpack_pack_uint16(&pk, (uint16_t)m->err);
	msgpack_pack_uint8(&pk, (uint8_t)m->run);
	msgpack_pack_uint16(&pk, (uint16_t)m->status);
	msgpack_pack_uint64(&pk, (uint64_t)m->retry_after_ms);
	work_pack_str(&pk, m->server);
	work_pack_str(&pk, m->ctype);
	msgpack_pack_uint64(&pk, m->lines);
	msgpack_pack_uint64(&pk, m->body_len);
	work_pack_bin(&pk, m->chunk, m->chunk_len);
	return work_pack_reply(c, to, PEER_WORK_DONE, &sb);
}

bool work_done_read(struct work_reader *r, const void *buf, size_t len,
		    struct work_done *m)
{
	work_read_begin(r, buf, len, DONE_FIELDS);
	work_read_ref(r, &m->ref);
	m->err = (enum err)work_read_u64(r, UINT16_MAX);
	m->run = (enum run_state)work_read_u64(r, RUN_DONE);
	m->status = (int)work_read_u64(r, 999);
	m->retry_after_ms = (int64_t)work_read_u64(r, DEADLINE_MAX_MS);
	work_read_str(r, m->server, sizeof(m->server));
	work_read_str(r, m->ctype, sizeof(m->ctype));
	m->lines = work_read_u64(r, UINT64_MAX);
	m->body_len = work_read_u64(r, WORK_BODY_MAX_BYTES);
	m->chunk = work_read_bin(r, &m->chunk_len);
	return !r->malformed && m->chunk_len <= m->body_len;
}
