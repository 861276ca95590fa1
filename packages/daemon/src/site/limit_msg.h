// Encodes and decodes messages about servers' limits: a list of entries, of which asks
// and replies have one.
#pragma once

#include <msgpack.h>

#include "base/arena.h"
#include "base/err.h"

enum {
	LIMIT_MSG_ENTRIES_MAX = 256,
};

struct limit_msg_entry {
	const char *server; ///< id
	uint64_t started_ms; ///< incarnation, as in its entry
	double per_s; ///< 0: no limit any more
	int64_t age_ms; ///< of the answer that showed it
	uint64_t count; ///< permits wanted or granted
	double wait_ms; ///< until the first may be used, or until asking again
	double interval_ms; ///< between two permits
};

void limit_msg_pack(msgpack_sbuffer *buf, const struct limit_msg_entry *list,
		    size_t n);

/// @param a          owns the ids
/// @param[out] list  of LIMIT_MSG_ENTRIES_MAX
/// @param[out] n     entries read
/// @return ERR_OK or ERR_PARSE
enum err limit_msg_read(const void *data, size_t len, struct arena *a,
			struct limit_msg_entry *list, size_t *n);
