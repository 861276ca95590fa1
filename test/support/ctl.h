// Runs catkinctl against a local test system.
#pragma once

#include <stdbool.h>
#include <stddef.h>

struct sys;

/// Run catkinctl with --json against the first node.
///
/// @param args      command and arguments, NULL-terminated
/// @param[out] out  its output, truncated to fit
/// @param len       bytes of out
/// @return exit code, -1 on timeout or failed start
int ctl_run(const struct sys *s, const char *const *args, char *out,
	    size_t len);

/// Run catkinctl and print its output to standard error if it fails.
///
/// @return whether the exit code was 0
bool ctl_run_ok(const struct sys *s, const char *const *args);

#define CTL_RUN_OK(sys, ...) \
	ctl_run_ok(sys, (const char *const[]){__VA_ARGS__, NULL})

/// Grant a key to a team.
///
/// @param[out] key  key
/// @param len       bytes of key
/// @return exit code, -1 if no key was printed
int ctl_grant(const struct sys *s, const char *team, char *key, size_t len);
