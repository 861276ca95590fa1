// Outlier ejection by recent call outcomes, for a server or a failure domain: when it
// stops getting calls, and when a probe call tests it again. No I/O and no clock.
// Load pattern: short calls to servers, some of which are slow, unreachable, lose
// responses or fail part of the requests while their health check passes. If all servers
// become slow, all are ejected, which leaves the choice among them unchanged.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	SITE_HEALTH_WINDOW = 20, ///< outcomes kept
};

/// Outcome of a call.
enum site_outcome {
	SITE_CALL_GOOD, ///< answered in time
	SITE_CALL_BAD, ///< failed, or took several times the usual time
	/// No answer before another server answered or the call ended.
	SITE_CALL_NO_ANSWER,
	SITE_CALL_UNKNOWN, ///< cancelled before an outcome was known
};

struct site_health {
	uint32_t bad_bits; ///< bit per outcome, newest in bit 0; set if bad
	int n_outcomes; ///< outcomes kept so far, at most SITE_HEALTH_WINDOW
	int bad_streak; ///< consecutive bad outcomes
	int ejections; ///< ejections and renewals, minus good outcomes since
	int64_t ejected_until_ms; ///< 0 if not ejected
	int64_t probe_begin_ms; ///< 0 if none
};

/// @param eject_streak  consecutive bad outcomes that cause an ejection
/// @param probe  result of site_health_begin() for the call
/// @return true if this outcome starts an ejection
bool site_health_end(struct site_health *h, int64_t now,
		     enum site_outcome outcome, int eject_streak, bool probe);

/// Whether it is ejected: it gets calls only if there is no alternative.
bool site_health_ejected(const struct site_health *h, int64_t now);

/// Record that a call begins.
///
/// @return true if the call is the probe
bool site_health_begin(struct site_health *h, int64_t now);
