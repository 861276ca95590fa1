// Sends orders under one epoch, and stops for certain when it ends.
//
// Checking a lease and then sending is not safe: the process may be paused
// between the two. The gate's thread sends on sockets of its own, and a timer
// on CLOCK_BOOTTIME, aimed at that very thread, cuts them at the end of the
// epoch. After a pause the kernel runs the timer's handler before the thread's
// next instruction, so that nothing more can be sent.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum {
	GATE_ORDERS_MAX = 64, ///< orders in a gate at once
};

struct gate;

struct gate_opts {
	const char *url; ///< base URL, by IP number
	int64_t until_ms; ///< clock_now_ms() time at which the gate shuts
	int64_t connect_timeout_ms;
	int64_t timeout_ms; ///< of a whole order
	int64_t user_timeout_ms; ///< longest life of unacknowledged bytes
};

struct gate_order {
	uint64_t tag; ///< comes back with the reply
	const char *path; ///< copied
	const char *body; ///< copied
	size_t len; ///< bytes of body
};

struct gate_reply {
	uint64_t tag;
	enum err
		err; ///< ERR_OK: answered; ERR_CLOSED: the gate was shut first;
	///< ERR_TIMEOUT: no answer
	bool sent; ///< a byte may have left
	int status; ///< HTTP status, 0 if none
	char *body; ///< freed by the caller, may be NULL
	size_t len; ///< bytes of body
};

/// Open a gate; starts its thread.
///
/// @param opts      options; url is copied
/// @param[out] out  gate
/// @return ERR_OK, ERR_NOMEM or ERR_SYS
enum err gate_open(const struct gate_opts *opts, struct gate **out);

/// Move the end; an earlier one than before is ignored.
void gate_extend(struct gate *g, int64_t until_ms);

/// Queue an order.
///
/// @return ERR_OK: one reply follows; ERR_FULL; ERR_CLOSED; ERR_NOMEM
enum err gate_send(struct gate *g, const struct gate_order *o);

/// Take a reply. From the thread that sends.
///
/// @return false if there is none now
bool gate_reply(struct gate *g, struct gate_reply *out);

/// Shut for good, now: sockets are cut, queued orders come back unsent.
void gate_shut(struct gate *g);

/// Whether the thread has ended, all replies queued.
bool gate_ended(const struct gate *g);

/// Shut, wait for the thread, free. Replies not taken are lost.
///
/// @param g  gate or NULL
void gate_free(struct gate *g);
