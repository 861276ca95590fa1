// Limits on the age of a node's copy of the store, and whether the store was down. No I/O
// and no clock.
// Load pattern: many nodes learn of changes through a few relays, while any call,
// connection or relay may hang. Each node tracks the age of its data, calls the store
// itself before the data expires, and makes no decision on expired data.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// Times derived from the bound within which a change must take effect on all nodes.
struct site_freshness {
	/// Interval of a relay's calls to confirm its data.
	int64_t refresh_ms;
	/// A relay holds a long poll this long if nothing changes.
	int64_t hold_ms;
	int64_t told_ms; ///< older data of a relay is not used
	int64_t overdue_ms; ///< a node calls the store itself at this age
	int64_t limit_ms; ///< no work is begun on older data
	/// A request must be sent within this time after the choice of its server, or not
	/// at all: the server may announce in the meantime that it is leaving.
	int64_t send_ms;
};

/// @param bound_ms  longest time from the store's acknowledgement of a change
///                  until no node may act on the old value
struct site_freshness site_fresh_from_bound(int64_t bound_ms);

/// Time until which work may be begun on the current data.
/// @param confirmed_ms    when the data was last known to be current, 0 for never
/// @param failed_call_ms  begin of this node's last call to the store, on a new
///                        connection, if it got no answer; 0 if it got one. If after
///                        confirmed_ms, the store can't be reached from here, and work
///                        continues on the last data
/// @return time in ms; INT64_MAX while the store can't be reached
int64_t site_fresh_valid_until(const struct site_freshness *f,
			       int64_t confirmed_ms, int64_t failed_call_ms);

/// Time since which the store answers, as far as this node can tell. Only an outage for
/// all nodes makes entries vanish, not one between this node and the store.
/// @param direct_since_ms  since when it answers this node, 0 while it doesn't
/// @param relay_since_ms   since when it answers this node's relay, 0 while it doesn't or
///                         without a relay
/// @return time in ms, 0 while the store is down
int64_t site_store_up_since(int64_t direct_since_ms, int64_t relay_since_ms);
