// Simulation of nodes that claim keyed calls, in virtual time, with faults of
// the network, the key-value store and the backend server.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// Variants with a deliberate flaw each, which the checks must detect.
enum sim_variant {
	SIM_CORRECT, ///< no flaw
	SIM_NO_SHARED_CLAIMS, ///< each node has a store of its own
	SIM_PUT_WITHOUT_CAS, ///< puts without compare-and-swap
	SIM_UNKNOWN_AS_SUCCESS, ///< a put without a reply counts as committed
	SIM_RESEND_AFTER_RESET, ///< a call is sent again after a reset
	SIM_MAYBE_AS_NOT_RUN, ///< replies "not run" when it may have run
	SIM_RELEASE_ON_MAYBE, ///< claims are released though the call may have run
	SIM_VARIANTS
};

/// Sums over the seeds.
struct sim_totals {
	int requests;
	int runs; ///< at the backend server
	int double_runs; ///< calls that ran more than once
	int false_refusals; ///< replies "not run" to a request that ran
	int wrong_answers; ///< replies with the answer of another call
	int answered;
	int replayed;
	int replied_running;
	int refused; ///< replies "not run"
	int maybe; ///< replies "may have run"
	uint64_t conflicts; ///< puts that lost the compare-and-swap
	uint64_t lost_replies; ///< puts without a reply
};

/// Simulate one seed and add its results to `out`.
void sim_run(enum sim_variant v, uint64_t seed, struct sim_totals *out);
