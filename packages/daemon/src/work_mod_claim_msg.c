// Packs and parses messages of claims.
#include "work_mod_claim_msg.h"

#include <string.h>

#include "core/core.h"

enum {
	ASK_FIELDS = 8,
	VERDICT_FIELDS = 7,
	NOTE_FIELDS = 10,
	STATUS_MAX = 999,
};

static void pack_begin(msgpack_packer *pk, msgpack_sbuffer *sb, size_t fields)
{
	msgpack_sbuffer_init(sb);
	msgpack_packer_init(pk, sb, msgpack_sbuffer_write);
	msgpack_pack_array(pk, fields);
}

static void pack_name(msgpack_packer *pk, struct claim_u128 n)
{
	msgpack_pack_uint64(pk, n.hi);
	msgpack_pack_uint64(pk, n.lo);
}

static struct claim_u128 read_name(struct work_reader *r)
{
	struct claim_u128 n;

	n.hi = work_read_u64(r, UINT64_MAX);
	n.lo = work_read_u64(r, UINT64_MAX);
	return n;
}

enum err claim_ask_send(struct core *c, const char *node, uint64_t ticket,
			const struct claim_request *req)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	pack_begin(&pk, &sb, ASK_FIELDS);
	msgpack_pack_uint64(&pk, ticket);
	pack_name(&pk, req->key);
	pack_name(&pk, req->id);
	msgpack_pack_uint64(&pk, req->body);
	msgpack_pack_uint64(&pk, (uint64_t)req->until_ms);
	msgpack_pack_uint64(&pk, (uint64_t)req->expires_ms);
	return work_pack_send(c, node, PEER_CLAIM_ASK, &sb);
}

bool claim_ask_read(const void *buf, size_t len, uint64_t *ticket,
		    struct claim_request *req)
{
	struct work_reader r;
	bool ok;

	work_read_begin(&r, buf, len, ASK_FIELDS);
	*ticket = work_read_u64(&r, UINT32_MAX);
	req->key = read_name(&r);
	req->id = read_name(&r);
	req->body = work_read_u64(&r, UINT64_MAX);
	req->until_ms = (int64_t)work_read_u64(&r, INT64_MAX);
	req->expires_ms = (int64_t)work_read_u64(&r, INT64_MAX);
	ok = !r.malformed;
	work_read_end(&r);
	return ok;
}

/* Status, content type, length, digest; the body if at most CLAIM_BODY_MAX. */
static void pack_answer(msgpack_packer *pk, const struct claim_answer *a)
{
	bool kept = a->body && a->len <= CLAIM_BODY_MAX;

	msgpack_pack_uint16(pk, (uint16_t)a->status);
	work_pack_str(pk, a->ctype ? a->ctype : "");
	msgpack_pack_uint64(pk, a->len);
	msgpack_pack_uint64(pk, a->digest);
	work_pack_bin(pk, a->body, kept ? a->len : 0);
}

static void read_answer(struct work_reader *r, struct claim_answer *a,
			char *ctype, size_t ctype_len)
{
	const char *body;
	size_t kept;

	a->status = (int)work_read_u64(r, STATUS_MAX);
	work_read_str(r, ctype, ctype_len);
	a->ctype = ctype;
	a->len = work_read_u64(r, SIZE_MAX);
	a->digest = work_read_u64(r, UINT64_MAX);
	body = work_read_bin(r, &kept);
	a->body = kept > 0 && kept == a->len ? body : NULL;
}

enum err claim_verdict_send(struct core *c, const struct core_peer_run *to,
			    uint64_t ticket, enum claim_verdict v,
			    const struct claim_answer *a)
{
	struct claim_answer none = {0};
	msgpack_sbuffer sb;
	msgpack_packer pk;

	pack_begin(&pk, &sb, VERDICT_FIELDS);
	msgpack_pack_uint64(&pk, ticket);
	msgpack_pack_uint8(&pk, (uint8_t)v);
	pack_answer(&pk, a ? a : &none);
	return work_pack_reply(c, to, PEER_CLAIM_VERDICT, &sb);
}

bool claim_verdict_read(const void *buf, size_t len,
			struct claim_verdict_msg *m)
{
	work_read_begin(&m->r, buf, len, VERDICT_FIELDS);
	m->ticket = work_read_u64(&m->r, UINT32_MAX);
	m->verdict = (enum claim_verdict)work_read_u64(&m->r,
						       CLAIM_VERDICT_COUNT - 1);
	read_answer(&m->r, &m->answer, m->ctype, sizeof(m->ctype));
	return !m->r.malformed;
}

void claim_verdict_msg_free(struct claim_verdict_msg *m)
{
	work_read_end(&m->r);
}

enum err claim_note_send(struct core *c, const char *node,
			 const struct claim_record *rec)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	pack_begin(&pk, &sb, NOTE_FIELDS);
	msgpack_pack_uint8(&pk, (uint8_t)rec->op);
	pack_name(&pk, rec->req.key);
	pack_name(&pk, rec->req.id);
	pack_answer(&pk, &rec->answer);
	return work_pack_send(c, node, PEER_CLAIM_OUTCOME, &sb);
}

bool claim_note_read(const void *buf, size_t len, struct claim_note_msg *m)
{
	memset(&m->rec, 0, sizeof(m->rec));
	work_read_begin(&m->r, buf, len, NOTE_FIELDS);
	m->rec.op = (enum claim_op)work_read_u64(&m->r, CLAIM_OP_RELEASE);
	m->rec.req.key = read_name(&m->r);
	m->rec.req.id = read_name(&m->r);
	read_answer(&m->r, &m->rec.answer, m->ctype, sizeof(m->ctype));
	return !m->r.malformed && m->rec.op != CLAIM_OP_CLAIM;
}

void claim_note_msg_free(struct claim_note_msg *m)
{
	work_read_end(&m->r);
}
