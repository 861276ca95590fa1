// Records of the claim log: one JSON object a line.
#pragma once

#include "claim/claim_defs.h"

enum claim_op {
	CLAIM_OP_CLAIM, ///< a request holds its key
	CLAIM_OP_DONE, ///< it ran, with this answer
	CLAIM_OP_FREE, ///< it surely did not run; the key is free
	CLAIM_OP_SEAL, ///< no record follows in this segment
};

enum {
	CLAIM_BODY_MAX = 1024, ///< bytes of an answer that are kept
	CLAIM_LINE_MAX = 8192, ///< bytes of a record's line
};

struct claim_record {
	enum claim_op op;
	struct claim_request req; ///< FREE: key and id; DONE: these and expiry
	struct claim_answer answer; ///< DONE
};

/// Write a record as a line. An answer that is too long or not UTF-8 is
/// written without its body.
///
/// @param[out] buf  CLAIM_LINE_MAX bytes
/// @return bytes written, with the newline; 0 if it can't be written
size_t claim_record_write(const struct claim_record *r, char *buf);

/// Read a segment's records in order.
///
/// @param text  lines
/// @param len   bytes
/// @param fn    called for each; the record is valid during the call
/// @return false at the first malformed line
bool claim_record_read(const char *text, size_t len,
		       void (*fn)(void *ctx, const struct claim_record *r),
		       void *ctx);
