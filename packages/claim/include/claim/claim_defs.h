// Types of idempotency claims: the log of claims lets each request with an
// idempotency key run at most once in the cluster.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// 128-bit identifier: hash of an idempotency key, or id of a request.
struct claim_name {
	uint64_t hi;
	uint64_t lo;
};

/// Result of a claim request.
enum claim_verdict {
	CLAIM_GRANTED, ///< the requester, and nobody else, may run it
	CLAIM_RUNNING, ///< an earlier request with the key may still be running
	CLAIM_DONE, ///< it ran; its answer is in the log
	CLAIM_LOST, ///< it may have run; its outcome can't be determined
	CLAIM_MISMATCH, ///< the key was used with a different request
	CLAIM_UNAVAILABLE, ///< the claim could not be made in time
	CLAIM_VERDICTS
};

/// Request for a claim. `until_ms` and `expires_ms` are wall clock times.
struct claim_request {
	struct claim_name key; ///< hash of team, route and the caller's key
	struct claim_name id; ///< unique id of the request
	uint64_t body; ///< hash of the request's path and body
	int64_t until_ms; ///< deadline of the request
	int64_t expires_ms; ///< the key may be reused from then on
};

/// Final answer of a request, stored in order to replay it.
struct claim_answer {
	int status; ///< HTTP status
	const char *ctype; ///< Content-Type
	const char *body; ///< NULL if the body is not stored
	size_t len; ///< bytes of the body, also if it is not stored
	uint64_t digest; ///< hash of the body
};

/// Compare two identifiers.
static inline bool claim_name_eq(struct claim_name a, struct claim_name b)
{
	return a.hi == b.hi && a.lo == b.lo;
}

/// Name of a verdict, such as "granted"; "unknown" for an invalid one.
const char *claim_verdict_name(enum claim_verdict v);
