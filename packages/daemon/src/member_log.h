// Log events and metrics for changes of the membership.
#pragma once

#include "member/member.h"

struct member_log_row {
	char id[MEMBER_ID_MAX];
	bool alive;
};

struct member_log {
	struct member_log_row *rows; ///< members at the last call
	size_t n;
	bool heard[MEMBER_DOMAINS + 1]; ///< by index in member_domains()
};

/// Log the changes since the last call, and set the gauges.
void member_log_changes(struct member_log *l, const struct member *m);

/// Free the rows.
void member_log_clear(struct member_log *l);
