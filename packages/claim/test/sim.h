// Simulation in virtual time: nodes, key-value store and backend server, with
// faults.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// Deliberate flaws, each of which the checks must detect.
enum sim_variant {
	SIM_CORRECT,
	SIM_NO_SHARED_CLAIMS, ///< each node has its own store
	SIM_PUT_WITHOUT_CAS,
	SIM_UNKNOWN_AS_SUCCESS, ///< a lost reply counts as success
	SIM_RESEND_AFTER_RESET,
	SIM_MAYBE_AS_NOT_RUN,
	SIM_RELEASE_ON_MAYBE, ///< releases a claim though the call may have run
	SIM_VARIANTS
};

struct sim_totals {
	int requests;
	int runs;
	int double_runs; ///< calls that ran more than once
	int false_refusals; ///< replied "not run", but ran
	int wrong_answers; ///< answers of another call
	int answered;
	int replayed;
	int replied_running;
	int refused; ///< replied "not run"
	int maybe; ///< replied "may have run"
	uint64_t conflicts;
	uint64_t lost_replies;
};

/// Run one seed and add to the totals.
void sim_run(enum sim_variant v, uint64_t seed, struct sim_totals *out);
