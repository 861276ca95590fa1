// Sockets of a gate, and the signal handler that disconnects them.
#pragma once

#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

enum {
	GATE_SOCKS_MAX = 8,
};

/// Shared by the gate's thread, its signal handler and the caller's thread.
struct gate_conn {
	_Atomic int64_t deadline_ms; ///< clock_now_ms() time
	_Atomic bool close_requested; ///< gate_close() was called
	_Atomic bool closed; ///< sockets disconnected; never cleared
	volatile sig_atomic_t socks[GATE_SOCKS_MAX]; ///< -1: free
	int dead_fd; ///< fails every read and write
	int wake_fd; ///< eventfd that wakes the gate's thread
	int user_timeout_ms; ///< TCP_USER_TIMEOUT of each socket
	timer_t timer;
};

/// Initialize; the handler is installed once per process.
///
/// @return false on a failed system call
bool gate_conn_init(struct gate_conn *gc);

/// Free what gate_conn_init() acquired.
void gate_conn_fini(struct gate_conn *gc);

/// Start the timer, which signals the calling thread. False on failure.
bool gate_conn_arm(struct gate_conn *gc);

/// Delete the timer; from the same thread.
void gate_conn_disarm(struct gate_conn *gc);

/// Run the handler in a gate's thread.
void gate_conn_signal(struct gate_conn *gc, pthread_t thread);

/// Make easy handles open and close their sockets here.
void gate_conn_attach(struct gate_conn *gc, void *easy);
