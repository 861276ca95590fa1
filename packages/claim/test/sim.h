// Virtual time, nodes, a key-value store and a booking desk with faults.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// What is broken on purpose; each one must be found.
enum sim_variant {
	SIM_CORRECT,
	SIM_NO_SHARED_CLAIMS, ///< each node keeps claims for itself
	SIM_PUT_WITHOUT_CAS, ///< puts without compare-and-swap
	SIM_UNKNOWN_AS_SUCCESS, ///< a lost reply counts as success
	SIM_RESEND_AFTER_RESET, ///< a call is sent again after a reset
	SIM_MAYBE_AS_NOT_RUN, ///< every failure is told as "not run"
	SIM_RELEASE_ON_MAYBE, ///< claims are freed though the call may have run
	SIM_VARIANTS
};

struct sim_totals {
	int requests;
	int runs;
	int double_runs; ///< calls that ran more than once
	int false_refusals; ///< "not run" and yet run
	int wrong_answers; ///< an answer of another call
	int answered;
	int replayed;
	int replied_running;
	int refused; ///< not run
	int maybe;
	uint64_t conflicts;
	uint64_t lost_replies;
};

/// Run one seed and add to the totals.
void sim_run(enum sim_variant v, uint64_t seed, struct sim_totals *out);
