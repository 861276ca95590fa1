// A node's side of one claim: whom to ask, when to ask itself, when to give up.
#pragma once

#include "claim/claim_defs.h"

enum {
	CLAIM_FALLBACK_MS = 250, ///< then this node writes the claim itself
	CLAIM_TIMEOUT_MS = 1500, ///< then the request is refused
};

enum claim_step {
	CLAIM_STEP_WAIT,
	CLAIM_STEP_ASK_WRITER, ///< send the request to the shard's writer
	CLAIM_STEP_ASK_SELF, ///< give it to this node's own shard
	CLAIM_STEP_RUN, ///< claimed: run it
	CLAIM_STEP_ANSWER, ///< answer by `verdict`; it does not run
};

struct claim_ask {
	int64_t start_ms;
	int64_t timeout_at_ms;
	enum claim_verdict verdict; ///< with CLAIM_STEP_ANSWER
	bool local_requested;
	bool decided; ///< later verdicts are ignored
};

/// Begin.
///
/// @param self         this node is the shard's writer
/// @param now          clock_now_ms() time
/// @param deadline_ms  of the request
/// @return CLAIM_STEP_ASK_WRITER or CLAIM_STEP_ASK_SELF
enum claim_step claim_ask_begin(struct claim_ask *a, bool self, int64_t now,
				int64_t deadline_ms);

/// Take a verdict.
///
/// @param self  it came from this node's own shard
/// @return CLAIM_STEP_RUN, CLAIM_STEP_ANSWER, CLAIM_STEP_ASK_SELF or
///         CLAIM_STEP_WAIT (when it is over, or another verdict may come)
enum claim_step claim_ask_verdict(struct claim_ask *a, enum claim_verdict v,
				  bool self);

/// Let time pass.
///
/// @return CLAIM_STEP_WAIT, CLAIM_STEP_ASK_SELF or CLAIM_STEP_ANSWER. After
///         the last one the claim may be in the log all the same: free it.
enum claim_step claim_ask_tick(struct claim_ask *a, int64_t now);
