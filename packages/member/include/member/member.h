// Cluster membership of one node, without I/O: the caller passes in messages and the
// time, and executes the resulting actions.
//
// Within a failure domain each node exchanges heartbeats with a bounded number of
// neighbours on a ring and publishes to the domain which of them it hears. A node is
// alive if a path of such links leads from this node to it and back. Two nodes watch
// every other failure domain and publish a summary of it.
#pragma once

#include "base/err.h"
#include "base/rng.h"
#include "member/member_defs.h"

struct member;

enum member_msg {
	MEMBER_HEARTBEAT, ///< with changed parts of records
	MEMBER_VERSIONS, ///< versions of records; newer parts are the reply
	MEMBER_SUMMARY, ///< summary of the sender's domain
};

struct member_opts {
	const char *id;
	const char *domain;
	const char *addr; ///< "IP:port" that peers connect to
	uint64_t incarnation; ///< increases with each start of the node
	int64_t heartbeat_ms; ///< interval between heartbeats
	int64_t silence_ms; ///< a peer silent for longer is no longer heard
	int64_t suspect_ms; ///< from a member's loss until it is dead
	int64_t forget_ms; ///< from a member's loss until it is removed
	uint64_t seed; ///< of the random number generator
};

enum member_action_kind {
	MEMBER_CONNECT,
	MEMBER_RESET, ///< replace the connection by a new one
	MEMBER_DISCONNECT,
	MEMBER_SEND,
};

struct member_action {
	enum member_action_kind kind;
	char node[MEMBER_ID_MAX];
	char addr[MEMBER_ID_MAX]; ///< "IP:port"; empty for SEND and DISCONNECT
	enum member_msg type; ///< of MEMBER_SEND
	const void *buf; ///< of MEMBER_SEND; valid until the next call
	size_t len; ///< bytes
};

/// Create the membership of one node.
///
/// @return membership, NULL if out of memory
struct member *member_new(const struct member_opts *opts, int64_t now_ms);

/// Free a membership.
///
/// @param m  membership or NULL
void member_free(struct member *m);

/// Add a seed: a node that may exist, and is not removed when dead.
///
/// @param addr_fixed  addr overrides the address that the node publishes
/// @return ERR_OK, ERR_INVALID for an empty or too long string, ERR_FULL
enum err member_add_seed(struct member *m, const char *id, const char *domain,
			 const char *addr, bool addr_fixed);

/// Unmark seeds added without `addr_fixed`; call before adding those of a new list.
void member_clear_seeds(struct member *m);

/// Process a message.
///
/// @param from  sender's id
/// @return ERR_OK, ERR_FULL, or ERR_PARSE, ERR_INVALID: it was ignored
enum err member_on_msg(struct member *m, int64_t now_ms, const char *from,
		       enum member_msg type, const void *buf, size_t len);

/// Run the timers; call every few tens of milliseconds.
void member_tick(struct member *m, int64_t now_ms);

/// Announce that this node takes no new work.
void member_drain(struct member *m);

/// Announce that this node leaves; then execute the actions.
void member_leave(struct member *m, int64_t now_ms);

/// Dequeue the next action.
///
/// @param[out] out  action
/// @return false if there is none
bool member_next_action(struct member *m, struct member_action *out);

/// Set a value of this node, sent with its next heartbeat.
void member_set(struct member *m, enum member_key key, int64_t value);

/// Value of a node of the own failure domain, this one included.
///
/// @return false for a node that is not alive
bool member_get(const struct member *m, const char *id, enum member_key key,
		int64_t *value);

/// Other nodes: all of the own failure domain, contacts in others.
///
/// @param[out] n  count
/// @return array, valid until the next message or tick
const struct member_view *member_views(const struct member *m, size_t *n);

/// Known failure domains, the node's own first.
///
/// @param[out] n  count
/// @return array, valid until the next message or tick
const struct member_domain *member_domains(const struct member *m, size_t *n);

/// Generation number, incremented when views and domains are rebuilt.
uint64_t member_gen(const struct member *m);
