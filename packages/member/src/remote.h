// What this node itself knows of another failure domain.
#pragma once

#include "member/member.h"

enum {
	REMOTE_CANDS = 32, ///< known nodes of another domain
	REMOTE_LINKS = 2, ///< contacts to which a node stays connected
};

struct remote_cand {
	char id[MEMBER_ID_MAX];
	char addr[MEMBER_ID_MAX];
	bool seed; ///< never replaced
	bool addr_fixed; ///< addr is from the settings
	bool contact; ///< listed in the latest summary
	bool connected;
	bool chosen; ///< as a contact in the views
	int64_t heard_ms; ///< last summary from it
	int64_t reset_ms; ///< last new connection
};

struct remote {
	char name[MEMBER_ID_MAX];
	struct remote_cand cands[REMOTE_CANDS];
	int n_cands;
	int target; ///< index of the candidate that is asked
	bool watching; ///< this node is one of its watchers
	int64_t heard_ms; ///< last summary from any of its nodes, 0 for never
	bool heard; ///< recently, at the last view_update()
	bool known; ///< some node hears it
	int64_t known_ms; ///< last time it was known, or was added
	struct member_domain summary; ///< latest one received
};

struct member;

/// Find another failure domain by name, or add it.
///
/// @return NULL if there are too many
struct remote *remote_of(struct member *m, const char *domain);

/// Find a candidate.
///
/// @return candidate, NULL if unknown
struct remote_cand *remote_cand_find(struct remote *r, const char *id);

/// Add a candidate or update its address; may replace a former contact.
///
/// @return candidate, NULL if full
struct remote_cand *remote_cand_add(struct remote *r, const char *id,
				    const char *addr);

/// Make the contacts of a summary candidates.
void remote_add_contacts(struct remote *r, const struct member_domain *d);
