// Log events and gauges for changes of the membership.
#pragma once

#include "member/member.h"

struct member_log_row {
	char id[MEMBER_ID_MAX];
	bool alive;
};

struct member_log {
	struct member_log_row *rows; ///< members when it was last told
	size_t n;
	bool heard[MEMBER_DOMAINS + 1]; ///< domains, in the views' order
};

/// Log what differs from the last call.
void member_log_changes(struct member_log *l, const struct member *m);

/// Free the rows.
void member_log_clear(struct member_log *l);
