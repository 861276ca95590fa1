// How old what a node knows of the platform's keys may get, and whether the store was
// away. Pure.
//
// Load pattern: many nodes that learn of changes through a few relays, while any
// call, connection or relay may hang. Each node knows how old its knowledge is, looks
// for itself before it is too old, and decides nothing on what is.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// Times that follow from the one in which a change must be in force everywhere.
struct site_fresh {
	int64_t refresh_ms; ///< a relay confirms what it knows this often
	int64_t hold_ms; ///< a relay holds a question without news
	int64_t told_ms; ///< older knowledge of a relay is of no use
	int64_t overdue_ms; ///< a node asks the store itself at this age
	int64_t limit_ms; ///< nothing is begun on older knowledge
	/// A request leaves within this time of the choice of its server, or not
	/// at all: the server may say meanwhile that it leaves.
	int64_t send_ms;
};

/// @param bound_ms  from the store's acknowledgement of a change until no node may
///                  act on what was before
struct site_fresh site_fresh_of(int64_t bound_ms);

/// Until when work may be begun on what is known.
///
/// @param confirmed_ms  what is known was true then, 0 for never
/// @param failed_call_ms       begin of this node's last call to the store, on a new
///                      connection, if it got no answer; 0 if it got one. What
///                      failed after the knowledge was confirmed shows that the
///                      store can't be reached from here: work goes on as it was
/// @return clock time; INT64_MAX while the store can't be reached
int64_t site_fresh_until(const struct site_fresh *f, int64_t confirmed_ms,
			 int64_t failed_call_ms);

/// Since when the store answers, as far as this node can tell. Entries lapse only in
/// an outage for all: what only this node lost says nothing of them.
///
/// @param direct_since_ms    since when it answers this node, 0 while it does not
/// @param relay_since_ms  since when it answers the relay that is followed, 0 while it
///                  does not, or without a relay
/// @return clock time, 0 while it is away
int64_t site_store_back(int64_t direct_since_ms, int64_t relay_since_ms);
