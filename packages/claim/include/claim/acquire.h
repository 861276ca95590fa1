// Acquires the claim of one request: which shard to ask, when to fall back to
// the local one, and when to time out.
#pragma once

#include "claim/claim_defs.h"

enum {
	CLAIM_FALLBACK_MS = 250, ///< then the local shard is requested too
	CLAIM_TIMEOUT_MS = 1500, ///< then the request is rejected
};

enum claim_step {
	CLAIM_STEP_WAIT,
	CLAIM_STEP_REQUEST_WRITER, ///< send it to the shard's writer
	CLAIM_STEP_REQUEST_LOCAL, ///< pass it to this node's shard
	CLAIM_STEP_RUN, ///< claim granted: run the request
	CLAIM_STEP_REPLY, ///< reply by `verdict`, don't run
};

struct claim_acquire {
	int64_t start_ms;
	int64_t timeout_at_ms;
	enum claim_verdict verdict; ///< with CLAIM_STEP_REPLY
	bool local_requested;
	bool decided; ///< later verdicts are ignored
};

/// Start acquiring a claim.
///
/// @param self         this node is the shard's writer
/// @param now          clock_now_ms() time
/// @param deadline_ms  of the request
/// @return CLAIM_STEP_REQUEST_WRITER or CLAIM_STEP_REQUEST_LOCAL
enum claim_step claim_acquire_begin(struct claim_acquire *a, bool self,
				    int64_t now, int64_t deadline_ms);

/// Process a verdict.
///
/// @param self  it came from this node's shard
/// @return CLAIM_STEP_RUN, CLAIM_STEP_REPLY, CLAIM_STEP_REQUEST_LOCAL or
///         CLAIM_STEP_WAIT (decided before, or another verdict may come)
enum claim_step claim_acquire_verdict(struct claim_acquire *a,
				      enum claim_verdict v, bool self);

/// Check the fallback and the timeout.
///
/// @return CLAIM_STEP_WAIT, CLAIM_STEP_REQUEST_LOCAL or CLAIM_STEP_REPLY. After
///         CLAIM_STEP_REPLY the claim may be in the log: release it.
enum claim_step claim_acquire_tick(struct claim_acquire *a, int64_t now);
