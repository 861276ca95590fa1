// Parts of a VM's memory that may be filled with what others send.
#pragma once

#include <stddef.h>

struct settings;

enum memory_user {
	MEMORY_HTTP, ///< callers' bodies and answers that they do not read
	MEMORY_UPSTREAM, ///< bodies of outgoing requests and their answers
	MEMORY_PEER, ///< messages of other nodes that are not handled yet
	MEMORY_BATCHES, ///< batches of the users' platform, and their results
	MEMORY_USERS,
};

/// Most bytes that a user holds: its setting, or its part of [node] memory if that is less.
/// The parts leave a quarter for tables and the code. An edge can hold at least one body of
/// the largest size, and one batch of the largest size can be accepted.
size_t memory_share(const struct settings *s, enum memory_user user);
