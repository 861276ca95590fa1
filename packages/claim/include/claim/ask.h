// Acquires the idempotency claim of one request: decides which node's shard
// gets the claim request, when to fall back to the local shard and when to
// time out.
#pragma once

#include "claim/claim_defs.h"

enum {
	CLAIM_FALLBACK_MS = 250, ///< then the local shard is requested too
	CLAIM_TIMEOUT_MS = 1500, ///< then the request is rejected
};

enum claim_step {
	CLAIM_STEP_WAIT, ///< nothing to do now
	CLAIM_STEP_ASK_WRITER, ///< send the claim request to the shard's writer
	CLAIM_STEP_ASK_SELF, ///< pass it to this node's own shard
	CLAIM_STEP_RUN, ///< claim granted: run the request
	CLAIM_STEP_ANSWER, ///< reply according to `verdict` without running
};

struct claim_ask {
	int64_t start_ms;
	int64_t timeout_at_ms; ///< at most the request's deadline
	enum claim_verdict verdict; ///< with CLAIM_STEP_ANSWER
	bool local_requested; ///< the local shard has the claim request
	bool decided; ///< later verdicts are ignored
};

/// Start acquiring a claim.
///
/// @param self         whether this node is the shard's writer
/// @param now          clock_now_ms() time
/// @param deadline_ms  deadline of the request, clock_now_ms() time
/// @return CLAIM_STEP_ASK_WRITER or CLAIM_STEP_ASK_SELF
enum claim_step claim_ask_begin(struct claim_ask *a, bool self, int64_t now,
				int64_t deadline_ms);

/// Process a verdict.
///
/// @param self  whether it came from this node's own shard
/// @return CLAIM_STEP_RUN, CLAIM_STEP_ANSWER, CLAIM_STEP_ASK_SELF or
///         CLAIM_STEP_WAIT (already decided, or the local verdict is pending)
enum claim_step claim_ask_verdict(struct claim_ask *a, enum claim_verdict v,
				  bool self);

/// Check the fallback delay and the timeout.
///
/// @param now  clock_now_ms() time
/// @return CLAIM_STEP_WAIT, CLAIM_STEP_ASK_SELF or CLAIM_STEP_ANSWER. After
///         CLAIM_STEP_ANSWER the claim may still be in the log: release it.
enum claim_step claim_ask_tick(struct claim_ask *a, int64_t now);
