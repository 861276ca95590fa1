// When an outside system was heard last, and since when it answers. Pure.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	/// A silence shorter than this is a lost call and no outage: what the
	/// other side did meanwhile was not caused by its being away.
	CONTACT_BLIP_MS = 1000,
	/// So many calls in a row without a usable answer are no chance: where
	/// one answer in three is lost, it happens to one call in 27.
	CONTACT_AWAY_CALLS = 3,
};

struct contact {
	int64_t heard_ms; ///< latest time at which it was surely there
	int64_t answered_ms; ///< when the last good answer came
	int64_t back_ms; ///< since when it answers, 0 while it does not
	int failures; ///< in a row
	int64_t was_back_ms; ///< back_ms before the last failure
};

/// A call got a usable answer.
///
/// @param heard_ms  time at which the other side surely was there
/// @return true if it was away before
bool contact_good(struct contact *c, int64_t now, int64_t heard_ms);

/// Another node says that the other side was there at a time.
void contact_told(struct contact *c, int64_t heard_ms);

/// A call got none.
///
/// @return true if it was there before
bool contact_bad(struct contact *c);

/// Whether the other side is surely away, and calls to it are in vain.
bool contact_away(const struct contact *c);
