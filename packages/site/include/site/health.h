// Recent outcomes of a server, or of a failure domain's servers: when to leave it
// alone, and when to try it again. Pure.
//
// Load pattern: short calls to servers of which some are slow, cut off, lose answers,
// or fail part of the requests while their health check is good. Servers that all
// turn slow are all left, which changes nothing among them.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	SITE_HEALTH_WINDOW = 20, ///< outcomes that are remembered
};

/// What a call showed.
enum site_outcome {
	SITE_CALL_GOOD, ///< answered in time
	SITE_CALL_BAD, ///< failed, or not answered in several times the usual time
	SITE_CALL_SILENT, ///< no answer, while another server answered or it ended
	SITE_CALL_UNKNOWN, ///< cancelled before it showed anything
};

struct site_health {
	uint32_t bad_bits; ///< a bit an outcome, the newest is the lowest
	int n_outcomes; ///< outcomes remembered
	int bad_streak; ///< bad ones in a row
	int ejections; ///< it was left or stayed so, less the good outcomes since
	int64_t ejected_until_ms; ///< 0 while it is not left
	int64_t probe_begin_ms; ///< begin of the call that shows whether it is back, or 0
};

/// @param row  bad outcomes in a row after which it is left
/// @param probe  what site_health_begin() said of the call
/// @return true if it is left from now on and was not before
bool site_health_end(struct site_health *h, int64_t now,
		     enum site_outcome outcome, int bad_streak, bool probe);

/// Whether it gets no calls while there are others to choose.
bool site_health_left(const struct site_health *h, int64_t now);

/// A call begins.
///
/// @return true if it is the one that shows whether it is back
bool site_health_begin(struct site_health *h, int64_t now);
