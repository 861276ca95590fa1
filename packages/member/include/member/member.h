// Which nodes are alive: messages and time in, messages out.
//
// Within a failure domain each node exchanges heartbeats with a bounded number
// of neighbours on a ring and tells the whole domain which of them it hears.
// A node is alive if there is a path of such links from here to it and back.
// Other failure domains are watched by two nodes each, which tell a summary.
#pragma once

#include "base/err.h"
#include "base/rng.h"
#include "member/member_defs.h"

struct member;

enum member_msg {
	MEMBER_BEAT, ///< heartbeat, with records that changed
	MEMBER_VERSIONS, ///< versions of all records, to be answered with newer
	MEMBER_SUMMARY, ///< summary of the sender's domain
};

struct member_opts {
	const char *id;
	const char *domain;
	const char *addr; ///< "IP:port" that peers connect to
	uint64_t incarnation; ///< greater than at an earlier start
	int64_t heartbeat_ms; ///< interval between heartbeats
	int64_t silence_ms; ///< a peer silent for longer is not heard
	int64_t suspect_ms; ///< between the loss of a member and its death
	int64_t forget_ms; ///< dead members are forgotten after this
	uint64_t seed; ///< of the random choices
};

enum member_action_kind {
	MEMBER_CONNECT,
	MEMBER_RESET, ///< use a new connection
	MEMBER_DISCONNECT,
	MEMBER_SEND,
};

struct member_action {
	enum member_action_kind kind;
	char node[MEMBER_ID_MAX];
	char addr[MEMBER_ID_MAX]; ///< but for MEMBER_SEND
	enum member_msg type; ///< of MEMBER_SEND
	const void *buf; ///< of MEMBER_SEND; valid until the next call
	size_t len; ///< bytes
};

/// Create the membership of one node.
///
/// @return membership, NULL when out of memory
struct member *member_new(const struct member_opts *opts, int64_t now_ms);

/// Free it.
///
/// @param m  membership or NULL
void member_free(struct member *m);

/// Learn the address of a node that may exist.
///
/// @param fixed  goes before the address that the node tells of itself
/// @return ERR_OK, ERR_INVALID for a text that is too long, ERR_FULL
enum err member_seed(struct member *m, const char *id, const char *domain,
		     const char *addr, bool fixed);

/// Nodes that were learnt by member_seed() without `fixed` are no seeds any
/// more; call before learning them anew from a list.
void member_unseed(struct member *m);

/// Take a message.
///
/// @param from  sender's id
/// @return ERR_OK, or ERR_PARSE: nothing was taken from it
enum err member_on_msg(struct member *m, int64_t now_ms, const char *from,
		       enum member_msg type, const void *buf, size_t len);

/// Let time pass; call every few tens of milliseconds.
void member_tick(struct member *m, int64_t now_ms);

/// Tell the others that the node takes no new work.
void member_drain(struct member *m);

/// Tell the others that the node ends now; take the actions afterwards.
void member_leave(struct member *m, int64_t now_ms);

/// Next thing to do.
///
/// @param[out] out  action
/// @return false when there is none
bool member_next(struct member *m, struct member_action *out);

/// Set a value of this node.
void member_set(struct member *m, enum member_key key, int64_t value);

/// Value of a node of the same failure domain, this one included.
///
/// @return false for a node that is not alive
bool member_get(const struct member *m, const char *id, enum member_key key,
		int64_t *value);

/// Other nodes: all of the failure domain, contacts of the others.
///
/// @param[out] n  count
/// @return array, valid until the next event
const struct member_view *member_views(const struct member *m, size_t *n);

/// Failure domains, the node's own first.
///
/// @param[out] n  count
/// @return array, valid until the next event
const struct member_domain *member_domains(const struct member *m, size_t *n);

/// Number that grows with each change of the views and domains.
uint64_t member_gen(const struct member *m);
