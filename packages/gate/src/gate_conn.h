// Sockets of one gate, and the handler that cuts them.
#pragma once

#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

enum {
	GATE_SOCKS_MAX = 8,
};

/// Shared between the gate's thread, its signal handler and the sender.
struct gate_conn {
	_Atomic int64_t until_ms; ///< clock_now_ms() time of the end
	_Atomic bool closing; ///< gate_shut() was called
	_Atomic bool shut; ///< set by the handler, never cleared
	volatile sig_atomic_t socks[GATE_SOCKS_MAX]; ///< -1: none
	int dead_fd; ///< fails every read and write
	int wake_fd; ///< eventfd that wakes the gate's thread
	int user_timeout_ms; ///< TCP_USER_TIMEOUT of each socket
	timer_t timer;
};

/// Prepare; installs the handler once a process.
///
/// @return false on a failed system call
bool gate_conn_init(struct gate_conn *gc);

/// Free what gate_conn_init() took.
void gate_conn_fini(struct gate_conn *gc);

/// Aim the timer at the calling thread and start it.
bool gate_conn_arm(struct gate_conn *gc);

/// Stop the timer; from the same thread.
void gate_conn_disarm(struct gate_conn *gc);

/// Make the handler run in a gate's thread.
void gate_conn_alarm(struct gate_conn *gc, pthread_t thread);

/// Let easy handles open and close their sockets here.
void gate_conn_attach(struct gate_conn *gc, void *easy);
