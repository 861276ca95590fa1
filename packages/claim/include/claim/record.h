// Records of the claim log, encoded as one JSON object per line.
#pragma once

#include "claim/claim_defs.h"

enum claim_op {
	CLAIM_OP_CLAIM, ///< a request claims its key
	CLAIM_OP_DONE, ///< the request ran, with this answer
	CLAIM_OP_FREE, ///< the request did not run; releases the key
	CLAIM_OP_SEAL, ///< last record of its segment
};

enum {
	CLAIM_BODY_MAX = 1024, ///< bytes; longer answer bodies aren't stored
	CLAIM_LINE_MAX = 8192, ///< bytes of the buffer for a record's line
};

struct claim_record {
	enum claim_op op;
	/// CLAIM_OP_FREE and CLAIM_OP_DONE: only key and id are stored.
	struct claim_request req;
	struct claim_answer answer; ///< CLAIM_OP_DONE
};

/// Encode a record as a line. An answer body that is longer than
/// CLAIM_BODY_MAX, not UTF-8 or contains a NUL byte is left out.
///
/// @param[out] buf  CLAIM_LINE_MAX bytes
/// @return bytes written, including the newline; 0 if it can't be encoded
///         or the line is too long
size_t claim_record_write(const struct claim_record *r, char *buf);

/// Decode the records of a segment in order.
///
/// @param text  lines, each with its newline
/// @param len   bytes
/// @param fn    called for each record, which is valid during the call only
/// @return false at the first malformed line; `fn` was called for those before
bool claim_record_read(const char *text, size_t len,
		       void (*fn)(void *ctx, const struct claim_record *r),
		       void *ctx);
