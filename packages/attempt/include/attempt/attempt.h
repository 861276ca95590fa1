// Retries of one request: decides after each attempt whether to send it again,
// and tracks whether a server may have run it.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"

/// Retry budget of a node: each success earns a fraction of a retry.
struct attempt_budget {
	int64_t credit; ///< available, in hundredths of a retry
	int64_t cap; ///< maximum credit, in hundredths of a retry
};

/// State of one request.
struct attempt {
	bool idempotent;
	bool maybe_ran; ///< the server may have run an attempt
	int tries; ///< attempts started
	int max_tries;
	int64_t deadline_ms;
};

struct attempt_opts {
	bool idempotent; ///< may be sent again even if it may have run
	int64_t deadline_ms; ///< clock_now_ms() time
	int max_tries; ///< limit of attempts, 0 for ATTEMPT_MAX_TRIES
};

enum {
	ATTEMPT_MAX_TRIES = 3,
	ATTEMPT_RETRY_AFTER_MS = 500, ///< default for a failed request
};

/// How one attempt ended.
struct attempt_outcome {
	enum err err; ///< ERR_OK: the response is complete
	bool sent; ///< a byte may have left this process
	bool not_run; ///< the receiver said so (refused by another node)
	bool delivered; ///< part of the response was sent to the caller
	int status; ///< HTTP status of the response
	int64_t retry_after_ms; ///< from the server, 0 if none
};

/// Decision after an attempt: retry, or the final outcome.
struct attempt_step {
	bool again; ///< retry on a new connection, to another server if any
	enum err err; ///< final outcome
	enum run_state run;
	int64_t retry_after_ms; ///< for the caller, 0 unless the request failed
};

/// Initializes a full budget.
///
/// @param[out] b  budget
/// @param cap     maximum number of accumulated retries
void attempt_budget_init(struct attempt_budget *b, int64_t cap);

/// Adds credit for a successful request.
///
/// @param ratio  retries for each hundred successes
void attempt_budget_success(struct attempt_budget *b, int64_t ratio);

/// Takes one retry from the budget.
///
/// @return false when the budget is exhausted
bool attempt_budget_take(struct attempt_budget *b);

/// Initializes the state of a request.
void attempt_init(struct attempt *a, const struct attempt_opts *opts);

/// Counts the start of an attempt.
void attempt_begin(struct attempt *a);

/// Decides after an attempt whether to retry. A retry is taken from the budget.
///
/// @param a    request
/// @param b    budget
/// @param now  clock_now_ms() time
/// @param out  how the attempt ended
/// @return decision; the request has ended unless `again` is set
struct attempt_step attempt_end(struct attempt *a, struct attempt_budget *b,
				int64_t now, const struct attempt_outcome *out);

/// Outcome of a request that is abandoned without waiting for its attempts.
///
/// @param a          request
/// @param in_flight  an attempt is running, so the server may run it
/// @param e          error to report
struct attempt_step attempt_give_up(const struct attempt *a, bool in_flight,
				    enum err e);
