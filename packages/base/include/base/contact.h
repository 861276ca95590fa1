// Tracks whether an external system answers, from the outcomes of the calls to it.
// Does no I/O and reads no clock.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	/// A shorter gap between answers is a lost call, not an outage: what
	/// happened during it was not caused by an outage.
	CONTACT_BLIP_MS = 1000,
	/// Consecutive failures that count as an outage: if one answer in
	/// three is lost at random, one run of calls in 27 fails this often.
	CONTACT_AWAY_CALLS = 3,
};

struct contact {
	int64_t heard_ms; ///< latest time at which it is known to have been up
	int64_t answered_ms; ///< arrival of the last usable answer
	int64_t back_ms; ///< time since which it answers, 0 while it does not
	int failures; ///< consecutive, up to CONTACT_AWAY_CALLS
	int64_t prev_up_since_ms; ///< back_ms before the last failure
};

/// Record a usable answer.
///
/// @param now       time of the answer
/// @param heard_ms  time at which the system is known to have been up
/// @return true if the call before it failed, or it is the first
bool contact_good(struct contact *c, int64_t now, int64_t heard_ms);

/// Record another node's report that the system was up at heard_ms.
void contact_told(struct contact *c, int64_t heard_ms);

/// Record a call without a usable answer.
///
/// @return true if the call before it was answered
bool contact_bad(struct contact *c);

/// Whether CONTACT_AWAY_CALLS calls in a row failed, so that calls are pointless.
bool contact_away(const struct contact *c);
