// Notice of a load order on its way to a home, in msgpack.
#pragma once

#include <msgpack.h>

#include "base/arena.h"
#include "base/err.h"
#include "site/server.h"

/// A notice as the message carries it: clocks of nodes differ, spans don't.
struct order_notice {
	const char *server; ///< id
	uint64_t started_ms; ///< incarnation, as its entry says it
	const char *model;
	uint64_t version;
	int64_t ago_ms; ///< since the order was sent
	enum site_order_state state;
};

void order_notice_pack(msgpack_sbuffer *buf, const struct order_notice *n);

/// @param a  owns what n points to
/// @return ERR_OK, ERR_PARSE or ERR_NOMEM
enum err order_notice_read(const void *data, size_t len, struct arena *a,
			   struct order_notice *n);
