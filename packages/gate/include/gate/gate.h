// A gate is an HTTP sender fenced by a lease: it sends orders under one epoch
// and can send nothing after the epoch's deadline.
//
// Checking a lease and then sending is not safe: the process may be paused
// between the two. The gate's thread uses sockets of its own, and a
// CLOCK_BOOTTIME timer whose signal is directed at that thread disconnects them
// at the deadline. After a pause the kernel runs the signal handler before the
// thread's next instruction, so nothing more can be sent.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum {
	GATE_ORDERS_MAX = 64, ///< outstanding orders
};

struct gate;

struct gate_opts {
	const char *url; ///< base URL with an IP address as host
	int64_t deadline_ms; ///< clock_now_ms() time at which the gate closes
	int64_t connect_timeout_ms; ///< of each order
	int64_t timeout_ms; ///< of a whole order, from connect to reply
	int64_t user_timeout_ms; ///< TCP_USER_TIMEOUT: limit for unacked bytes
};

struct gate_order {
	uint64_t tag; ///< returned in the reply
	const char *path; ///< copied
	const char *body; ///< copied
	size_t len; ///< bytes of body
};

struct gate_reply {
	uint64_t tag;
	enum err err; ///< ERR_OK: answered; ERR_CLOSED: the gate closed first;
	///< ERR_TIMEOUT: no reply; ERR_NOMEM
	bool sent; ///< bytes may have been sent
	int status; ///< HTTP status, 0 if none
	char *body; ///< freed by the caller, may be NULL
	size_t len; ///< bytes of body
};

/// Open a gate and start its thread.
///
/// @param opts      options; url is copied
/// @param[out] out  gate
/// @return ERR_OK, ERR_NOMEM or ERR_SYS
enum err gate_open(const struct gate_opts *opts, struct gate **out);

/// Extend the deadline; an earlier one than the current is ignored.
void gate_extend(struct gate *g, int64_t deadline_ms);

/// Queue an order. Call from one thread only.
///
/// @return ERR_OK: exactly one reply follows; ERR_FULL: GATE_ORDERS_MAX are
///         outstanding; ERR_CLOSED; ERR_NOMEM
enum err gate_send(struct gate *g, const struct gate_order *o);

/// Take the next reply. Call from the thread that calls gate_send().
///
/// @return false if there is none
bool gate_reply(struct gate *g, struct gate_reply *out);

/// Close now, for good: sockets are disconnected and queued orders are returned
/// unsent with ERR_CLOSED.
void gate_close(struct gate *g);

/// Whether the gate's thread has ended; all replies are queued then.
bool gate_ended(const struct gate *g);

/// Close, wait for the thread and free. Replies not taken are discarded.
///
/// @param g  gate or NULL
void gate_free(struct gate *g);
