// Replicated operations: what changes the state of a trainer's batches.
#pragma once

#include <stdbool.h>

#include "rollout/batch.h"
#include "rollout/sample.h"
#include "rollout/slots.h"

enum op_kind {
	OP_RESET, ///< a whole copy begins
	OP_BATCH, ///< a batch was taken
	OP_SAMPLE, ///< a slot has its sample
	OP_PULL, ///< a trainer's pull
	OP_ACKED, ///< slots that are over (whole copies only)
	OP_DONE, ///< a batch that is over (whole copies only)
	OP_META, ///< a whole copy ends
	OP_KINDS
};

struct op {
	enum op_kind kind;
	char batch[BATCH_NAME]; ///< batch id; "" for RESET and META
	struct batch *spec; ///< BATCH
	uint64_t hash; ///< DONE: batch_hash() of the batch
	uint64_t step; ///< DONE, META: step, floor of steps
	uint64_t n_slots; ///< DONE
	uint32_t slot; ///< SAMPLE
	uint64_t serial; ///< SAMPLE in whole copies, META; else 0
	bool is_handed; ///< SAMPLE
	struct sample sample; ///< SAMPLE
	uint64_t session; ///< PULL, META
	uint64_t version; ///< PULL, META: trainer's weight version
	struct slots acks; ///< PULL, ACKED
	struct slots lost; ///< PULL
	struct slots handed; ///< PULL
};

/// Free what an operation holds and empty it.
void op_clear(struct op *op);

/// Encode.
///
/// @param[out] len  bytes
/// @return bytes to free(), NULL when out of memory
void *op_encode(const struct op *op, size_t *len);

/// Decode.
///
/// @param[out] op  operation, op_clear() it
/// @return ERR_OK or ERR_PARSE
enum err op_decode(struct op *op, const void *buf, size_t len);
