// Types of idempotency claims.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// 128 bits that name a thing: a caller's key or a claim.
struct claim_name {
	uint64_t hi;
	uint64_t lo;
};

enum claim_verdict {
	CLAIM_GRANTED, ///< the asker alone may run it
	CLAIM_RUNNING, ///< an earlier request with the key may still run
	CLAIM_DONE, ///< it ran; the answer is in the log
	CLAIM_LOST, ///< it may have run; its answer will never be known
	CLAIM_MISMATCH, ///< the key was used with another request
	CLAIM_UNAVAILABLE, ///< nothing could be claimed in time
	CLAIM_VERDICTS
};

/// What a node asks for. `until_ms` and `expires_ms` are wall clock times.
struct claim_request {
	struct claim_name key; ///< hash of team, route and the caller's key
	struct claim_name id; ///< unique for the caller's request
	uint64_t body; ///< hash of the request
	int64_t until_ms; ///< its deadline
	int64_t expires_ms; ///< the key may be used anew from then on
};

/// Final answer, as kept for repeats.
struct claim_answer {
	int status; ///< HTTP status
	const char *ctype; ///< Content-Type
	const char *body; ///< NULL when it is not kept
	size_t len; ///< bytes of the body, kept or not
	uint64_t digest; ///< hash of the body
};

/// 128-bit names are equal.
static inline bool claim_name_eq(struct claim_name a, struct claim_name b)
{
	return a.hi == b.hi && a.lo == b.lo;
}

/// Name of a verdict, such as "granted".
const char *claim_verdict_name(enum claim_verdict v);
