// Types of idempotency claims.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// 128 bits: hash of an idempotency key, or id of a request.
struct claim_u128 {
	uint64_t hi;
	uint64_t lo;
};

/// Result of a claim request.
enum claim_verdict {
	CLAIM_GRANTED, ///< only the requester may run it
	CLAIM_RUNNING, ///< an earlier request with the key may still run
	CLAIM_DONE, ///< it ran; its answer is in the log
	CLAIM_LOST, ///< it may have run; its answer is lost for good
	CLAIM_MISMATCH, ///< the key was used with a different request
	CLAIM_UNAVAILABLE, ///< no claim could be made in time
	CLAIM_VERDICT_COUNT
};

/// Claim request. `until_ms` and `expires_ms` are wall clock times.
struct claim_request {
	struct claim_u128 key; ///< hash of team, route and the caller's key
	struct claim_u128 id; ///< unique per request
	uint64_t body; ///< hash of path and body
	int64_t until_ms; ///< deadline
	int64_t expires_ms; ///< the key may be reused from then on
};

/// Final answer, stored to be replayed.
struct claim_answer {
	int status; ///< HTTP status
	const char *ctype; ///< Content-Type
	const char *body; ///< NULL if it is not stored
	size_t len; ///< bytes of the body, stored or not
	uint64_t digest; ///< hash of the body
};

/// Compare two identifiers.
static inline bool claim_u128_eq(struct claim_u128 a, struct claim_u128 b)
{
	return a.hi == b.hi && a.lo == b.lo;
}

/// Name of a verdict, such as "granted".
const char *claim_verdict_name(enum claim_verdict v);
