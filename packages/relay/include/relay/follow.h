// Which relay a node follows: one that is near, answers, and is in touch with the
// store itself. Pure.
//
// Load pattern: many nodes that all need the same few keys of a store whose calls
// are counted. Followers spread over the relays of their failure domain.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	FOLLOW_RELAYS = 64, ///< relays known
	FOLLOW_NODE = 64, ///< bytes of a node id with its NUL
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
	uint64_t seq; ///< of the last question
	int64_t asked_ms; ///< of the open question, 0 for none
	int strikes; ///< questions of the current relay without an answer
};

/// A relay is there; it is asked once a connection had time to come about.
void follow_add(struct follow *f, int64_t now, const char *node,
		const char *addr, bool near);

/// A relay is gone.
void follow_del(struct follow *f, const char *node);

/// Relay to ask now.
///
/// @return relay, NULL when a question is open or no relay will do
const struct follow_relay *follow_next(struct follow *f, int64_t now);

/// The question was sent.
void follow_asked(struct follow *f, int64_t now);

/// An answer came.
///
/// @param[out] asked_ms  when its question was sent
/// @return false for an answer to an older question: nothing may be taken
bool follow_answered(struct follow *f, uint64_t seq, int64_t *asked_ms);

/// The open question got no answer: it is asked once more, since the first one
/// of a new connection may be lost, then the relay is left alone.
void follow_lost(struct follow *f, int64_t now);

/// The current relay can't be reached.
void follow_failed(struct follow *f, int64_t now);

/// The current relay answers and knows too little, such as in an outage of the
/// store: it is asked again soon, since it is among the first to know more.
void follow_stale(struct follow *f, int64_t now);

/// Whether the open question is overdue.
bool follow_late(const struct follow *f, int64_t now);

/// Whether some relay can be followed now.
bool follow_possible(const struct follow *f, int64_t now);
