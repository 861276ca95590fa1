// Grants the slots of one backend server to the entry VMs of its failure
// domain, so that their sum stays within what it bears.
//
// A grant counts until it can no longer be used: until its lifetime ended, and
// then, if the node fell silent, until its running requests surely ended.
#pragma once

#include "slot/slot_defs.h"

/// What one node may have in use.
struct slot_grant {
	uint64_t node; ///< 0: unused entry
	uint32_t seq;
	int slots; ///< of the newest grant
	int64_t expires_ms; ///< that it may be used
	int earlier_slots; ///< most of earlier grants that may still be used
	int64_t earlier_expires_ms;
	int in_use; ///< last told
	int prev_in_use; ///< told the time before
	int64_t drain_ms; ///< longest time that a request of it takes
	int64_t drained_by_ms; ///< by then its running requests ended
	int want;
	int64_t holding_since_ms; ///< its last run of slots began, 0 for never
	int64_t requested_ms;
	int64_t prev_requested_ms;
};

struct slot_steward_opts {
	struct slot_limit_opts limit;
	bool reports; ///< the server reports its load
	int64_t drain_ms; ///< longest time that a request takes
};

struct slot_steward {
	struct slot_steward_opts o;
	struct slot_limit limit;
	struct slot_grant grants[SLOT_MAX_NODES];
	int64_t started_ms; ///< this node became the steward
	int64_t last_tick_ms; ///< last tick
	bool prior_load_known; ///< what earlier stewards' nodes run is known
	int prior_load; ///< running for nodes that never asked this steward
	bool closed; ///< no slots for new work
	int heard; ///< entry VMs of the failure domain that are heard, with this
	int listed; ///< and that the platform lists
	int pending_heard; ///< heard now, but not long enough to count
	int64_t pending_since_ms; ///< since when
};

/// Begin. Grants nothing for one permit lifetime, since a former steward's
/// grants may be in use so long, and, if the server reports its load, until a
/// report shows what began under them and still runs.
void slot_steward_init(struct slot_steward *s,
		       const struct slot_steward_opts *opts, int64_t now);

/// Let time pass; call many times a second. After a pause of this process
/// another steward may have granted: it begins anew.
void slot_steward_tick(struct slot_steward *s, int64_t now);

/// Whether the time after slot_steward_init() in which it grants nothing is over.
bool slot_steward_grants(const struct slot_steward *s, int64_t now);

/// Grant or not (a leaving server, a failure domain out).
void slot_steward_close(struct slot_steward *s, bool closed);

/// Say how much of the failure domain is heard. A part that is cut off from the
/// rest grants its part of the slots only: the rest may have a steward as well.
/// A node that is heard again counts once what it was granted elsewhere is used
/// up or told.
///
/// @param heard   entry VMs heard, this one included
/// @param listed  entry VMs that the platform lists as live
void slot_steward_quorum(struct slot_steward *s, int64_t now, int heard,
			 int listed);

/// Take the server's load report.
void slot_steward_report(struct slot_steward *s, const struct slot_report *r);

/// Answer an ask.
///
/// @param node  hash of the asking node's run; not 0
/// @param[out] permit  answer
/// @return false when nothing is to be answered (an old ask, a full table)
bool slot_steward_ask(struct slot_steward *s, int64_t now, uint64_t node,
		      const struct slot_ask *req, struct slot_permit *permit);

/// Slots that may be in use by any node at a time.
int slot_steward_charged(const struct slot_steward *s, int64_t now);
