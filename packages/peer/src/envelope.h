// Frames of a message that name the sender's process and the one that it is meant for.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	ENVELOPE_ID_BYTES = 13, ///< tag, process, number of the connection
	ENVELOPE_TYPE_BYTES =
		12, ///< type, process that the message is meant for
	ENVELOPE_TYPE_ONLY_BYTES = 4, ///< for any process of the node
};

/// Routing id of a connection. It differs for each connection: a router refuses a second
/// one with the same id while it takes the first for alive.
void envelope_id_write(uint8_t out[ENVELOPE_ID_BYTES], uint64_t run,
		       uint32_t connection);

/// Sender's process.
///
/// @return 0 if the routing id doesn't name one, as that of earlier versions
uint64_t envelope_id_run(const void *data, size_t len);

/// Type frame. Without to_run it is what earlier versions read.
///
/// @return bytes written
size_t envelope_type_write(uint8_t out[ENVELOPE_TYPE_BYTES], uint32_t type,
			   uint64_t to_run);

/// @return false for a frame of another length
bool envelope_type_read(const void *data, size_t len, uint32_t *type,
			uint64_t *to_run);
