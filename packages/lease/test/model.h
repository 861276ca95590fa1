// Candidates and a store in virtual time, with a network that loses requests,
// loses replies after the write took effect, and holds requests up.
#pragma once

#include "lease/lease.h"

enum {
	MODEL_CANDIDATES = 4,
	MODEL_CALLS = 64,
};

struct model_opts {
	uint64_t seed;
	int64_t run_ms;
	int loss_pct; ///< of requests, and of replies
	int delayed_pct; ///< of requests that are held up past their timeout
	int freeze_pct; ///< of seconds in which a candidate freezes
	int outage_pct; ///< of seconds in which the store is down
	bool trust_unknown; ///< mutant: a lost reply to CREATE counts as success
	bool no_margin; ///< mutant: the holding outlasts the store lease
	bool trust_conflict; ///< mutant: a create conflict is taken for success
};

struct model_result {
	int holdings; ///< times a candidate took the duty
	int overlaps; ///< milliseconds with two holders
	int epochs_not_rising; ///< holdings with an epoch not above all earlier ones
	int64_t held_ms; ///< milliseconds with a holder
};

/// Run the model.
struct model_result model_run(const struct model_opts *opts);
