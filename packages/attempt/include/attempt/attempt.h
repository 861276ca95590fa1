// Retries of one request: when to send it again, and whether a server may have
// run it.
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
	int tries;
	int max_tries;
	int64_t deadline_ms;
};

struct attempt_opts {
	bool idempotent; ///< may run more than once
	int64_t deadline_ms; ///< clock_now_ms() time
	int max_tries; ///< 0 for ATTEMPT_MAX_TRIES
};

enum {
	ATTEMPT_MAX_TRIES = 3,
	ATTEMPT_RETRY_AFTER_MS = 500, ///< default for a failed request
};

/// How one attempt ended.
struct attempt_outcome {
	enum err err; ///< ERR_OK: the response is complete
	bool sent; ///< a byte may have left this process
	bool not_run; ///< stated by the receiver, such as a peer's refusal
	bool delivered; ///< part of the response reached the caller
	int status; ///< HTTP status of the response
	int64_t retry_after_ms; ///< from the server, 0 if none
};

/// Decision: a retry, or the final outcome.
struct attempt_step {
	bool again; ///< retry on a new connection, to another server if any
	enum err err; ///< final outcome
	enum run_state run;
	int64_t retry_after_ms; ///< 0 unless the request failed
};

/// Initializes a full budget.
///
/// @param[out] b  budget
/// @param cap     maximum number of retries
void attempt_budget_init(struct attempt_budget *b, int64_t cap);

/// Adds credit for a success.
///
/// @param ratio  retries for each hundred successes
void attempt_budget_success(struct attempt_budget *b, int64_t ratio);

/// Takes one retry.
///
/// @return false when the budget is exhausted
bool attempt_budget_take(struct attempt_budget *b);

/// Initializes a request.
void attempt_init(struct attempt *a, const struct attempt_opts *opts);

/// Counts the start of an attempt.
void attempt_begin(struct attempt *a);

/// Decides after an attempt; a retry is taken from the budget.
///
/// @param a    request
/// @param b    budget
/// @param now  clock_now_ms() time
/// @param out  how the attempt ended
/// @return decision; the request has ended unless `again`
struct attempt_step attempt_end(struct attempt *a, struct attempt_budget *b,
				int64_t now, const struct attempt_outcome *out);

/// Outcome of a request abandoned without waiting for its attempts.
///
/// @param a          request
/// @param in_flight  an attempt is running
/// @param e          error to report
struct attempt_step attempt_give_up(const struct attempt *a, bool in_flight,
				    enum err e);
