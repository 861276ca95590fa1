// Other daemons, as heartbeats show them.
#pragma once

#include "core/core.h"

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
};

struct member_view {
	char id[64];
	char domain[64];
	enum member_state state;
	bool draining;
	int64_t last_heard_ms; ///< clock_now_ms()
};

/// Known members but for this node; stable until the next event.
///
/// @param[out] n  count
/// @return array
const struct member_view *member_mod_all(struct core *c, size_t *n);

/// True if an alive member of the failure domain is known (own domain: true).
bool member_mod_domain_heard(struct core *c, const char *domain);
