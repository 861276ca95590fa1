// Parts of a VM's memory that the edges may fill with what others send.
#pragma once

#include <stddef.h>

struct settings;

enum memory_user {
	MEMORY_HTTP, ///< callers' bodies and answers that they do not read
	MEMORY_UPSTREAM, ///< bodies of outgoing requests and their answers
	MEMORY_PEER, ///< messages of other nodes that are not handled yet
	MEMORY_USERS,
};

/// Most bytes that an edge holds: its setting, or its part of [node] memory if that is
/// less. The parts leave a third for batches, tables and the code. An edge can hold at
/// least one body of the largest size.
size_t memory_share(const struct settings *s, enum memory_user user);
