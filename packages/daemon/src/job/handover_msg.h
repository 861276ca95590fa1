// Message that hands a batch to its next home, in msgpack.
#pragma once

#include <msgpack.h>

#include "base/arena.h"
#include "base/err.h"

/// Batch that its owner hands over; its unfinished texts are in the store.
struct handover {
	const char *job; ///< batch id
	uint64_t rev; ///< of its owner key, which names the sender
	const char *run; ///< incarnation of the sender's process
	const char *team;
	uint64_t total; ///< items
	uint64_t at_ms; ///< wall clock of its submission
	uint64_t age_ms; ///< since the sender cancelled the attempts
};

void handover_pack(msgpack_sbuffer *buf, const struct handover *h);

/// @param a  owns what h points to
/// @return ERR_OK or ERR_PARSE
enum err handover_read(const void *data, size_t len, struct arena *a,
		       struct handover *h);
