// Cluster membership, as learned from heartbeats.
#pragma once

#include "core/core.h"
#include "member/member_defs.h"

/// Other known members: all of the own failure domain, a few contacts in every other
/// one.
///
/// @param[out] n  count
/// @return array, valid until the next event
const struct member_view *member_mod_members(struct core *c, size_t *n);

/// Whether a live member of a failure domain is known; true for the own domain.
bool member_mod_domain_heard(struct core *c, const char *domain);

/// Summaries of the known failure domains, the own one first.
///
/// @param[out] n  count
/// @return array, valid until the next event
const struct member_domain *member_mod_domains(struct core *c, size_t *n);

/// Generation number of the members and domains.
uint64_t member_mod_gen(struct core *c);

/// Publish a value of this node; see enum member_key.
void member_mod_set(struct core *c, enum member_key key, int64_t value);

/// Value of a live node of the own failure domain, this one included.
///
/// @return false for any other node
bool member_mod_get(struct core *c, const char *node, enum member_key key,
		    int64_t *value);
