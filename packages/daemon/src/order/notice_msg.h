// Msgpack encoding of notices of load orders.
#pragma once

#include <msgpack.h>

#include "base/arena.h"
#include "base/err.h"
#include "site/server.h"

/// A notice as sent. It has the age of the order instead of a time, as the clocks of
/// nodes differ.
struct order_notice {
	const char *server; ///< id
	uint64_t started_ms; ///< incarnation, from the server's entry
	const char *model;
	uint64_t version;
	int64_t since_sent_ms; ///< time since the order was sent
	enum site_order_state state;
};

void order_notice_pack(msgpack_sbuffer *buf, const struct order_notice *n);

/// @param a  owns the strings of n
/// @return ERR_OK, ERR_PARSE or ERR_NOMEM
enum err order_notice_read(const void *data, size_t len, struct arena *a,
			   struct order_notice *n);
