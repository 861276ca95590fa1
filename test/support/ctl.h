// Runs catkinctl against a local system.
#pragma once

#include <stddef.h>

#include "support/sys.h"

/// Run a command at the first node with --json.
///
/// @param words     command and arguments, NULL-terminated
/// @param[out] out  what it printed on both outputs
/// @param len       bytes of out
/// @return its exit code, -1 if it did not end in time
int ctl_run(struct sys *s, const char *const *words, char *out, size_t len);

/// Run a command that must be accepted; fails the test otherwise.
#define CTL(s, ...)                                                            \
	do {                                                                   \
		char out_[4096];                                               \
		const char *const words_[] = {__VA_ARGS__, NULL};              \
		int rc_ = ctl_run(s, words_, out_, sizeof(out_));              \
		if (rc_ != 0)                                                  \
			fail_msg("catkinctl %s: %d %s", words_[0], rc_, out_); \
	} while (0)

/// Grant a team a key.
///
/// @param[out] key  text of the key
/// @return false if none was granted
bool ctl_grant(struct sys *s, const char *team, char *key, size_t len);
