// Replicated operations that change the state of a trainer's batches.
#pragma once

#include <stdbool.h>

#include "rollout/batch.h"
#include "rollout/sample.h"
#include "rollout/slots.h"

enum op_kind {
	OP_RESET, ///< start of a snapshot
	OP_BATCH, ///< a batch was accepted
	OP_SAMPLE, ///< a slot got its sample
	OP_PULL, ///< a trainer's pull
	OP_ACKED, ///< acknowledged slots (snapshots only)
	OP_DONE, ///< a finished batch (snapshots only)
	OP_META, ///< end of a snapshot
	OP_KINDS
};

struct op {
	enum op_kind kind;
	char batch[BATCH_NAME_SIZE]; ///< batch id; "" for RESET and META
	struct batch *spec; ///< BATCH
	uint64_t hash; ///< DONE: batch_hash() of the batch
	uint64_t step; ///< DONE: step of the batch; META: lowest step accepted
	uint64_t n_slots; ///< DONE
	uint32_t slot; ///< SAMPLE
	uint64_t serial; ///< SAMPLE in snapshots, META; else 0
	bool is_delivered; ///< SAMPLE
	struct sample sample; ///< SAMPLE
	uint64_t session; ///< PULL, META
	uint64_t version; ///< PULL, META: trainer's weight version
	struct slots acks; ///< PULL, ACKED
	struct slots lost; ///< PULL
	struct slots delivered; ///< PULL
};

/// Free what an operation holds and reset it.
void op_clear(struct op *op);

/// Encode an operation as msgpack.
///
/// @param[out] len  bytes
/// @return bytes to free(), NULL when out of memory
void *op_encode(const struct op *op, size_t *len);

/// Decode an operation.
///
/// @param[out] op  free it with op_clear()
/// @return ERR_OK or ERR_PARSE
enum err op_decode(struct op *op, const void *buf, size_t len);
