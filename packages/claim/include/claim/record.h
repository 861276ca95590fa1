// Records of the claim log: one JSON object per line.
#pragma once

#include "claim/claim_defs.h"

enum claim_op {
	CLAIM_OP_CLAIM, ///< a request claims its key
	CLAIM_OP_DONE, ///< it ran, with this answer
	CLAIM_OP_RELEASE, ///< it did not run; the key is released
	CLAIM_OP_SEAL, ///< last record of its segment
};

enum {
	CLAIM_BODY_MAX = 1024, ///< bytes; longer bodies aren't stored
	CLAIM_LINE_MAX = 8192, ///< bytes of a record's line
};

struct claim_record {
	enum claim_op op;
	struct claim_request req; ///< CLAIM_OP_CLAIM; others: key, id
	struct claim_answer answer; ///< CLAIM_OP_DONE
};

/// Encode a record. An answer body that is too long, not UTF-8 or contains a
/// NUL byte is left out.
///
/// @param[out] buf  CLAIM_LINE_MAX bytes
/// @return bytes with the newline, 0 if it can't be encoded
size_t claim_record_write(const struct claim_record *r, char *buf);

/// Decode a segment's records in order.
///
/// @param text  lines
/// @param len   bytes
/// @param fn    called for each; the record is valid during the call
/// @return false at the first malformed line
bool claim_record_read(const char *text, size_t len,
		       void (*fn)(void *ctx, const struct claim_record *r),
		       void *ctx);
