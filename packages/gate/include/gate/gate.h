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
	const char *url; ///< base URL, by IP address
	int64_t deadline_ms; ///< clock_now_ms() time of the close
	int64_t connect_timeout_ms;
	int64_t timeout_ms; ///< of a whole order
	int64_t user_timeout_ms; ///< TCP_USER_TIMEOUT: limit of unacked bytes
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
	///< ERR_TIMEOUT: no reply; ERR_UP_BROKEN: a cut one, or one of unknown end;
	///< ERR_NOMEM
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

/// Extend the deadline; an earlier one is ignored.
void gate_extend(struct gate *g, int64_t deadline_ms);

/// Queue an order; from one thread.
///
/// @return ERR_OK: one reply follows; ERR_FULL; ERR_CLOSED; ERR_NOMEM
enum err gate_send(struct gate *g, const struct gate_order *o);

/// Take a reply; from the thread of gate_send().
///
/// @return false if there is none
bool gate_reply(struct gate *g, struct gate_reply *out);

/// Close now: sockets are disconnected, queued orders are returned unsent.
void gate_close(struct gate *g);

/// Whether the thread has ended, all replies queued.
bool gate_ended(const struct gate *g);

/// Close, wait for the thread, free. Replies not taken are lost.
///
/// @param g  gate or NULL
void gate_free(struct gate *g);
