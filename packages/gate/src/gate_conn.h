// Sockets of one gate, and the signal handler that disconnects them.
#pragma once

#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

enum {
	GATE_SOCKS_MAX = 8, ///< open sockets of a gate
};

/// Shared between the gate's thread, its signal handler and the calling thread.
struct gate_conn {
	_Atomic int64_t deadline_ms; ///< clock_now_ms() time of the deadline
	_Atomic bool close_requested; ///< gate_close() was called
	_Atomic bool closed; ///< sockets disconnected; never cleared
	volatile sig_atomic_t socks[GATE_SOCKS_MAX]; ///< descriptors, -1: free
	int dead_fd; ///< fails every read and write
	int wake_fd; ///< eventfd that wakes the gate's thread
	int user_timeout_ms; ///< TCP_USER_TIMEOUT of each socket
	timer_t timer; ///< on CLOCK_BOOTTIME
};

/// Initialize; installs the signal handler once per process.
///
/// @return false on a failed system call
bool gate_conn_init(struct gate_conn *gc);

/// Free what gate_conn_init() acquired.
void gate_conn_fini(struct gate_conn *gc);

/// Start the timer; its signal goes to the calling thread.
///
/// @return false on a failed system call
bool gate_conn_arm(struct gate_conn *gc);

/// Delete the timer. Call from the thread that armed it.
void gate_conn_disarm(struct gate_conn *gc);

/// Send the signal to a gate's thread, so that the handler runs there.
void gate_conn_signal(struct gate_conn *gc, pthread_t thread);

/// Make a curl easy handle open and close its sockets through this gate.
void gate_conn_attach(struct gate_conn *gc, void *easy);
