// Operation codec. All kinds start with the kind and the batch id.
#include "rollout/op.h"

#include <string.h>

#include "codec.h"

void op_clear(struct op *op)
{
	batch_free(op->spec);
	sample_clear(&op->sample);
	slots_clear(&op->acks);
	slots_clear(&op->lost);
	slots_clear(&op->delivered);
	memset(op, 0, sizeof(*op));
}

void *op_encode(const struct op *op, size_t *len)
{
	struct pack p;

	pack_init(&p);
	pack_u64(&p, op->kind);
	pack_str(&p, op->batch);
	switch (op->kind) {
	case OP_BATCH:
		codec_put_batch(&p, op->spec);
		break;
	case OP_SAMPLE:
		pack_u64(&p, op->slot);
		pack_u64(&p, op->is_delivered);
		pack_u64(&p, op->serial);
		codec_put_sample(&p, &op->sample);
		break;
	case OP_PULL:
		pack_u64(&p, op->session);
		pack_u64(&p, op->version);
		pack_slots(&p, &op->acks);
		pack_slots(&p, &op->lost);
		pack_slots(&p, &op->delivered);
		break;
	case OP_ACKED:
		pack_slots(&p, &op->acks);
		break;
	case OP_DONE:
		pack_u64(&p, op->hash);
		pack_u64(&p, op->step);
		pack_u64(&p, op->n_slots);
		break;
	case OP_META:
		pack_u64(&p, op->session);
		pack_u64(&p, op->version);
		pack_u64(&p, op->serial);
		pack_u64(&p, op->step);
		break;
	default:
		break;
	}
	return pack_end(&p, len);
}

static void op_get_pull(struct unpack *u, struct op *op)
{
	op->session = unpack_u64(u);
	op->version = unpack_u64(u);
	unpack_slots(u, &op->acks);
	unpack_slots(u, &op->lost);
	unpack_slots(u, &op->delivered);
}

static void op_get_sample(struct unpack *u, struct op *op)
{
	op->slot = (uint32_t)unpack_u64(u);
	op->is_delivered = unpack_u64(u) != 0;
	op->serial = unpack_u64(u);
	codec_get_sample(u, &op->sample);
}

static void op_get_body(struct unpack *u, struct op *op)
{
	switch (op->kind) {
	case OP_BATCH:
		op->spec = codec_get_batch(u);
		break;
	case OP_SAMPLE:
		op_get_sample(u, op);
		break;
	case OP_PULL:
		op_get_pull(u, op);
		break;
	case OP_ACKED:
		unpack_slots(u, &op->acks);
		break;
	case OP_DONE:
		op->hash = unpack_u64(u);
		op->step = unpack_u64(u);
		op->n_slots = unpack_u64(u);
		break;
	case OP_META:
		op->session = unpack_u64(u);
		op->version = unpack_u64(u);
		op->serial = unpack_u64(u);
		op->step = unpack_u64(u);
		break;
	case OP_RESET:
		break;
	default:
		u->bad = true;
		break;
	}
}

enum err op_decode(struct op *op, const void *buf, size_t len)
{
	struct unpack u;
	enum err e;

	memset(op, 0, sizeof(*op));
	unpack_init(&u, buf, len);
	op->kind = (enum op_kind)unpack_u64(&u);
	unpack_str(&u, op->batch, sizeof(op->batch));
	op_get_body(&u, op);
	e = unpack_end(&u);
	if (e != ERR_OK)
		op_clear(op);
	return e;
}
