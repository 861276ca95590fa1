// Attempts of one request: when to try again, and what is true of its run.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"

/// Retry budget of a node: retries are a share of successes.
struct attempt_budget {
	int64_t credit; ///< hundredths of a retry
	int64_t cap; ///< hundredths of a retry
};

/// State of one request.
struct attempt {
	bool idempotent;
	bool maybe_ran; ///< some attempt may have run
	int tries; ///< attempts begun
	int max_tries;
	int64_t deadline_ms;
};

struct attempt_opts {
	bool idempotent; ///< may be sent again
	int64_t deadline_ms; ///< clock_now_ms() time
	int max_tries; ///< attempts, 0 for ATTEMPT_MAX_TRIES
};

enum {
	ATTEMPT_MAX_TRIES = 3,
	ATTEMPT_RETRY_AFTER_MS = 500, ///< told with an answer given up on
};

/// How one attempt ended.
struct attempt_outcome {
	enum err err; ///< ERR_OK: the answer is whole
	bool sent; ///< a byte may have left this process
	bool not_run; ///< the server itself said so (a peer's refusal)
	bool delivered; ///< part of the answer went to the caller
	int status; ///< HTTP status of the answer
	int64_t retry_after_ms; ///< from the server, 0 if none
};

/// What to do now.
struct attempt_step {
	bool again; ///< send on a new connection, to another server if any
	enum err err; ///< final outcome
	enum run_state run;
	int64_t retry_after_ms; ///< 0 when a retry makes no sense
};

/// Start with a full budget.
///
/// @param[out] b  budget
/// @param cap     most retries saved up
void attempt_budget_init(struct attempt_budget *b, int64_t cap);

/// Count a success.
///
/// @param ratio  retries for each hundred successes
void attempt_budget_success(struct attempt_budget *b, int64_t ratio);

/// Take one retry.
///
/// @return false when the budget is spent
bool attempt_budget_take(struct attempt_budget *b);

/// Start a request.
void attempt_init(struct attempt *a, const struct attempt_opts *opts);

/// Note that an attempt begins.
void attempt_begin(struct attempt *a);

/// Decide after an attempt ended.
///
/// @param a    request
/// @param b    budget
/// @param now  clock_now_ms() time
/// @param out  how the attempt ended
/// @return next step; the request is over unless `again`
struct attempt_step attempt_end(struct attempt *a, struct attempt_budget *b,
				int64_t now, const struct attempt_outcome *out);

/// Final answer of a request given up on, with none of its attempts waited for.
///
/// @param a          request
/// @param in_flight  an attempt is running
/// @param e          why
struct attempt_step attempt_give_up(const struct attempt *a, bool in_flight,
				    enum err e);
