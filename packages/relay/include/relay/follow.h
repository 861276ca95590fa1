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
	FOLLOW_RELAYS_MAX = 64, ///< relays known
	FOLLOW_ID_MAX = 64, ///< bytes of a node id or address with its NUL
};

struct follow_relay {
	char node[FOLLOW_ID_MAX];
	char addr[FOLLOW_ID_MAX]; ///< "IP:port" for messages
	bool same_domain; ///< in this node's failure domain
	int64_t avoid_until_ms;
};

struct follow {
	struct follow_relay relays[FOLLOW_RELAYS_MAX];
	int n;
	uint64_t salt; ///< of this node, so that followers spread
	char current[FOLLOW_ID_MAX]; ///< "" for none
	uint64_t seq; ///< of the last request
	int64_t sent_ms; ///< of the outstanding request, 0 for none
	int timeouts; ///< of the current relay in a row
};

/// Add or update a relay. It is selected once there was time to connect to it.
///
/// @return false if there is no room for a new one
bool follow_add(struct follow *f, int64_t now, const char *node,
		const char *addr, bool same_domain);

/// Remove a relay.
void follow_del(struct follow *f, const char *node);

/// Relay to send a request to now.
///
/// @return relay, NULL while a request is outstanding or no relay is usable
const struct follow_relay *follow_select(struct follow *f, int64_t now);

/// A request was sent.
void follow_request_sent(struct follow *f, int64_t now);

/// A response arrived.
///
/// @param[out] sent_ms  when its request was sent
/// @return false for a response to an older request: ignore it
bool follow_response(struct follow *f, uint64_t seq, int64_t *sent_ms);

/// The outstanding request timed out. It is retried once, since the first one on a
/// new connection may be lost; then the relay is avoided.
void follow_timed_out(struct follow *f, int64_t now);

/// The current relay can't be reached.
void follow_unreachable(struct follow *f, int64_t now);

/// The current relay's data is too old, such as in an outage of the store. It is
/// avoided only briefly, since it is among the first to get newer data.
void follow_stale(struct follow *f, int64_t now);

/// Whether the outstanding request timed out.
bool follow_is_timed_out(const struct follow *f, int64_t now);

/// Whether any relay can be selected now.
bool follow_available(const struct follow *f, int64_t now);
