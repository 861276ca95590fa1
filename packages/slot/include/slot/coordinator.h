// Coordinator of the slots of one backend server: grants them to the entry VMs
// of its failure domain, so that their sum stays within the server's limit.
//
// A grant is committed until it expires and, if the node sent no further
// request, until its running requests must have ended.
#pragma once

#include "slot/slot_defs.h"

/// Slots that one node may have in use.
struct slot_grant {
	uint64_t node; ///< incarnation, 0: unused
	uint32_t seq;
	int slots; ///< of the newest grant
	int64_t expires_ms; ///< of the newest grant
	int earlier_slots; ///< maximum of earlier grants still valid
	int64_t earlier_expires_ms;
	int in_use; ///< in its last request
	int prev_in_use; ///< in the one before
	int64_t drain_ms; ///< maximum duration of its requests
	int64_t drained_by_ms; ///< when its running requests must have ended
	int want;
	int64_t holding_since_ms; ///< last change from 0 slots, 0 for never
	int64_t requested_ms;
	int64_t prev_requested_ms;
};

struct slot_coordinator_opts {
	struct slot_limit_opts limit;
	bool reports; ///< the server reports its load
	int64_t drain_ms; ///< maximum duration of a request
};

struct slot_coordinator {
	struct slot_coordinator_opts o;
	struct slot_limit limit;
	struct slot_grant grants[SLOT_MAX_NODES];
	int64_t started_ms; ///< when this node became the coordinator
	int64_t last_tick_ms;
	bool prior_load_known;
	int prior_load; ///< running, of nodes that never asked this coordinator
	bool closed; ///< grants nothing
	int heard; ///< reachable entry VMs of the domain, with this
	int listed; ///< entry VMs that the platform lists
	int pending_heard; ///< reachable, but not long enough to count
	int64_t pending_since_ms;
};

/// Initializes. Grants nothing for one permit lifetime, since a former
/// coordinator's permits may be valid so long, and, if the server reports its
/// load, until a report shows what started under them and still runs.
void slot_coordinator_init(struct slot_coordinator *s,
			   const struct slot_coordinator_opts *opts,
			   int64_t now);

/// Advances the time; call many times a second. After a pause of this process,
/// another coordinator may have granted slots: the initial wait starts again.
void slot_coordinator_tick(struct slot_coordinator *s, int64_t now);

/// Whether the initial wait after slot_coordinator_init() is over.
bool slot_coordinator_ready(const struct slot_coordinator *s, int64_t now);

/// Stops or resumes granting (draining server, failure domain out of service).
void slot_coordinator_close(struct slot_coordinator *s, bool closed);

/// Sets how much of the failure domain is reachable. A partition grants only its
/// share of the slots, as the rest may have a coordinator as well. A node that
/// is reachable again counts once its permits from elsewhere expired or were
/// reported.
///
/// @param heard   reachable entry VMs, this one included
/// @param listed  entry VMs that the platform lists as live
void slot_coordinator_set_reachable(struct slot_coordinator *s, int64_t now,
				    int heard, int listed);

/// Applies the server's load report.
void slot_coordinator_report(struct slot_coordinator *s,
			     const struct slot_report *r);

/// Handles a node's request for slots.
///
/// @param node  incarnation of the node, not 0
/// @param[out] permit  response
/// @return false without a response (an outdated request, a full table)
bool slot_coordinator_request(struct slot_coordinator *s, int64_t now,
			      uint64_t node, const struct slot_request *req,
			      struct slot_permit *permit);

/// Sum of the slots that nodes may have in use.
int slot_coordinator_committed(const struct slot_coordinator *s, int64_t now);
