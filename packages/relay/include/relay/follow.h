// Selects the relay that a node follows: one that answers and reaches the store,
// preferably in the node's failure domain. Pure.
//
// Load pattern: many nodes need the same few keys of a store whose calls are
// counted. Followers spread over the relays of their failure domain.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	FOLLOW_RELAYS = 64, ///< relays known
	FOLLOW_NODE = 64, ///< bytes of a node id or address with its NUL
};

struct follow_relay {
	char node[FOLLOW_NODE];
	char addr[FOLLOW_NODE]; ///< "IP:port" for messages
	bool near; ///< in this node's failure domain
	int64_t avoid_until_ms;
};

struct follow {
	struct follow_relay relays[FOLLOW_RELAYS];
	int n;
	uint64_t salt; ///< of this node, so that followers spread
	char current[FOLLOW_NODE]; ///< "" for none
	uint64_t seq; ///< of the last request
	int64_t asked_ms; ///< of the outstanding request, 0 for none
	int strikes; ///< of the current relay in a row
};

/// Add or update a relay. It is selected once there was time to connect to it.
void follow_add(struct follow *f, int64_t now, const char *node,
		const char *addr, bool near);

/// Remove a relay.
void follow_del(struct follow *f, const char *node);

/// Relay to send a request to now.
///
/// @return relay, NULL while a request is outstanding or no relay is usable
const struct follow_relay *follow_next(struct follow *f, int64_t now);

/// A request was sent.
void follow_asked(struct follow *f, int64_t now);

/// A response arrived.
///
/// @param[out] asked_ms  when its request was sent
/// @return false for a response to an older request: ignore it
bool follow_answered(struct follow *f, uint64_t seq, int64_t *asked_ms);

/// The outstanding request timed out. It is retried once, since the first one on a
/// new connection may be lost; then the relay is avoided.
void follow_lost(struct follow *f, int64_t now);

/// The current relay can't be reached.
void follow_failed(struct follow *f, int64_t now);

/// The current relay's data is too old, such as in an outage of the store. It is
/// avoided only briefly, since it is among the first to get newer data.
void follow_stale(struct follow *f, int64_t now);

/// Whether the outstanding request timed out.
bool follow_late(const struct follow *f, int64_t now);

/// Whether any relay can be selected now.
bool follow_possible(const struct follow *f, int64_t now);
