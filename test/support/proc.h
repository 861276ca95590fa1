// Child processes of a test, killed when it exits.
#pragma once

#include <stdbool.h>
#include <sys/types.h>

struct proc {
	pid_t pid; ///< 0 when not running
	char name[64];
	char log[256]; ///< file with stdout and stderr
};

/// Start a program of the build tree.
///
/// @param[out] p  process
/// @param name    for the log file, unique in the test
/// @param argv    program name as built, arguments, NULL
/// @return false if fork() failed
bool proc_start(struct proc *p, const char *name, const char *const argv[]);

/// Send a signal, if running.
void proc_signal(const struct proc *p, int sig);

/// Wait until the process exits.
///
/// @param timeout_ms   milliseconds
/// @param[out] status  wait status, may be NULL
/// @return false on timeout
bool proc_wait(struct proc *p, int timeout_ms, int *status);

/// SIGKILL and wait, if running.
void proc_kill(struct proc *p);

/// Wait until a condition holds.
///
/// @param fn          condition, polled every 5 ms
/// @param timeout_ms  milliseconds
/// @return whether it held in time
bool wait_until(bool (*fn)(void *ctx), void *ctx, int timeout_ms);

/// Wait until an address accepts TCP connections.
///
/// @param ip    address
/// @param port  port
bool wait_port(const char *ip, int port, int timeout_ms);
