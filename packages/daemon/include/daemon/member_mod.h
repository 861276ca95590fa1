// Other daemons, as heartbeats show them.
#pragma once

#include "core/core.h"
#include "member/member_defs.h"

/// Known members but for this node: all of the failure domain, a few contacts
/// of each other one; stable until the next event.
///
/// @param[out] n  count
/// @return array
const struct member_view *member_mod_all(struct core *c, size_t *n);

/// True if an alive member of the failure domain is known (own domain: true).
bool member_mod_domain_heard(struct core *c, const char *domain);

/// Known failure domains with a summary of each, the own one first; stable
/// until the next event.
///
/// @param[out] n  count
/// @return array
const struct member_domain *member_mod_domains(struct core *c, size_t *n);

/// Number that changes whenever the members or domains do.
uint64_t member_mod_gen(struct core *c);

/// Tell the others a value of this node; see enum member_key.
void member_mod_set(struct core *c, enum member_key key, int64_t value);

/// Value of an alive node of the own failure domain, this one included.
///
/// @return false for any other node
bool member_mod_get(struct core *c, const char *node, enum member_key key,
		    int64_t *value);
