// Tracks whether an external system answers. No I/O, no clock.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	/// A shorter gap between answers is a lost call, not an outage: what
	/// happened during it was not caused by an outage.
	CONTACT_OUTAGE_MIN_MS = 1000,
	/// Consecutive failures that count as an outage: with one answer in
	/// three lost at random, this happens by chance to one call in 27.
	CONTACT_LOST_FAILURES = 3,
};

struct contact {
	int64_t heard_ms; ///< latest time at which it was known to be up
	int64_t answered_ms; ///< arrival of the last usable answer
	int64_t answering_since_ms; ///< time since which it answers, 0 while it does not
	int failures; ///< consecutive, up to CONTACT_LOST_FAILURES
	int64_t prev_up_since_ms; ///< answering_since_ms before the last failure
};

/// Record a usable answer.
///
/// @param heard_ms  time at which the system is known to have been up
/// @return true if the last call failed, or for the first answer
bool contact_call_succeeded(struct contact *c, int64_t now, int64_t heard_ms);

/// Record another node's report that the system was up at heard_ms.
void contact_peer_report(struct contact *c, int64_t heard_ms);

/// Record a call without a usable answer.
///
/// @return true if the last call was answered
bool contact_call_failed(struct contact *c);

/// Whether CONTACT_LOST_FAILURES calls in a row failed.
bool contact_is_lost(const struct contact *c);
