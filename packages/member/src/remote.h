// What this node knows by itself of another failure domain.
#pragma once

#include "member/member.h"

enum {
	REMOTE_CANDS = 32, ///< nodes of another domain to ask
	REMOTE_LINKS = 2, ///< contacts that a node keeps connections to
};

struct remote_cand {
	char id[MEMBER_ID_MAX];
	char addr[MEMBER_ID_MAX];
	bool seed; ///< never dropped
	bool fixed; ///< its address is from the settings
	bool contact; ///< in the latest summary
	bool connected;
	bool wanted; ///< as a contact for other modules
	int64_t heard_ms; ///< last summary from it
	int64_t reset_ms; ///< last new connection
};

struct remote {
	char name[MEMBER_ID_MAX];
	struct remote_cand cands[REMOTE_CANDS];
	int n_cands;
	int target; ///< candidate that is asked
	bool watching; ///< this node is one of its watchers
	int64_t heard_ms; ///< last summary from any of its nodes, 0 for never
	bool heard; ///< lately, when the views were made
	struct member_domain last; ///< that summary
};

struct member;

/// Another failure domain by name, added if it is new.
///
/// @return NULL when there are too many
struct remote *remote_of(struct member *m, const char *domain);

/// Find a candidate.
///
/// @return candidate, NULL if it is unknown
struct remote_cand *remote_cand_find(struct remote *r, const char *id);

/// Add a candidate or take its new address; an old contact may give way.
///
/// @return candidate, NULL when full
struct remote_cand *remote_cand_add(struct remote *r, const char *id,
				    const char *addr);

/// Take the contacts of a summary as candidates.
void remote_take_contacts(struct remote *r, const struct member_domain *d);
