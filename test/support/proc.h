// Processes started by a test; all are killed when it ends.
#pragma once

#include <stdbool.h>
#include <sys/types.h>

struct proc {
	pid_t pid; ///< 0 when it is not running
	char name[64];
	char log[256]; ///< file with its standard output and error
};

/// Start a program of the build tree.
///
/// @param[out] p  process
/// @param name    name for the log file, unique in the test
/// @param argv    program name as built, arguments, NULL
/// @return false if it could not be started
bool proc_start(struct proc *p, const char *name, const char *const argv[]);

/// Send a signal, by id.
void proc_signal(const struct proc *p, int sig);

/// Wait for the end.
///
/// @param timeout_ms   milliseconds
/// @param[out] status  wait status, may be NULL
/// @return false on timeout
bool proc_wait(struct proc *p, int timeout_ms, int *status);

/// SIGKILL and wait. Does nothing for a process that ended.
void proc_kill(struct proc *p);

/// Wait until a condition holds.
///
/// @param fn          condition, asked every few milliseconds
/// @param timeout_ms  milliseconds
/// @return whether it held in time
bool wait_until(bool (*fn)(void *ctx), void *ctx, int timeout_ms);

/// Wait until something accepts connections.
///
/// @param ip    address
/// @param port  port
bool wait_port(const char *ip, int port, int timeout_ms);
